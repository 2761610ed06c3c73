package chatjobs

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/weights"
)

// membersInterval is how often the fleet is brought up to date; the membership
// list itself is read once a second.
const membersInterval = 500 * time.Millisecond

// members brings the engines of the membership list into the fleet.
type members struct {
	docs     deployment.Source
	view     membership.View
	versions weights.View
	fleet    *fleet.Fleet
	listed   map[string]bool
}

// Run reconciles until ctx ends.
func (m *members) Run(ctx context.Context) error {
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for {
		m.Reconcile()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Reconcile makes the fleet hold the engines that the membership list shows.
func (m *members) Reconcile() {
	doc := m.docs.Current()
	if doc == nil || !m.view.Ready() {
		return
	}
	seen := map[string]bool{}
	for name, pool := range doc.Engines {
		for _, u := range m.view.Upstreams(name) {
			seen[u.ID] = true
			r := fleet.Replica{
				ID: u.ID, Service: name, Address: u.Address, Domain: u.FailureDomain, Draining: u.Leaving,
				Incarnation: int64(xxhash.Sum64String(u.Incarnation)), Slots: pool.MaxConcurrent, Models: map[string]uint64{},
			}
			if version, known := m.versions.Running(u.ID); known {
				r.Models[pool.Model] = version
			}
			m.fleet.Put(r)
		}
	}
	for id := range m.listed {
		if !seen[id] {
			m.fleet.Remove(id)
		}
	}
	m.listed = seen
	m.fleet.Sweep()
}
