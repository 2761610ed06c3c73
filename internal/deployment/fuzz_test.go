package deployment

import (
	"testing"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// FuzzParse checks that Parse returns a document or an InvalidDocument error with at
// least one problem for any text, and that a valid text is valid again.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		validText, "", "[deployment]", "[deployment]\nname = a\n[tenant.]\n", "[rule.a]\npath_prefix = /v1/\n",
		"[deployment]\nname = a\nentry_ttl = -1s\n", "a = b", "[[", "[tenant.a]\ntoken_sha256 = \"\"\"\n", "\x00",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse(text)
		if err != nil {
			if !failure.IsKind(err, failure.InvalidDocument) || len(AsProblems(err)) == 0 {
				t.Fatalf("error without a problem: %v", err)
			}
			return
		}
		if _, err := Parse(doc.Text); err != nil {
			t.Fatalf("the accepted text is refused: %v", err)
		}
	})
}
