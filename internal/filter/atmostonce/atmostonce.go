// Package atmostonce is the filter that dispatches a request with an
// idempotency key only after this host has claimed the key. A key that names its
// home host is claimed there: the request is forwarded to that host.
package atmostonce

import (
	"context"

	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/claim"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/home"
)

// AtMostOnce is the filter.
type AtMostOnce struct {
	filter.Base
	claims *claim.Registry
	homes  *home.Client
}

// New returns the filter with a host's claims and its client for other hosts.
func New(claims *claim.Registry, homes *home.Client) *AtMostOnce {
	return &AtMostOnce{claims: claims, homes: homes}
}

// Provision implements filter.Filter.
func (f *AtMostOnce) Provision(i do.Injector) (err error) {
	if f.claims, err = do.Invoke[*claim.Registry](i); err != nil {
		return err
	}
	f.homes, err = do.Invoke[*home.Client](i)
	return err
}

// Handle implements filter.Filter.
func (f *AtMostOnce) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	if r.Key == nil {
		return next(ctx, r)
	}
	r.KeyOutcomeKnown = true
	if r.Key.Key.Home != "" && !f.claims.IsHome(r.Key.Key) {
		r.LeaveQueue()
		return f.homes.Forward(ctx, r)
	}
	ticket, verdict, err := f.claims.Begin(ctx, *r.Key)
	if err != nil {
		return err
	}
	if verdict != nil {
		return verdict.Deliver(r.Answer)
	}
	r.DispatchBy = ticket.DispatchBy()
	err = next(ctx, r)
	ticket.Finish(err, r.Answer)
	return err
}
