package bearer

import (
	"testing"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

func TestTokens(t *testing.T) {
	const hash = "2BB80D537B1DA3E38BD30361AA855686BDE0EACD7162FEF6A25FE97BF527A25B" // of "secret"
	for header, want := range map[string]bool{
		"Bearer secret":  true,
		"Bearer Secret":  false,
		"Bearer secret ": false,
		"secret":         false,
		"Bearer ":        false,
		"":               false,
	} {
		token, ok := FromHeader(header)
		if got := ok && token.Matches(hash); got != want {
			t.Errorf("%q matches: %v, want %v", header, got, want)
		}
		if token.Matches("") && ok {
			t.Errorf("%q matches an empty hash", header)
		}
	}
}

// Two adapters look tokens up, one by comparison and one in a map. Both must take the
// same hash of the same part of the header.
func TestHashIsThatOfTheHeader(t *testing.T) {
	token, ok := FromHeader("Bearer secret")
	if !ok || token != Hash("secret") || token == Hash("other") || token == (Token{}) {
		t.Error("the token in a header and the hash of its text differ")
	}
}

func TestAuthenticate(t *testing.T) {
	find := func(token Token) (string, bool) { return "team", token == Hash("secret") }
	for header, want := range map[string]string{"Bearer secret": "team", "Bearer other": "", "secret": "", "": ""} {
		name, err := Authenticate(header, find)
		if name != "team" && want != "" || (err == nil) != (want != "") {
			t.Errorf("%q: %q, %v", header, name, err)
		}
		if e := failure.As(err); err != nil && (e.Kind != failure.Unauthorized || e.Outcome != failure.NotRun) {
			t.Errorf("%q: %v", header, err)
		}
	}
}
