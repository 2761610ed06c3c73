package controller

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/lease"
)

// Provide registers the *Manager and makes the lease.Elector wait for its runs.
func Provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*Manager, error) {
		elector := do.MustInvoke[*lease.Elector](i)
		manager := newManager(
			do.MustInvoke[logr.Logger](i),
			do.MustInvoke[deployment.Source](i),
			elector,
			do.MustInvoke[*metrics.Set](i),
		)
		elector.SetQuiesce(manager.Quiesce)
		do.MustInvoke[*duty.Group](i).Add("controllers", duty.StageControl, manager.run)
		return manager, nil
	})
}
