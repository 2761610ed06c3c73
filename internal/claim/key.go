package claim

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	// homeKeyPrefix starts every home-bound key. Caller-made keys must not start with it.
	homeKeyPrefix = "home-"
	// homeKeyParts is the number of parts of a home-bound key, separated by
	// dots: incarnation, issue time in Unix seconds, random text.
	homeKeyParts = 3
	// maxKeyLength bounds an idempotency key, in bytes.
	maxKeyLength = 128
	// uuidVersion7 is the version of the UUIDs that begin with a Unix timestamp.
	uuidVersion7 = 7
	// maxIssueYear is the last year that fits into the four digits for it in the key
	// of a row; see hourLayout.
	maxIssueYear = 9999
)

// Key is a parsed idempotency key.
type Key struct {
	// Text is the key as the caller sent it.
	Text string
	// Home is the incarnation of the only process that may dispatch a request with
	// this home-bound key. Empty for a caller-made key.
	Home string
	// Issued is the timestamp in the key: for a home-bound key when its prefix was
	// handed out, for a UUID of version 7 when it was generated. Zero for other keys.
	Issued time.Time
}

// KeyPrefix returns the prefix of home-bound keys that a process hands out at now.
func KeyPrefix(incarnation string, now time.Time) string {
	return homeKeyPrefix + incarnation + "." + strconv.FormatInt(now.Unix(), 10) + "."
}

// ParseKey parses and validates the text of a key. Its error is InvalidRequest.
func ParseKey(text string) (Key, error) {
	if len(text) > maxKeyLength {
		return Key{}, invalidKey("the idempotency key is too long").WithLimit(strconv.Itoa(maxKeyLength) + " bytes")
	}
	if strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' || r == '/' }) {
		return Key{}, invalidKey("the idempotency key has a character that is not allowed").WithLimit("visible ASCII without /")
	}
	if rest, ok := strings.CutPrefix(text, homeKeyPrefix); ok {
		return parseHomeKey(text, rest)
	}
	return Key{Text: text, Issued: issueTime(text)}, nil
}

// parseHomeKey parses a home-bound key; rest is the text after homeKeyPrefix.
func parseHomeKey(text, rest string) (Key, error) {
	parts := strings.SplitN(rest, ".", homeKeyParts)
	if len(parts) != homeKeyParts || parts[0] == "" || parts[2] == "" {
		return Key{}, invalidKey("a key that begins with " + homeKeyPrefix + " must extend a key prefix of the entry answer")
	}
	seconds, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return Key{}, invalidKey("the home-bound key has no issue time")
	}
	return Key{Text: text, Home: parts[0], Issued: time.Unix(seconds, 0)}, nil
}

// issueTime returns the timestamp of a UUID of version 7. It returns zero for
// other keys and for times that cannot be part of a row's key.
func issueTime(text string) time.Time {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidVersion7 {
		return time.Time{}
	}
	issued := time.Unix(id.Time().UnixTime())
	if issued.UTC().Year() > maxIssueYear {
		return time.Time{}
	}
	return issued
}

func invalidKey(message string) *failure.Error {
	return failure.New(failure.InvalidRequest, failure.NotRun, "%s", message).WithField(entryapi.HeaderIdempotencyKey)
}

// checkAge refuses a key that is older than retention, because its record may
// have been deleted. A request with such a key is not dispatched.
func (k Key) checkAge(now time.Time, retention time.Duration) error {
	if k.Issued.IsZero() || now.Sub(k.Issued) <= retention {
		return nil
	}
	return failure.New(failure.KeyExpired, failure.Unknown, "the idempotency key is too old to tell whether it was used").
		WithField(entryapi.HeaderIdempotencyKey).WithLimit(retention.String())
}

// checkNotInFuture refuses a key that was issued more than maxClockSkew in the
// future. It is called for home-bound keys only, because the time for which their
// records stay in memory counts from Issued.
func (k Key) checkNotInFuture(now time.Time) error {
	if k.Issued.Sub(now) <= maxClockSkew {
		return nil
	}
	return invalidKey("the home-bound key was issued in the future").WithLimit(maxClockSkew.String())
}
