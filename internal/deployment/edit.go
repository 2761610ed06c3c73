package deployment

import (
	"bytes"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/strictini"
)

// Section is one section of a document's text. Its values are not validated.
type Section struct {
	Kind SectionKind
	// Name is empty for DeploymentKind.
	Name string
	// Values are the texts of the keys.
	Values map[string]string
}

// Title returns the section's full name, such as "rule.bookings".
func (s Section) Title() string {
	if s.Kind == DeploymentKind {
		return string(s.Kind)
	}
	return string(s.Kind) + "." + s.Name
}

// ParseSections returns the sections of a text in their order. It leaves out sections of
// unknown kinds.
func ParseSections(text []byte) ([]Section, error) {
	file, err := loadForEdit(text)
	if err != nil {
		return nil, err
	}
	var sections []Section
	for _, s := range file.Sections() {
		kind, name, _ := strings.Cut(s.Name(), ".")
		if slices.Contains(SectionKinds(), SectionKind(kind)) {
			sections = append(sections, Section{Kind: SectionKind(kind), Name: name, Values: s.KeysHash()})
		}
	}
	return sections, nil
}

// WithSection returns text with a section added, or its values replaced if it exists.
// Keys with an empty value are removed, and their defaults apply. Comments are kept.
// The error is of kind InvalidRequest for an invalid name or a value with a line break,
// and InvalidDocument if text is not INI.
func WithSection(text []byte, section Section) ([]byte, error) {
	file, err := loadForEdit(text)
	if err != nil {
		return nil, err
	}
	if section.Kind != DeploymentKind && !validName(section.Name) {
		return nil, failure.New(failure.InvalidRequest, failure.NotRun, "the name %q is not allowed", section.Name).
			WithField("name").WithLimit(nameRule)
	}
	target := file.Section(section.Title())
	for _, field := range Fields(section.Kind) {
		value := strings.TrimSpace(section.Values[field.Key])
		if strings.ContainsAny(value, "\r\n") {
			return nil, failure.New(failure.InvalidRequest, failure.NotRun, "a value must not contain a line break").WithField(field.Key)
		}
		if value == "" {
			target.DeleteKey(field.Key)
			continue
		}
		target.Key(field.Key).SetValue(value)
	}
	return render(file)
}

// WithoutSection returns text without the section with a title such as "rule.bookings".
func WithoutSection(text []byte, title string) ([]byte, error) {
	file, err := loadForEdit(text)
	if err != nil {
		return nil, err
	}
	file.DeleteSection(title)
	return render(file)
}

func loadForEdit(text []byte) (*ini.File, error) {
	file, err := strictini.LoadForEdit(text)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidDocument, failure.NotRun, "the text is not INI")
	}
	return file, nil
}

func render(file *ini.File) ([]byte, error) {
	var out bytes.Buffer
	if _, err := file.WriteTo(&out); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "the document cannot be encoded")
	}
	return out.Bytes(), nil
}
