package callerapi

import (
	"context"
	"net"

	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/drain"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/entry"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/health"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// Provide registers the *Server. Building it adds its background task to the
// duty.Group.
func Provide(i do.Injector) { do.Provide(i, newServer) }

func newServer(i do.Injector) (*Server, error) {
	source, err := do.Invoke[deployment.Source](i)
	if err != nil {
		return nil, err
	}
	hostDrain, err := do.Invoke[*drain.Drain](i)
	if err != nil {
		return nil, err
	}
	entryAnswers, err := do.Invoke[*entry.HostSelector](i)
	if err != nil {
		return nil, err
	}
	handler, err := do.Invoke[filter.Handler](i)
	if err != nil {
		return nil, err
	}
	host := do.MustInvoke[*settings.Settings](i).Host
	s := New(host.ID, do.MustInvoke[logr.Logger](i), source, hostDrain, entryAnswers, handler)
	if s.health, err = do.Invoke[health.View](i); err != nil {
		return nil, err
	}
	do.MustInvoke[*duty.Group](i).Add("caller-api", duty.StageIntake, func(ctx context.Context) error {
		listener, err := net.Listen("tcp4", host.CallerAddress)
		if err != nil {
			return failure.Wrap(err, failure.InvalidSettings, "", "cannot listen on the caller address").WithField("host.caller_address")
		}
		return s.Serve(ctx, listener)
	})
	return s, nil
}
