package membership

import (
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// Provide registers the View, and adds the duties that update it and register this
// host.
func Provide(i do.Injector) {
	do.Provide(i, provideView)
	do.Provide(i, func(i do.Injector) (View, error) { return do.Invoke[*MergedView](i) })
}

func provideView(i do.Injector) (*MergedView, error) {
	s := do.MustInvoke[*settings.Settings](i)
	peers := do.MustInvoke[peer.Exchange](i)
	members := do.MustInvoke[platform.Members](i)
	duties := do.MustInvoke[*duty.Group](i)
	view := NewMergedView(peers)
	poller := &Poller{
		view:     view,
		members:  members,
		peers:    peers,
		seeds:    do.MustInvoke[peer.Seeder](i),
		interval: s.Timing.MembershipPoll,
		timeout:  s.Platform.Timeout,
		log:      do.MustInvoke[logr.Logger](i),
	}
	registrar := &Registrar{
		members:  members,
		peers:    peers,
		host:     s.Host,
		interval: pollsPerRenewal * s.Timing.MembershipPoll,
		timeout:  s.Platform.Timeout,
	}
	peers.Handle(MethodList, poller.handleList)
	duties.Add("membership-join", duty.StageExchange, view.Run)
	duties.Add("membership-poll", duty.StageExchange, poller.Run)
	duties.Add("membership-register", duty.StageExchange, registrar.Run)
	return view, nil
}
