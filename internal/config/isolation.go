package config

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// IsolationMonitor tracks when this host was last in contact with the store or a
// peer, from which it would learn of a newer version.
type IsolationMonitor struct {
	exchange       peer.Exchange
	isolationBound time.Duration
	// noSeedPeers is true if the settings name no other host.
	noSeedPeers bool
	started     time.Time
	// lastStoreReply is when the store last replied; nil before the first reply.
	lastStoreReply atomic.Pointer[time.Time]
}

func newIsolationMonitor(s *settings.Settings, exchange peer.Exchange, set *metrics.Set) *IsolationMonitor {
	m := &IsolationMonitor{
		exchange:       exchange,
		isolationBound: s.Timing.IsolationBound,
		noSeedPeers:    len(s.Host.SeedPeers) == 0,
		started:        time.Now(),
	}
	set.GetOrCreateGauge("sapphirehatch_isolated", m.isolatedGauge)
	set.GetOrCreateGauge("sapphirehatch_config_store_silence_seconds", func() float64 { return time.Since(m.storeContact()).Seconds() })
	return m
}

func (m *IsolationMonitor) isolatedGauge() float64 {
	if m.Isolated() {
		return 1
	}
	return 0
}

// storeContact returns when the store last replied, or when the process started.
func (m *IsolationMonitor) storeContact() time.Time {
	if store := m.lastStoreReply.Load(); store != nil {
		return *store
	}
	return m.started
}

// recordStoreReply records that the store has replied now.
func (m *IsolationMonitor) recordStoreReply() {
	now := time.Now()
	m.lastStoreReply.Store(&now)
}

// Isolated reports whether this host had no contact with the store or any peer for
// longer than the isolation bound, and thus cannot know whether its version is
// current. A host without seed peers is not isolated before its first contact
// with a peer.
func (m *IsolationMonitor) Isolated() bool {
	last := m.storeContact()
	peers := m.exchange.LastContact()
	if peers.After(last) {
		last = peers
	}
	if m.noSeedPeers && peers.IsZero() {
		return false
	}
	return time.Since(last) > m.isolationBound
}
