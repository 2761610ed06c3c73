package claim

import (
	"testing"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// FuzzParseKey checks that any key is either accepted or refused with the outcome not-run.
func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{"", "order-1", "home-a.1.b", "home-", "home-a.x.b", "home-a.99999999999999999999.b", "a/b", "\x00", "01890a5d-ac96-774b-bcce-b302099a8057"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := ParseKey(text); err != nil && failure.As(err).Outcome != failure.NotRun {
			t.Fatalf("key %q refused with outcome %q: %v", text, failure.As(err).Outcome, err)
		}
	})
}
