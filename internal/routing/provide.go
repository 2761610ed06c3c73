package routing

import (
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

// Provide registers the *Balancer, also as Router, and runs its refresh and poll loops.
func Provide(i do.Injector) {
	do.Provide(i, provideBalancer)
	do.Provide(i, func(i do.Injector) (Router, error) { return do.Invoke[*Balancer](i) })
}

func provideBalancer(i do.Injector) (*Balancer, error) {
	b := NewBalancer(do.MustInvoke[membership.View](i), do.MustInvoke[deployment.Source](i), do.MustInvoke[*settings.Settings](i).Host)
	duties := do.MustInvoke[*duty.Group](i)
	duties.Add("routing-refresh", duty.StageControl, b.Run)
	duties.Add("routing-poll", duty.StageControl, NewPoller(b, do.MustInvoke[upstream.Engine](i)).Run)
	return b, nil
}
