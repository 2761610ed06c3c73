package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	apiPage   = "../docs/API.md"
	apiSetup  = "testdata/api/setup.txtar"
	codeFence = "```"
)

// TestAPIExamples runs the examples of docs/API.md as one script.
func TestAPIExamples(t *testing.T) {
	page, err := os.ReadFile(apiPage)
	if err != nil {
		t.Fatal(err)
	}
	setupText, err := os.ReadFile(apiSetup)
	if err != nil {
		t.Fatal(err)
	}
	const placeholder = "# EXAMPLES\n"
	if !strings.Contains(string(setupText), placeholder) {
		t.Fatalf("%s lacks the line %q", apiSetup, placeholder)
	}
	script := strings.Replace(string(setupText), placeholder, fencedLines(string(page)), 1)
	path := filepath.Join(t.TempDir(), "api_examples.txtar")
	if err := os.WriteFile(path, []byte(script), 0o600); err != nil {
		t.Fatal(err)
	}
	params := scriptParams()
	params.Files = []string{path}
	testscript.RunT(limitedT{t, make(chan struct{}, parallelScripts)}, params)
}

// fencedLines returns the lines of a page's fenced code blocks.
func fencedLines(page string) string {
	var lines []string
	inside := false
	for _, line := range strings.Split(page, "\n") {
		if strings.HasPrefix(line, codeFence) {
			inside = !inside
			continue
		}
		if inside {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n") + "\n"
}
