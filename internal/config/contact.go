package config

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// IsolationMonitor records when this host last heard from anyone who could tell it of a newer version.
type IsolationMonitor struct {
	exchange peer.Exchange
	bound    time.Duration
	// alone is true for a host that was not told of any other host.
	alone   bool
	started time.Time
	store   atomic.Pointer[time.Time]
}

func newContact(s *settings.Settings, exchange peer.Exchange, set *metrics.Set) *IsolationMonitor {
	c := &IsolationMonitor{
		exchange: exchange,
		bound:    s.Timing.IsolationBound,
		alone:    len(s.Host.SeedPeers) == 0,
		started:  time.Now(),
	}
	set.GetOrCreateGauge("sapphirehatch_isolated", c.isolatedGauge)
	set.GetOrCreateGauge("sapphirehatch_config_store_silence_seconds", func() float64 { return time.Since(c.lastStore()).Seconds() })
	return c
}

func (c *IsolationMonitor) isolatedGauge() float64 {
	if c.Isolated() {
		return 1
	}
	return 0
}

// lastStore returns when the store last answered, or when the process started.
func (c *IsolationMonitor) lastStore() time.Time {
	if store := c.store.Load(); store != nil {
		return *store
	}
	return c.started
}

func (c *IsolationMonitor) storeAnswered() {
	now := time.Now()
	c.store.Store(&now)
}

// Isolated reports whether neither the store nor any peer answered for the
// isolation bound, so that this host cannot know whether its version is current.
func (c *IsolationMonitor) Isolated() bool {
	last := c.lastStore()
	peers := c.exchange.LastContact()
	if peers.After(last) {
		last = peers
	}
	if c.alone && peers.IsZero() {
		return false
	}
	return time.Since(last) > c.bound
}
