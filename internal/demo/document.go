package demo

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const tokenBytes = 24

// token is a random bearer token and its SHA-256 hash, both in hexadecimal.
type token struct {
	Secret string
	SHA256 string
}

func newToken() (token, error) {
	var secret [tokenBytes]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return token{}, failure.Wrap(err, failure.Internal, "", "token of %d random bytes cannot be generated", tokenBytes)
	}
	text := hex.EncodeToString(secret[:])
	sum := sha256.Sum256([]byte(text))
	return token{Secret: text, SHA256: hex.EncodeToString(sum[:])}, nil
}

// tokens holds the bearer tokens of one run.
type tokens struct {
	Operator, Tenant, Trainer token
}

func newTokens() (tokens, error) {
	var t tokens
	for _, each := range []*token{&t.Operator, &t.Tenant, &t.Trainer} {
		made, err := newToken()
		if err != nil {
			return tokens{}, err
		}
		*each = made
	}
	return t, nil
}

const documentText = `
[deployment]
name = demo
entry_ttl = 1s

[tenant.homeowners]
token_sha256 = TENANT

[service.survey]
timeout = 5s

[service.score]
timeout = 5s

[engines.advice]
model = draught-advice
checks_fencing = true
max_swapping = 2

[trainer.draught]
token_sha256 = TRAINER
engines = advice
scorer = score
staleness_bound = 2
weigh = idle

[rule.bookings]
path_prefix = /bookings
methods = POST
service = survey
idempotent = false

[rule.specifications]
path_prefix = /specifications
service = survey
idempotent = true
`

func document(t tokens) string {
	return strings.NewReplacer("TENANT", t.Tenant.SHA256, "TRAINER", t.Trainer.SHA256).Replace(documentText)
}
