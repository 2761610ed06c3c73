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
	initialBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// call is what a request asks for; it makes attempts.
type call interface {
	// attempt sends the request once. left is the time until the caller gives the request up.
	attempt(address, key string, timeout, left time.Duration) attemptResult
	// recordID identifies the request in the upstreams' records.
	recordID() string
}

// requestOutcome is how a request ended for its caller.
type requestOutcome string

const (
	outcomeAnswered      requestOutcome = "answered"
	outcomeNotRun   requestOutcome = "not-run"
	outcomeUnknown  requestOutcome = "unknown"
	outcomeRan      requestOutcome = "ran"
	outcomeMismatch requestOutcome = "mismatch"
)

// request is one request of a caller, with all its attempts.
type request struct {
	caller Caller
	call   call
	// keys are all idempotency keys that were used; the last one is in use.
	keys []string
	// mayHaveRun is true once an attempt ended that may have executed the request under the present key.
	mayHaveRun bool
	// attempts counts the attempts; refusals counts the refused ones by kind.
	attempts int
	refusals map[failure.Kind]int

	scheduled time.Time
	done      time.Time
	firstByte time.Time
	outcome    requestOutcome
	lastKind  failure.Kind
	mismatch  string
}

// run makes attempts until the request is answered or its caller gives it up.
func (r *request) run(ctx context.Context, hosts func() []entryapi.EntryHost) {
	until := r.scheduled.Add(r.caller.Timeout)
	backoff := initialBackoff
	for try := 0; ; try++ {
		known := hosts()
		host := known[try%len(known)]
		r.chooseKey(host)
		left := time.Until(until)
		result := r.call.attempt(host.Address, r.key(), min(left, r.caller.AttemptTimeout), left)
		r.attempts++
		if r.addResult(result) || try+1 >= r.caller.MaxAttempts {
			break
		}
		wait := max(backoff, result.wait)
		if time.Until(until) <= wait || !pause.For(ctx, wait) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	r.done = time.Now()
}

func (r *request) key() string {
	if len(r.keys) == 0 {
		return ""
	}
	return r.keys[len(r.keys)-1]
}

// chooseKey makes the key that an attempt at a host carries. A home-bound key
// is replaced only while every attempt under it surely did not run.
func (r *request) chooseKey(host entryapi.EntryHost) {
	if r.caller.Kind != BookingCall {
		return
	}
	switch r.caller.Key {
	case CallerKey:
		if len(r.keys) == 0 {
			r.keys = append(r.keys, uuid.NewString())
		}
	case HomeKey:
		if !r.mayHaveRun && host.KeyPrefix != "" {
			r.keys = append(r.keys, host.KeyPrefix+uuid.NewString())
		}
	}
}

// addResult notes the result of an attempt and reports whether the request is over.
func (r *request) addResult(result attemptResult) bool {
	if result.answered {
		r.outcome = outcomeAnswered
		r.mismatch = result.mismatch
		r.firstByte = result.firstByte
		if r.mismatch != "" {
			r.outcome = outcomeMismatch
		}
		return true
	}
	r.lastKind = result.kind
	r.refusals[result.kind]++
	if result.outcome != failure.NotRun {
		r.mayHaveRun = true
	}
	r.outcome = outcomeNotRun
	if r.mayHaveRun {
		r.outcome = outcomeUnknown
	}
	if result.outcome == failure.Ran {
		r.outcome = outcomeRan
	}
	return result.permanent() || !r.mayRetry()
}

// mayRetry reports whether a careful caller sends the request again.
func (r *request) mayRetry() bool {
	if r.caller.Kind != BookingCall || !r.mayHaveRun {
		return true
	}
	return r.key() != ""
}
