package deployment

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

const referencePage = "../../docs/operations/configuration.md"

// referenceRow returns the row of a key on the operators' page.
func referenceRow(f Field) string {
	fallback := f.Default
	if fallback == "" {
		fallback = "required"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s |", f.Key, fallback, f.Allowed, f.Help)
}

func TestOperatorsPageListsEachKey(t *testing.T) {
	page, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range SectionKinds() {
		_, rest, found := strings.Cut(string(page), "#### `["+string(kind))
		if !found {
			t.Errorf("no chapter for [%s]", kind)
			continue
		}
		chapter, _, _ := strings.Cut(rest, "\n#")
		for _, f := range Fields(kind) {
			if !strings.Contains(chapter, referenceRow(f)) {
				t.Errorf("the chapter for [%s] lacks the line\n%s", kind, referenceRow(f))
			}
		}
	}
}

func TestOperatorsPageHasAValidDocument(t *testing.T) {
	page, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```ini\n[deployment]")
	example, _, _ := strings.Cut(rest, "```")
	if _, err := Parse([]byte("[deployment]" + example)); err != nil {
		t.Errorf("%v", AsProblems(err))
	}
}
