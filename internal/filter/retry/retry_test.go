package retry

import (
	"context"
	"testing"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
)

// attempts returns a handler in place of the forward filter, and its number of
// calls. Each attempt ends with the next failure, or with the last one.
func attempts(failures ...*failure.Error) (filter.Handler, *int) {
	n := new(int)
	return func(_ context.Context, r *filter.Request) error {
		r.Attempt++
		*n++
		if f := failures[min(*n, len(failures))-1]; f != nil {
			return f
		}
		return nil
	}, n
}

func TestOutcomeCoversAllAttempts(t *testing.T) {
	refused := failure.New(failure.UpstreamUnreachable, failure.NotRun, "refused")
	broken := failure.New(failure.UpstreamFailed, failure.Unknown, "reset")
	none := failure.New(failure.NoUpstream, failure.NotRun, "none")
	tests := []struct {
		name     string
		failures []*failure.Error
		outcome  failure.Outcome
		attempts int
	}{
		{"refused always", []*failure.Error{refused}, failure.NotRun, maxAttempts},
		{"broken, then refused", []*failure.Error{broken, refused}, failure.Unknown, maxAttempts},
		{"broken, then no upstream", []*failure.Error{broken, none}, failure.Unknown, 2},
		{"broken always", []*failure.Error{broken}, failure.Unknown, maxDispatches},
		{"answered at last", []*failure.Error{refused, broken, nil}, "", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next, n := attempts(test.failures...)
			r := &filter.Request{Document: &deployment.Document{}, Idempotent: true}
			err := new(Retry).Handle(t.Context(), r, next)
			if test.outcome == "" {
				if err != nil {
					t.Error(err)
				}
			} else if e := failure.As(err); e.Outcome != test.outcome {
				t.Error(err)
			}
			if *n != test.attempts {
				t.Errorf("%d attempts, want %d", *n, test.attempts)
			}
		})
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	const requests, share = 1000, 0.1
	doc := &deployment.Document{Deployment: deployment.Deployment{RetryBudget: share}}
	broken := failure.New(failure.UpstreamFailed, failure.Unknown, "reset")
	f := new(Retry)
	sent := 0
	for range requests {
		next, n := attempts(broken)
		_ = f.Handle(t.Context(), &filter.Request{Document: doc, Idempotent: true}, next)
		sent += *n
	}
	if retries := sent - requests; retries > share*requests+budgetBurst || retries < share*requests {
		t.Errorf("%d retries of %d requests, want the budget of 10%%", retries, requests)
	}
}
