package settings

import (
	"testing"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// FuzzParse checks that Parse returns settings or an error of kind InvalidSettings for
// any text.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", "[host]\nid = a", "[host]\nid = a\ncaller_address = 127.0.0.1:99999", "[timing]\nlease_term = 1s\nlease_margin = 2s",
		"[host]\nseed_peers = ,,", "[", "[log]\nlevel = loud",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := Parse(text); err != nil && !failure.IsKind(err, failure.InvalidSettings) {
			t.Fatalf("error of another kind than InvalidSettings: %v", err)
		}
	})
}
