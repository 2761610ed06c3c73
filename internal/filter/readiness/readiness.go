// Package readiness is the filter that refuses requests while this host is
// starting or isolated.
package readiness

import (
	"context"

	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/health"
)

// Readiness is the filter.
type Readiness struct {
	filter.Base
	view health.View
}

// New returns the filter for a host with the state in view.
func New(view health.View) *Readiness { return &Readiness{view: view} }

// Provision implements filter.Filter.
func (f *Readiness) Provision(i do.Injector) (err error) {
	f.view, err = do.Invoke[health.View](i)
	return err
}

// Handle implements filter.Filter. A draining host still serves requests:
// callers may use an earlier answer of the entry endpoint that names the host.
func (f *Readiness) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	state := f.view.State()
	if state != health.Draining {
		if err := state.Refusal(); err != nil {
			return err
		}
	}
	return next(ctx, r)
}
