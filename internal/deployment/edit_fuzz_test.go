package deployment

import "testing"

// FuzzEdit checks that writing back each section of a valid document gives an
// equivalent valid document.
func FuzzEdit(f *testing.F) {
	f.Add(validText)
	f.Add("[deployment]\nname = a\n[rule.x]\npath_prefix = /\nservice = y\n")
	f.Add("[deployment]\nname = \"\"\"a\nb\"\"\"\n")
	f.Add("[deployment]\nname = `a`\n[tenant.a]\nburst = 0x10\n")
	f.Add("x")
	f.Fuzz(func(t *testing.T, text string) {
		document, err := Parse([]byte(text))
		if err != nil {
			return
		}
		sections, err := ParseSections([]byte(text))
		if err != nil {
			t.Fatalf("an accepted document has no sections: %v", err)
		}
		edited := []byte(text)
		for _, s := range sections {
			if edited, err = WithSection(edited, s); err != nil {
				return // A value of several lines cannot be edited in a form.
			}
		}
		again, err := Parse(edited)
		if err != nil {
			t.Fatalf("the edited document is refused: %v\n%s", AsProblems(err), edited)
		}
		if len(again.Rules) != len(document.Rules) || again.Deployment != document.Deployment {
			t.Fatalf("the edited document differs:\n%s", edited)
		}
	})
}
