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

// reconcileInterval is the time between two updates of the fleet. The membership list itself is
// read every membership_poll (setting, by default 1 s), and less often if it is long.
const reconcileInterval = 500 * time.Millisecond

// fleetReconciler keeps the fleet equal to the engines in the membership list. listed holds
// the IDs of the engines that the last Reconcile found there.
type fleetReconciler struct {
	docs     deployment.Source
	view     membership.View
	versions weights.View
	fleet    *fleet.Fleet
	listed   map[string]bool
}

// Run reconciles every reconcileInterval until ctx ends.
func (r *fleetReconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		r.Reconcile()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Reconcile adds or updates the listed engines in the fleet and removes those that are no
// longer listed. It does nothing until the deployment document and the membership list are
// loaded.
func (r *fleetReconciler) Reconcile() {
	doc := r.docs.Current()
	if doc == nil || !r.view.Ready() {
		return
	}
	seen := map[string]bool{}
	for name, pool := range doc.EnginePools {
		for _, u := range r.view.Upstreams(name) {
			seen[u.ID] = true
			replica := fleet.Replica{
				ID: u.ID, Service: name, Address: u.Address, Domain: u.FailureDomain, Draining: u.Leaving,
				Incarnation: int64(xxhash.Sum64String(u.Incarnation)), Slots: pool.MaxConcurrent, Models: map[string]uint64{},
			}
			if version, known := r.versions.Running(u.ID); known {
				replica.Models[pool.Model] = version
			}
			r.fleet.Put(replica)
		}
	}
	for id := range r.listed {
		if !seen[id] {
			r.fleet.Remove(id)
		}
	}
	r.listed = seen
	r.fleet.Sweep()
}
