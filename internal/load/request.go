package load

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

const (
	firstRetryPause = 50 * time.Millisecond
	maxRetryPause   = time.Second
)

// call is what a request asks for; it makes attempts.
type call interface {
	// attempt sends the request once. left is the time until the caller gives the request up.
	attempt(address, key string, timeout, left time.Duration) attemptResult
	// trace identifies the request in the upstreams' records.
	trace() string
}

// ending is how a request ended for its caller.
type ending string

const (
	answered      ending = "answered"
	endedNotRun   ending = "not-run"
	endedUnknown  ending = "unknown"
	endedRan      ending = "ran"
	endedMismatch ending = "mismatch"
)

// request is one request of a caller, with all its attempts.
type request struct {
	caller Caller
	call   call
	// keys are all idempotency keys that were used; the last one is in use.
	keys []string
	// possiblyRun is true once an attempt ended that may have executed the request under the present key.
	possiblyRun bool
	// attempts counts the attempts; refusals counts the refused ones by kind.
	attempts int
	refusals map[failure.Kind]int

	scheduled time.Time
	done      time.Time
	firstByte time.Time
	ending    ending
	lastKind  failure.Kind
	mismatch  string
}

// run makes attempts until the request is answered or its caller gives it up.
func (r *request) run(ctx context.Context, hosts func() []entryapi.EntryHost) {
	until := r.scheduled.Add(r.caller.Timeout)
	backoff := firstRetryPause
	for try := 0; ; try++ {
		known := hosts()
		host := known[try%len(known)]
		r.prepareKey(host)
		left := time.Until(until)
		result := r.call.attempt(host.Address, r.key(), min(left, r.caller.AttemptTimeout), left)
		r.attempts++
		if r.take(result) || try+1 >= r.caller.MaxAttempts {
			break
		}
		wait := max(backoff, result.wait)
		if time.Until(until) <= wait || !pause.For(ctx, wait) {
			break
		}
		backoff = min(2*backoff, maxRetryPause)
	}
	r.done = time.Now()
}

func (r *request) key() string {
	if len(r.keys) == 0 {
		return ""
	}
	return r.keys[len(r.keys)-1]
}

// prepareKey makes the key that an attempt at a host carries. A home-bound key
// is replaced only while every attempt under it surely did not run.
func (r *request) prepareKey(host entryapi.EntryHost) {
	if r.caller.Kind != BookingCall {
		return
	}
	switch r.caller.Key {
	case CallerKey:
		if len(r.keys) == 0 {
			r.keys = append(r.keys, uuid.NewString())
		}
	case HomeKey:
		if !r.possiblyRun && host.KeyPrefix != "" {
			r.keys = append(r.keys, host.KeyPrefix+uuid.NewString())
		}
	}
}

// take notes the result of an attempt and reports whether the request is over.
func (r *request) take(result attemptResult) bool {
	if result.answered {
		r.ending = answered
		r.mismatch = result.mismatch
		r.firstByte = result.firstByte
		if r.mismatch != "" {
			r.ending = endedMismatch
		}
		return true
	}
	r.lastKind = result.kind
	r.refusals[result.kind]++
	if result.outcome != failure.NotRun {
		r.possiblyRun = true
	}
	r.ending = endedNotRun
	if r.possiblyRun {
		r.ending = endedUnknown
	}
	if result.outcome == failure.Ran {
		r.ending = endedRan
	}
	return result.final() || !r.mayRepeat()
}

// mayRepeat reports whether a careful caller sends the request again.
func (r *request) mayRepeat() bool {
	if r.caller.Kind != BookingCall || !r.possiblyRun {
		return true
	}
	return r.key() != ""
}
