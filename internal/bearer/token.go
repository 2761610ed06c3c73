// Package bearer reads bearer tokens and compares them with the token hashes in
// the configuration and the settings.
package bearer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// HeaderAuthorization is the name of the header with the token.
const HeaderAuthorization = "Authorization"

// Prefix precedes the token in the header.
const Prefix = "Bearer "

// Token is the SHA-256 hash of a bearer token. The token itself is not kept.
type Token struct{ digest []byte }

// FromHeader returns the token in the value of an Authorization header. It returns
// false if there is no bearer token.
func FromHeader(header string) (Token, bool) {
	text, found := strings.CutPrefix(header, Prefix)
	if !found || text == "" {
		return Token{}, false
	}
	sum := sha256.Sum256([]byte(text))
	return Token{digest: []byte(hex.EncodeToString(sum[:]))}, true
}

// Matches reports whether expected is the hexadecimal SHA-256 hash of the token, in
// upper or lower case. The comparison takes constant time.
func (t Token) Matches(expected string) bool {
	return subtle.ConstantTimeCompare(t.digest, []byte(strings.ToLower(expected))) == 1
}
