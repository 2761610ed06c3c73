// Package retry is the filter that retries failed attempts of idempotent
// requests and attempts of which the upstream received nothing. A token bucket
// bounds the retries as a share of the requests, except those after an attempt of
// which the upstream received nothing or during which it crashed.
package retry

import (
	"context"
	"sync"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
)

const (
	// maxDispatches is the largest number of attempts at one request of which an
	// upstream may have received a part.
	maxDispatches = 3
	// maxAttempts is the largest number of attempts at one request.
	maxAttempts = 6
	// budgetBurst is the capacity of the token bucket, in retries. It covers all
	// requests in flight to one replica when its connections fail at once.
	budgetBurst = 64
)

// Retry is the filter. Each request adds deployment.retry_budget tokens to the
// bucket, which starts full. A retry takes one, except as stated at withinBudget.
type Retry struct {
	filter.Base
	mu          sync.Mutex
	tokens      float64
	initialized bool
}

// Handle implements filter.Filter.
func (f *Retry) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	f.deposit(r.Document.Deployment.RetryBudget)
	outcome := failure.NotRun
	dispatches := 0
	for attempts := 1; ; attempts++ {
		attemptBefore := r.Attempt
		err := next(ctx, r)
		if err == nil {
			return nil
		}
		e := failure.As(err)
		outcome = combinedOutcome(outcome, e.Outcome)
		if e.Outcome != failure.NotRun {
			dispatches++
		}
		// An attempt that was not dispatched, which leaves r.Attempt unchanged, is not
		// repeated.
		spent := attempts == maxAttempts || dispatches == maxDispatches || r.Attempt == attemptBefore || ctx.Err() != nil
		if spent || !repeatable(r, e) || !f.withinBudget(r, e) {
			return withOutcome(e, outcome)
		}
		r.Crashed = false
		r.Avoid = append(r.Avoid, r.Upstream.ID)
	}
}

// repeatable reports whether the request may be attempted again without
// running a non-idempotent request twice.
func repeatable(r *filter.Request, e *failure.Error) bool {
	switch e.Kind {
	case failure.UpstreamUnreachable, failure.UpstreamFailed, failure.IncompleteAnswer, failure.DeadlineExceeded:
	default:
		return false
	}
	return e.Outcome == failure.NotRun || r.Idempotent
}

// combinedOutcome returns the outcome of two attempts together.
func combinedOutcome(a, b failure.Outcome) failure.Outcome {
	if a == failure.Ran || b == failure.Ran {
		return failure.Ran
	}
	if a == failure.NotRun && b == failure.NotRun {
		return failure.NotRun
	}
	return failure.Unknown
}

// withOutcome returns e with the outcome of all attempts.
func withOutcome(e *failure.Error, outcome failure.Outcome) error {
	if e.Outcome == outcome {
		return e
	}
	combined := *e
	combined.Outcome = outcome
	return &combined
}

func (f *Retry) deposit(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.initialized {
		f.tokens, f.initialized = budgetBurst, true
	}
	f.tokens = min(f.tokens+share, budgetBurst)
}

// withinBudget reports whether a retry is allowed, and takes a token from the
// budget if it needs one. The budget bounds the load of retries on the
// upstreams. A retry needs no token if the upstream received nothing or if it
// crashed: trials of suspects run one at a time on each upstream.
func (f *Retry) withinBudget(r *filter.Request, e *failure.Error) bool {
	return e.Outcome == failure.NotRun || r.Crashed || f.withdraw()
}

func (f *Retry) withdraw() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tokens < 1 {
		return false
	}
	f.tokens--
	return true
}
