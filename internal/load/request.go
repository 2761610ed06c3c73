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
	maxBackoff     = time.Second
)

// call is the content of a request. It makes single attempts.
type call interface {
	// attempt sends the request once to address, within timeout. key is the
	// idempotency key, or empty; left is the time until the caller's deadline.
	attempt(address, key string, timeout, left time.Duration) attemptResult
	// recordID identifies the request in the upstreams' execution records.
	recordID() string
}

// requestOutcome is the final state of a request, as its caller sees it.
type requestOutcome string

const (
	outcomeAnswered requestOutcome = "answered"
	outcomeNotRun   requestOutcome = "not-run"
	outcomeUnknown  requestOutcome = "unknown"
	outcomeRan      requestOutcome = "ran"
	outcomeMismatch requestOutcome = "mismatch"
)

// request is one request of a caller, with all its attempts.
type request struct {
	caller Caller
	call   call
	// keys are all idempotency keys that were used; the last one is current.
	keys []string
	// mayHaveRun is true once an attempt under the current key may have executed the request.
	mayHaveRun bool
	// attempts counts all attempts; refusals counts the failed ones by kind.
	attempts int
	refusals map[failure.Kind]int

	scheduled time.Time
	done      time.Time
	firstByte time.Time
	outcome   requestOutcome
	lastKind  failure.Kind
	mismatch  string
}

// run makes attempts, with exponential backoff, until the request is answered, may
// not be retried, or reaches its deadline or MaxAttempts.
func (r *request) run(ctx context.Context, hosts func() []entryapi.EntryHost) {
	deadline := r.scheduled.Add(r.caller.Timeout)
	backoff := initialBackoff
	for try := 0; ; try++ {
		known := hosts()
		host := known[try%len(known)]
		r.chooseKey(host)
		left := time.Until(deadline)
		result := r.call.attempt(host.Address, r.key(), min(left, r.caller.AttemptTimeout), left)
		r.attempts++
		if r.addResult(result) || try+1 >= r.caller.MaxAttempts {
			break
		}
		wait := max(backoff, result.wait)
		if time.Until(deadline) <= wait || !pause.For(ctx, wait) {
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

// chooseKey creates the idempotency key for an attempt at host, if one is due. A
// home-bound key is replaced only while no attempt under it may have run.
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

// addResult records the result of an attempt and reports whether the request is done.
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

// mayRetry reports whether the request may be sent again. A booking that may have
// run is retried only under an idempotency key.
func (r *request) mayRetry() bool {
	if r.caller.Kind != BookingCall || !r.mayHaveRun {
		return true
	}
	return r.key() != ""
}
