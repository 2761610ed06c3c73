// Package idempotencykey is the filter that reads a request's idempotency key
// and answers repeated requests from this host's memory. It reports the outcome
// NotRun only if no earlier request with the key may have run.
package idempotencykey

import (
	"context"

	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/claim"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
)

// IdempotencyKey is the filter.
type IdempotencyKey struct {
	filter.Base
	claims *claim.Registry
}

// New returns the filter with a host's claims.
func New(claims *claim.Registry) *IdempotencyKey { return &IdempotencyKey{claims: claims} }

// Provision implements filter.Filter.
func (f *IdempotencyKey) Provision(i do.Injector) (err error) {
	f.claims, err = do.Invoke[*claim.Registry](i)
	return err
}

// Handle implements filter.Filter.
func (f *IdempotencyKey) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	text := string(r.Inbound.Header.Peek(entryapi.HeaderIdempotencyKey))
	if text == "" {
		return next(ctx, r)
	}
	if r.Stream != nil {
		return failure.New(failure.InvalidRequest, failure.NotRun, "a streamed completion does not support an idempotency key").
			WithField(entryapi.HeaderIdempotencyKey)
	}
	key, err := claim.ParseKey(text)
	if err != nil {
		return err
	}
	r.Key = &claim.Request{Tenant: r.Tenant, Key: key, Fingerprint: claim.FingerprintOf(r.Inbound)}
	r.Idempotent = false
	verdict, unused, err := f.claims.Lookup(*r.Key)
	if err != nil {
		return err
	}
	if verdict != nil {
		return verdict.Deliver(r.Answer)
	}
	r.KeyOutcomeKnown = unused
	return withKeyOutcome(r, next(ctx, r))
}

// withKeyOutcome replaces the outcome NotRun of an error by Unknown if an
// earlier request with the key may have run.
func withKeyOutcome(r *filter.Request, err error) error {
	if err == nil || r.KeyOutcomeKnown {
		return err
	}
	e := failure.As(err)
	if e.Outcome != failure.NotRun {
		return e
	}
	corrected := *e
	corrected.Outcome = failure.Unknown
	return &corrected
}
