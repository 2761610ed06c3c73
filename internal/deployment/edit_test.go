package deployment

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestEditKeepsTheRestOfTheDocument(t *testing.T) {
	sections, err := ParseSections([]byte(validText))
	if err != nil || len(sections) != 8 {
		t.Fatalf("%d sections, error %v", len(sections), err)
	}
	text := []byte(validText)
	for _, section := range sections {
		if text, err = WithSection(text, section); err != nil {
			t.Fatal(err)
		}
	}
	if !strings.Contains(string(text), "# A comment.") {
		t.Error("a comment was lost")
	}
	before, after := mustParse(t, []byte(validText)), mustParse(t, text)
	after.Text = before.Text
	if diff := cmp.Diff(before, after); diff != "" {
		t.Errorf("writing the sections back changed the document: %s", diff)
	}
	text, err = WithSection(text, Section{Kind: ServiceKind, Name: "quotes", Values: map[string]string{"timeout": "4s", "max_concurrent": ""}})
	if err != nil {
		t.Fatal(err)
	}
	if got := mustParse(t, text).Services["quotes"]; got.Timeout.String() != "4s" || got.MaxConcurrent != defaultServiceMaxConcurrent {
		t.Errorf("added service %+v", got)
	}
	if text, err = WithoutSection(text, "rule.rest"); err != nil {
		t.Fatal(err)
	}
	if got := mustParse(t, text).Rules; len(got) != 1 || got[0].Name != "bookings" {
		t.Errorf("rules %+v", got)
	}
}

func TestAValueCannotAddKeysOrSections(t *testing.T) {
	section := Section{Kind: ServiceKind, Name: "x", Values: map[string]string{"timeout": "4s\n[operator.mallory]"}}
	if _, err := WithSection([]byte(validText), section); err == nil {
		t.Error("a value with a line break was taken")
	}
}

func mustParse(t *testing.T, text []byte) *Document {
	t.Helper()
	d, err := Parse(text)
	if err != nil {
		t.Fatalf("%v in\n%s", err, text)
	}
	return d
}
