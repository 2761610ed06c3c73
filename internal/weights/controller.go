package weights

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/controller"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/lease"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

const (
	// pendingInterval is the time between two runs while any replica has not reached the goal, or
	// the pool has no replica.
	pendingInterval = 100 * time.Millisecond
	// settledInterval is the time between two runs otherwise, also while no goal is known.
	settledInterval = 500 * time.Millisecond
	// maxParallelCalls bounds the concurrent calls to engines of one run.
	maxParallelCalls = 64
)

// engine is the part of upstream.Engine that this package uses.
type engine interface {
	Order(ctx context.Context, target membership.Upstream, order engineapi.Order) error
	Status(ctx context.Context, target membership.Upstream) (engineapi.Status, error)
}

// Controller creates the reconcilers of the engine pools.
type Controller struct {
	log       logr.Logger
	source    deployment.Source
	members   membership.View
	engines   engine
	leases    lease.Holder
	watcher   *Watcher
	timing    settings.Timing
	metricSet *metrics.Set
}

// poolReconciler rolls out the goal version to one engine pool. It is created
// for each grant of the pool's lease.
type poolReconciler struct {
	*Controller
	// name is the pool.
	name      string
	heldSince time.Time
	replicas  map[string]*replica
	// goalVersion is the version that is rolled out, and goalSince since when.
	goalVersion uint64
	goalSince   time.Time
	// complete is true while all replicas, at least one, have reached the goal. recorded
	// is true once the duration of the goal's rollout was recorded.
	complete bool
	recorded bool
}

var _ controller.Reconciler = (*poolReconciler)(nil)

// newReconciler returns the reconciler of a pool whose lease this host has just acquired.
func (c *Controller) newReconciler(name string) *poolReconciler {
	return &poolReconciler{Controller: c, name: name, heldSince: time.Now(), replicas: map[string]*replica{}}
}

// Reconcile implements controller.Reconciler. It reads the status of the replicas
// that are due and then sends the orders that are needed.
func (p *poolReconciler) Reconcile(ctx context.Context, grant lease.Grant) (controller.Result, error) {
	again := controller.Result{RequeueAfter: settledInterval}
	doc := p.source.Current()
	if doc == nil {
		return again, nil
	}
	cfg, ok := doc.EnginePools[p.name]
	if !ok {
		return again, nil
	}
	p.syncReplicas()
	g, ok := p.currentGoal(cfg, grant.Fence)
	if !ok {
		return again, nil
	}
	p.readStatus(ctx, g)
	g, _ = p.currentGoal(cfg, grant.Fence)
	p.recordProgress(g)
	if p.mayOrder(cfg, grant.Fence) {
		p.sendOrders(ctx, cfg, g)
	}
	if !p.complete {
		again.RequeueAfter = pendingInterval
	}
	return again, nil
}

// syncReplicas adds new replicas of the pool and removes those that left or were replaced.
func (p *poolReconciler) syncReplicas() {
	current := map[string]*replica{}
	for _, u := range p.members.Upstreams(p.name) {
		r, ok := p.replicas[u.ID]
		if !ok || r.upstream.Address != u.Address || r.upstream.Incarnation != u.Incarnation {
			r = &replica{}
		}
		r.upstream = u
		current[u.ID] = r
	}
	p.replicas = current
}

// currentGoal returns the pool's goal, and false if no version is known. Without a
// version in the document the goal is the newest known version, but never lower
// than one that a replica runs: a holder that has not yet read the newest version
// from the weight store must not downgrade engines.
func (p *poolReconciler) currentGoal(cfg deployment.EnginePool, fence uint64) (goal, bool) {
	version := cfg.Version
	if version == 0 {
		version = p.watcher.Newest(cfg.Name)
		for _, r := range p.replicas {
			version = max(version, r.status.Version)
		}
	}
	g := goal{version: version, fence: fence, checksFencing: cfg.ChecksFencing, maxLoading: max(1, cfg.MaxConcurrentLoads)}
	return g, version != 0
}

