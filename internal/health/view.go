package health

import (
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// State is a host's readiness.
type State string

// States of a host.
const (
	// Starting means that the host has not read the deployment document or the
	// membership list yet.
	Starting State = "starting"
	// Ready means that the host takes requests.
	Ready State = "ready"
	// Draining means that the host is stopping and callers should use another one.
	Draining State = "draining"
	// Isolated means that the host has had no contact with the store or any peer for
	// longer than the isolation bound, so its configuration may be out of date. A host
	// without seed peers is not isolated before its first contact with a peer.
	Isolated State = "isolated"
)

// View reads this host's state.
type View interface {
	// State returns the current state.
	State() State
}

// Refusal returns the error for requests that reach a host in this state, or
// nil if it is ready. The outcome is NotRun.
func (s State) Refusal() error {
	switch s {
	case Ready:
		return nil
	case Draining:
		return failure.New(failure.Draining, failure.NotRun, "the host is stopping")
	case Isolated:
		return failure.New(failure.Isolated, failure.NotRun, "the host is cut off from the platform and its peers")
	default:
		return failure.New(failure.NotReady, failure.NotRun, "the host is starting")
	}
}

type view struct {
	source   deployment.Source
	contact  interface{ Isolated() bool }
	exchange peer.Exchange
	members  membership.View
}

// State implements View.
func (v *view) State() State {
	known := v.source.Current() != nil && v.members.Ready()
	switch {
	case known && v.contact.Isolated():
		// This comes before Draining, because a draining host still serves requests
		// and must not serve them with an outdated configuration.
		return Isolated
	case v.exchange.Self().Draining:
		return Draining
	case !known:
		return Starting
	default:
		return Ready
	}
}

// Provide registers the View.
func Provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (View, error) {
		return &view{
			source:   do.MustInvoke[deployment.Source](i),
			contact:  do.MustInvoke[*config.IsolationMonitor](i),
			exchange: do.MustInvoke[peer.Exchange](i),
			members:  do.MustInvoke[membership.View](i),
		}, nil
	})
}
