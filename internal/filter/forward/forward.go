// Package forward makes one attempt at a request: it reserves a place on an
// upstream and exchanges the request there.
package forward

import (
	"context"
	"time"

	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/routing"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

// Numbers of a request's attempts. Whatever broke the first may have broken
// other open connections too, so later ones dial.
const (
	firstAttempt  = 1
	secondAttempt = 2
)

// minBlamedSilence is how long an upstream must be silent before an attempt that
// the caller's own deadline ended is held against the upstream.
const minBlamedSilence = time.Second

// Forward is the last filter of the chain.
type Forward struct {
	router   routing.Router
	services upstream.Exchanger
	engines  upstream.Engine
}

// New returns a Forward over the given clients.
func New(router routing.Router, services upstream.Exchanger, engines upstream.Engine) *Forward {
	return &Forward{router: router, services: services, engines: engines}
}

// Provision implements filter.Filter.
func (f *Forward) Provision(i do.Injector) (err error) {
	if f.router, err = do.Invoke[routing.Router](i); err != nil {
		return err
	}
	if f.services, err = do.Invoke[upstream.Exchanger](i); err != nil {
		return err
	}
	f.engines, err = do.Invoke[upstream.Engine](i)
	return err
}

// Validate implements filter.Filter.
func (f *Forward) Validate() error { return nil }

// Handle implements filter.Filter.
func (f *Forward) Handle(ctx context.Context, r *filter.Request, _ filter.Handler) error {
	place, err := f.router.Reserve(ctx, routingRequest(r))
	if err != nil {
		return err
	}
	result := routing.Cancelled
	defer func() { place.Done(result) }()
	if r.Accept != nil && !r.Accept(place.Upstream().ID) {
		return filter.ErrNotAccepted
	}
	now := time.Now()
	if err := checkDispatchTime(ctx, r, now); err != nil {
		return err
	}
	r.Attempt++
	r.Upstream = place.Upstream()
	r.DispatchStarted(now)
	if !r.DispatchBy.IsZero() {
		ctx = upstream.WithDispatchBy(ctx, r.DispatchBy)
	}
	if !r.Idempotent || r.Attempt > firstAttempt {
		ctx = upstream.WithNewConnection(ctx)
	}
	ctx = withProgressTimeout(ctx, r)
	tokensBefore := r.Partial.Tokens
	attemptCtx, cancel := context.WithTimeout(ctx, r.AttemptTimeout)
	defer cancel()
	if r.Chat != nil {
		err = f.generate(attemptCtx, r)
	} else {
		err = f.exchange(attemptCtx, r)
	}
	result = resultOf(err)
	if ctx.Err() != nil && (time.Since(now) < minBlamedSilence || r.Partial.Tokens > tokensBefore) {
		result = routing.Cancelled
	}
	return err
}

// withProgressTimeout lets a service that is slow, but alive, answer within the time
// that the document gives it. A request that may be repeated is first tried
// elsewhere, since another upstream may be faster.
func withProgressTimeout(ctx context.Context, r *filter.Request) context.Context {
	switch {
	case r.Chat != nil:
		return ctx
	case !r.Idempotent || r.Attempt > secondAttempt:
		// The timeout of the attempt comes first.
		return upstream.WithMinProgressTimeout(ctx, 2*r.AttemptTimeout)
	case r.Attempt == secondAttempt:
		return upstream.WithMinProgressTimeout(ctx, r.AttemptTimeout/2)
	}
	return ctx
}

func routingRequest(r *filter.Request) routing.Request {
	req := routing.Request{Pool: r.Pool, Class: r.Class, Avoid: r.Avoid, Alone: r.Alone}
	if r.Chat != nil {
		req.Prefix = engineapi.PrefixBlocks(r.Chat.Messages)
		req.Tokens = r.Chat.MaxTokens
	}
	return req
}

// checkDispatchTime refuses a dispatch that comes too late, for example
// because the process was paused after the request was claimed.
func checkDispatchTime(ctx context.Context, r *filter.Request, now time.Time) error {
	deadline, ok := ctx.Deadline()
	late := ctx.Err() != nil || (ok && pause.Passed(deadline, now)) || (!r.DispatchBy.IsZero() && pause.Passed(r.DispatchBy, now))
	if late {
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the deadline passed before an upstream was asked")
	}
	if !r.Idempotent && r.CallerGone != nil && r.CallerGone() {
		return failure.New(callerGone, failure.NotRun, "the caller had gone before an upstream was asked")
	}
	return nil
}

func resultOf(err error) routing.Result {
	if err == nil {
		return routing.Succeeded
	}
	e := failure.As(err)
	switch {
	case e.Kind == callerGone:
		return routing.Cancelled
	case e.Outcome == failure.NotRun:
		return routing.Refused
	}
	return routing.Failed
}
