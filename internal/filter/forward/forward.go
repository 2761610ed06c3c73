// Package forward is the last filter. It makes one attempt at a request: it
// reserves an upstream, sends the request and reads the answer.
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

// Numbers of a request's attempts. Attempts after the first one dial a new
// connection, because the failure may have affected pooled connections too. A
// non-idempotent request always does; see upstream.WithNewConnection.
const (
	firstAttempt  = 1
	secondAttempt = 2
)

// minSilenceForFailure is the shortest duration of an attempt without a new token
// that counts as a failure of the upstream if the context of the request ended it.
const minSilenceForFailure = time.Second

// Forward is the filter.
type Forward struct {
	router   routing.Router
	services upstream.Exchanger
	engines  upstream.Engine
}

// New returns the filter with a router and the clients of services and engines.
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
	reservation, err := f.router.Reserve(ctx, routingRequest(r))
	if err != nil {
		return err
	}
	result := routing.Cancelled
	defer func() { reservation.Done(result) }()
	if r.Accept != nil && !r.Accept(reservation.Upstream().ID) {
		return filter.ErrNotAccepted
	}
	started := time.Now()
	if err := checkDispatch(ctx, r, started); err != nil {
		return err
	}
	r.Attempt++
	r.Upstream = reservation.Upstream()
	r.DispatchStarted(started)
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
	if ctx.Err() != nil && (time.Since(started) < minSilenceForFailure || r.Partial.Tokens > tokensBefore) {
		result = routing.Cancelled
	}
	return err
}

// withProgressTimeout returns a context with the minimum progress timeout of an
// attempt at a service. An idempotent request has the default in its first attempt,
// and at least half of AttemptTimeout in its second, because another upstream may be
// faster. Its later attempts, and all of a non-idempotent request, may use the whole
// AttemptTimeout. Completions always have the default.
func withProgressTimeout(ctx context.Context, r *filter.Request) context.Context {
	switch {
	case r.Chat != nil:
		return ctx
	case !r.Idempotent || r.Attempt > secondAttempt:
		// Twice AttemptTimeout, so that AttemptTimeout ends the attempt first.
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

// checkDispatch returns an error if it is too late to send the request, for
// example after a pause of the process, or if the request is not idempotent and its
// caller has disconnected.
func checkDispatch(ctx context.Context, r *filter.Request, now time.Time) error {
	deadline, ok := ctx.Deadline()
	late := ctx.Err() != nil || (ok && pause.Passed(deadline, now)) || (!r.DispatchBy.IsZero() && pause.Passed(r.DispatchBy, now))
	if late {
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the deadline passed before the request was sent to an upstream")
	}
	if !r.Idempotent && r.CallerGone != nil && r.CallerGone() {
		return failure.New(callerGone, failure.NotRun, "the caller disconnected before the request was sent to an upstream")
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
