// Package entryapi defines the path, headers and JSON types of the API between
// callers and hosts.
package entryapi

import "time"

// PathEntry is the path of the entry API. The response to GET is an EntryAnswer.
const PathEntry = "/v1/entry"

// Headers of the caller API.
const (
	// HeaderIdempotencyKey is the request's idempotency key: any key chosen by the caller, or a home-bound key,
	// which starts with EntryHost.KeyPrefix.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotent is "false" for a request that must run at most once.
	HeaderIdempotent = "Sapphirehatch-Idempotent"
	// HeaderOutcome is the failure.Outcome of a refusal.
	HeaderOutcome = "Sapphirehatch-Outcome"
	// HeaderHost is the id of the host that answered.
	HeaderHost = "Sapphirehatch-Host"
	// HeaderDeadline is the time until the caller's deadline, as a Go duration.
	HeaderDeadline = "Sapphirehatch-Deadline"
)

// MaxTTL is the maximum time to live of an entry answer, whatever the document
// sets. Home-bound keys made with an answer age from the time of the answer.
const MaxTTL = 5 * time.Minute

// EntryAnswer is the list of hosts that a caller should send requests to.
type EntryAnswer struct {
	// Hosts are ordered by preference, best first.
	Hosts []EntryHost `json:"hosts"`
	// TTLMillis is the time for which the answer may be used, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
}

// EntryHost is a host that callers may send requests to.
type EntryHost struct {
	ID string `json:"id"`
	// Address is the ip:port address of the caller API.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// KeyPrefix is the prefix of home-bound idempotency keys. Only this process of the host dispatches requests
	// with such keys.
	KeyPrefix string `json:"key_prefix"`
}
