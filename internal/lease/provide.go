package lease

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// Provide registers the *Elector, also as Holder. It stops after the
// controllers, because a lease may be released only when no work is in progress
// under it.
func Provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*Elector, error) {
		elector := newElector(
			do.MustInvoke[logr.Logger](i),
			do.MustInvoke[platform.Table](i),
			do.MustInvoke[deployment.Source](i),
			do.MustInvoke[peer.Exchange](i),
			do.MustInvoke[*settings.Settings](i).Timing,
			do.MustInvoke[*metrics.Set](i),
		)
		do.MustInvoke[*duty.Group](i).Add("lease-keeper", duty.StageExchange, elector.run)
		return elector, nil
	})
	do.Provide(i, func(i do.Injector) (Holder, error) {
		return do.MustInvoke[*Elector](i), nil
	})
}
