package adminapi

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/health"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// Provide registers the Server. It belongs to the last stage of the duty.Group to
// stop, which keeps health and metrics readable during the whole shutdown.
func Provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*Server, error) {
		s := do.MustInvoke[*settings.Settings](i)
		server := newServer(do.MustInvoke[logr.Logger](i), s.Host.AdminAddress, &authorizer{
			source:               do.MustInvoke[deployment.Source](i),
			bootstrapTokenSHA256: s.Access.OperatorTokenSHA256,
		})
		reader := do.MustInvoke[*config.Reader](i)
		configuration := &configEndpoints{committer: do.MustInvoke[*config.Committer](i), reader: reader}
		configuration.register(server)
		process := &healthEndpoints{view: do.MustInvoke[health.View](i), reader: reader, set: do.MustInvoke[*metrics.Set](i)}
		process.register(server)
		do.MustInvoke[*duty.Group](i).Add("administration", duty.StageExchange, server.run)
		return server, nil
	})
}
