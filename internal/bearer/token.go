// Package bearer reads bearer tokens and compares them with the token hashes in
// the configuration and the settings.
package bearer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// HeaderAuthorization is the name of the header with the token.
const HeaderAuthorization = "Authorization"

// Prefix precedes the token in the header.
const Prefix = "Bearer "

// Token is the SHA-256 hash of a bearer token. The token itself is not kept. Tokens
// are comparable; the zero value is the hash of no token.
type Token struct{ digest [sha256.Size]byte }

// Hash returns the hash of a token's text.
func Hash(text string) Token { return Token{digest: sha256.Sum256([]byte(text))} }

// FromHeader returns the token in the value of an Authorization header. It returns
// false if there is no bearer token.
func FromHeader(header string) (Token, bool) {
	text, found := strings.CutPrefix(header, Prefix)
	if !found || text == "" {
		return Token{}, false
	}
	return Hash(text), true
}

// Matches reports whether expected is the hexadecimal SHA-256 hash of the token, in
// upper or lower case. The comparison takes constant time.
func (t Token) Matches(expected string) bool {
	digest := hex.EncodeToString(t.digest[:])
	return subtle.ConstantTimeCompare([]byte(digest), []byte(strings.ToLower(expected))) == 1
}

// Authenticate returns the name that find has for the token in the value of an
// Authorization header. The error is of kind Unauthorized with outcome NotRun if there is
// no token or find does not know it.
func Authenticate(header string, find func(Token) (name string, found bool)) (string, error) {
	token, ok := FromHeader(header)
	if !ok {
		return "", failure.New(failure.Unauthorized, failure.NotRun, "the request has no bearer token").WithField(HeaderAuthorization)
	}
	name, found := find(token)
	if !found {
		return "", failure.New(failure.Unauthorized, failure.NotRun, "the bearer token belongs to no tenant").WithField(HeaderAuthorization)
	}
	return name, nil
}
