package config

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// Provide registers the *Source, also as deployment.Source, the *Committer, the
// *Reader and the *IsolationMonitor.
func Provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*store, error) {
		return &store{table: do.MustInvoke[platform.Table](i)}, nil
	})
	do.Provide(i, func(i do.Injector) (*IsolationMonitor, error) {
		return newIsolationMonitor(do.MustInvoke[*settings.Settings](i), do.MustInvoke[peer.Exchange](i), do.MustInvoke[*metrics.Set](i)), nil
	})
	do.Provide(i, provideSource)
	do.Provide(i, func(i do.Injector) (deployment.Source, error) {
		return do.MustInvoke[*Source](i), nil
	})
	do.Provide(i, func(i do.Injector) (*Committer, error) {
		exchange := do.MustInvoke[peer.Exchange](i)
		return &Committer{
			log:              do.MustInvoke[logr.Logger](i),
			store:            do.MustInvoke[*store](i),
			source:           do.MustInvoke[*Source](i),
			announcedVersion: func() uint64 { return highestAnnouncedVersion(exchange) },
			pusher:           &pusher{log: do.MustInvoke[logr.Logger](i), exchange: exchange},
			now:              time.Now,
		}, nil
	})
	do.Provide(i, func(i do.Injector) (*Reader, error) {
		return &Reader{
			store:    do.MustInvoke[*store](i),
			source:   do.MustInvoke[*Source](i),
			exchange: do.MustInvoke[peer.Exchange](i),
		}, nil
	})
}

// provideSource creates the Source and adds the duties that keep it up to date.
func provideSource(i do.Injector) (*Source, error) {
	s := do.MustInvoke[*settings.Settings](i)
	log := do.MustInvoke[logr.Logger](i)
	exchange := do.MustInvoke[peer.Exchange](i)
	source := newSource(log, do.MustInvoke[*metrics.Set](i))
	p := &poller{
		log:       log,
		store:     do.MustInvoke[*store](i),
		source:    source,
		isolation: do.MustInvoke[*IsolationMonitor](i),
		interval:  s.Timing.ConfigPoll,
	}
	f := &follower{
		log:           log,
		source:        source,
		exchange:      exchange,
		watch:         exchange.Watch(peer.TopicConfig),
		retryInterval: s.Timing.ConfigPoll,
	}
	exchange.Handle(fetchMethod, (&fetchHandler{source: source}).handle)
	exchange.Handle(pushMethod, (&pushHandler{source: source}).handle)
	duties := do.MustInvoke[*duty.Group](i)
	duties.Add("config-poller", duty.StageExchange, p.run)
	duties.Add("config-follower", duty.StageExchange, f.run)
	duties.Add("config-announcer", duty.StageExchange, (&announcer{source: source, exchange: exchange}).run)
	return source, nil
}