// mayOrder reports whether orders may be sent under this grant. Engines that
// ignore fencing tokens get none until the last order of the previous holder must
// have ended: a lease term plus the longest order after this host took over. The
// first holder, whose token is 1, does not wait.
func (p *poolReconciler) mayOrder(cfg deployment.EnginePool, fence uint64) bool {
	if cfg.ChecksFencing || fence <= 1 {
		return true
	}
	return time.Since(p.heldSince) >= p.timing.LeaseTerm+p.timing.LongestOrder
}

// readStatus reads the status of the replicas that are due, in parallel.
func (p *poolReconciler) readStatus(ctx context.Context, g goal) {
	now := time.Now()
	var due []*replica
	for _, r := range p.replicas {
		if r.dueForRead(g, now) {
			due = append(due, r)
		}
	}
	inParallel(due, func(r *replica) {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		status, err := p.engines.Status(callCtx, r.upstream)
		if err != nil {
			r.recordReadFailure(time.Now())
			return
		}
		if r.recordStatus(status, g, time.Now()) {
			p.metricSet.GetOrCreateCounter(`sapphirehatch_weight_loads_failed_total{pool="` + p.name + `"}`).Inc()
			p.log.Info("weight load failed", "pool", p.name, "engine", r.upstream.ID, "version", g.version, "failures", r.failures)
		}
		p.watcher.observe(r.upstream.ID, status.Version, time.Now())
	})
}

// sendOrders sends the planned orders in parallel.
func (p *poolReconciler) sendOrders(ctx context.Context, cfg deployment.EnginePool, g goal) {
	replicas := make([]*replica, 0, len(p.replicas))
	for _, u := range p.members.Upstreams(p.name) {
		if r, ok := p.replicas[u.ID]; ok {
			replicas = append(replicas, r)
		}
	}
	inParallel(plan(replicas, g, time.Now()), func(r *replica) { p.sendOrder(ctx, cfg, r, g) })
}

// sendOrder orders one replica to load the goal version. It checks the lease
// immediately before, because the grant may have ended since the run began.
func (p *poolReconciler) sendOrder(ctx context.Context, cfg deployment.EnginePool, r *replica, g goal) {
	grant, held := p.leases.Held(lease.WeightsShard(p.name))
	if !held || grant.Fence != g.fence {
		return
	}
	callCtx, cancel := context.WithDeadline(ctx, earlier(grant.Until, time.Now().Add(p.timing.LongestOrder)))
	defer cancel()
	r.orderedAt = time.Now()
	r.orderedVersion = g.version
	err := p.engines.Order(callCtx, r.upstream, engineapi.Order{
		Kind:    engineapi.OrderLoadVersion,
		Model:   cfg.Model,
		Version: g.version,
		Fence:   grant.Fence,
	})
	if err == nil {
		return
	}
	r.recordOrderFailure(time.Now())
	p.log.Info("weight order failed", "pool", p.name, "engine", r.upstream.ID, "version", g.version,
		"reason", string(failure.As(err).Kind))
}

// recordProgress logs and measures the duration of a rollout, from the new goal
// until all replicas have reached it.
func (p *poolReconciler) recordProgress(g goal) {
	if p.goalVersion != g.version {
		p.goalVersion = g.version
		p.goalSince = time.Now()
		p.recorded = false
	}
	before := p.complete
	p.complete = len(p.replicas) > 0 && lo.EveryBy(lo.Values(p.replicas), func(r *replica) bool { return r.settled(g) })
	if before || !p.complete || p.recorded {
		return
	}
	p.recorded = true
	took := time.Since(p.goalSince)
	p.metricSet.GetOrCreateHistogram(`sapphirehatch_weight_rollout_seconds{pool="` + p.name + `"}`).Update(took.Seconds())
	p.log.Info("weights on all replicas", "pool", p.name, "version", g.version, "replicas", len(p.replicas), "took", took.String())
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// inParallel calls f for each replica, in at most maxParallelCalls goroutines at a time.
func inParallel(replicas []*replica, f func(r *replica)) {
	slots := make(chan struct{}, maxParallelCalls)
	var calls sync.WaitGroup
	for _, r := range replicas {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			f(r)
		})
	}
	calls.Wait()
}
