// Package chain assembles the filters of callers' requests in order.
package chain

import (
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/claim"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/drain"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/atmostonce"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/authenticate"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/classqueue"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/crashguard"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/forward"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/idempotencykey"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/match"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/measure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/readiness"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/retry"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/tenantquota"
	"github.com/sapphirehatch/sapphirehatch/internal/home"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// Provide registers the chain as a filter.Handler.
func Provide(i do.Injector) { do.Provide(i, newHandler) }

func newHandler(i do.Injector) (filter.Handler, error) {
	filters := []filter.Filter{
		&measure.Measure{},
		&readiness.Readiness{},
		&authenticate.Authenticate{},
		&match.Match{},
		&idempotencykey.IdempotencyKey{},
		&tenantquota.TenantQuota{},
		&classqueue.ClassQueue{},
		&atmostonce.AtMostOnce{},
		&retry.Retry{},
		&crashguard.CrashGuard{},
		&forward.Forward{},
	}
	for _, f := range filters {
		if err := f.Provision(i); err != nil {
			return nil, err
		}
		if err := f.Validate(); err != nil {
			return nil, err
		}
	}
	handler := filter.Compose(filters...)
	return handler, serveHome(i, handler)
}

// serveHome lets other hosts forward requests to this host's chain.
func serveHome(i do.Injector, handler filter.Handler) error {
	exchange, err := do.Invoke[peer.Exchange](i)
	if err != nil {
		return err
	}
	source, err := do.Invoke[deployment.Source](i)
	if err != nil {
		return err
	}
	stop, err := do.Invoke[*drain.Drain](i)
	if err != nil {
		return err
	}
	claims, err := do.Invoke[*claim.Registry](i)
	if err != nil {
		return err
	}
	home.RegisterServer(exchange, source, stop, claims, handler)
	return nil
}
