package weights

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/controller"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/lease"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

// Provide registers the *Watcher, also as View, and the *Controller, which adds
// its reconcilers to the controller.Manager.
func Provide(i do.Injector) {
	do.Provide(i, provideWatcher)
	do.Provide(i, func(i do.Injector) (View, error) { return do.Invoke[*Watcher](i) })
	do.Provide(i, provideController)
}

func provideWatcher(i do.Injector) (*Watcher, error) {
	w := NewWatcher(
		do.MustInvoke[logr.Logger](i),
		do.MustInvoke[deployment.Source](i),
		do.MustInvoke[platform.Weights](i),
		do.MustInvoke[peer.Exchange](i),
		do.MustInvoke[lease.Holder](i),
	)
	do.MustInvoke[*duty.Group](i).Add("weights-watch", duty.StageExchange, w.Run)
	return w, nil
}

func provideController(i do.Injector) (*Controller, error) {
	watcher := do.MustInvoke[*Watcher](i)
	c := &Controller{
		log:       do.MustInvoke[logr.Logger](i).WithName("weights"),
		source:    do.MustInvoke[deployment.Source](i),
		members:   do.MustInvoke[membership.View](i),
		engines:   do.MustInvoke[upstream.Engine](i),
		leases:    do.MustInvoke[lease.Holder](i),
		watcher:   watcher,
		timing:    do.MustInvoke[*settings.Settings](i).Timing,
		metricSet: do.MustInvoke[*metrics.Set](i),
	}
	manager := do.MustInvoke[*controller.Manager](i)
	manager.Add(lease.WeightsShard(""), func(name string) controller.Reconciler { return c.newReconciler(name) })
	watcher.onNewest = func(pool string) { manager.Trigger(lease.WeightsShard(pool)) }
	return c, nil
}
