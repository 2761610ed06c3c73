// Package strictini reads INI text without the features that change values
// silently: inline comments, continuation lines and values inherited from parent
// sections. Repeated sections and keys are preserved, which lets the caller reject them.
package strictini

import "gopkg.in/ini.v1"

// Load reads the file at a path (string) or a text ([]byte). A repeated key has
// several values in ValueWithShadows; a repeated section appears several times in
// Sections.
func Load(source any) (*ini.File, error) {
	options := base()
	options.AllowShadows = true
	options.AllowDuplicateShadowValues = true
	options.PreserveEmptyShadowValues = true
	options.AllowNonUniqueSections = true
	return ini.LoadSources(options, source)
}

// LoadForEdit reads a text to be changed and written back. The last value of a
// repeated key applies, and repeated sections are merged.
func LoadForEdit(text []byte) (*ini.File, error) {
	return ini.LoadSources(base(), text)
}

func base() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:  true,
		IgnoreInlineComment: true,
		KeyValueDelimiters:  "=",
	}
}
