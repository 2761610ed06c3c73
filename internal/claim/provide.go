package claim

import (
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// Provide registers the *Registry. Its duties are added when it is created.
func Provide(i do.Injector) { do.Provide(i, newRegistry) }

func newRegistry(i do.Injector) (*Registry, error) {
	exchange, err := do.Invoke[peer.Exchange](i)
	if err != nil {
		return nil, err
	}
	table, err := do.Invoke[platform.Table](i)
	if err != nil {
		return nil, err
	}
	s := do.MustInvoke[*settings.Settings](i)
	reg := New(exchange, table, do.MustInvoke[logr.Logger](i), s.Timing.KeyRetention)
	group := do.MustInvoke[*duty.Group](i)
	group.Add("claim-verdicts", duty.StageControl, reg.writeResults)
	group.Add("claim-sweep", duty.StageControl, reg.runSweep)
	group.Add("claim-forget", duty.StageControl, reg.runEviction)
	return reg, nil
}
