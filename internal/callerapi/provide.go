package callerapi

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/drain"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/entry"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/health"
	"github.com/sapphirehatch/sapphirehatch/internal/intake"
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
	host, log := do.MustInvoke[*settings.Settings](i).Host, do.MustInvoke[logr.Logger](i)
	s := New(host.ID, log, source, hostDrain, entryAnswers, handler)
	s.gate = newGate(host, do.MustInvoke[*metrics.Set](i), log)
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

// eventCounter counts events in a set of metrics.
type eventCounter struct{ set *metrics.Set }

// Event implements intake.Counter.
func (c eventCounter) Event(name string) {
	c.set.GetOrCreateCounter(`sapphirehatch_events_total{event="` + name + `"}`).Inc()
}

// newGate returns the limits of what callers may make a host hold, with their metrics.
func newGate(host settings.Host, set *metrics.Set, log logr.Logger) *intake.Gate {
	gate := intake.New(intakeLimits(host.MemoryMB, host.MaxFDs), nil, eventCounter{set}, log)
	set.GetOrCreateGauge("sapphirehatch_intake_reserved_bytes", func() float64 { return float64(gate.Budget().Used()) })
	set.GetOrCreateGauge("sapphirehatch_intake_budget_bytes", func() float64 { return float64(gate.Budget().Total()) })
	return gate
}
