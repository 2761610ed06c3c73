package quarantine

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

// forgetInterval is the longest interval at which reports are merged and expired
// records dropped.
const forgetInterval = 10 * time.Second

// Provide registers the *Registry, whose merge loop starts with it, and the *Prober.
func Provide(i do.Injector) {
	do.Provide(i, newRegistry)
	do.Provide(i, func(i do.Injector) (*Prober, error) {
		engines, err := do.Invoke[upstream.Engine](i)
		if err != nil {
			return nil, err
		}
		view, err := do.Invoke[membership.View](i)
		if err != nil {
			return nil, err
		}
		return NewProber(upstream.DialTCP, engines, view), nil
	})
}

func newRegistry(i do.Injector) (*Registry, error) {
	exchange, err := do.Invoke[peer.Exchange](i)
	if err != nil {
		return nil, err
	}
	s := do.MustInvoke[*settings.Settings](i)
	r := New(exchange, do.MustInvoke[logr.Logger](i), s.Timing.QuarantineTerm)
	changed := exchange.Watch(peer.TopicCrash)
	do.MustInvoke[*duty.Group](i).Add("crash-reports", duty.StageControl, func(ctx context.Context) error { return r.run(ctx, changed) })
	return r, nil
}

// run calls Merge after each change of the crash reports and at forgetInterval,
// until ctx ends.
func (r *Registry) run(ctx context.Context, changed <-chan struct{}) error {
	ticker := time.NewTicker(forgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-changed:
			r.Merge()
		case <-ticker.C:
			r.Merge()
		case <-ctx.Done():
			return nil
		}
	}
}
