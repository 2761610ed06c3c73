package controller

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/lease"
)

// Result tells the Manager when to reconcile again.
type Result struct {
	// RequeueAfter is the wait before the next run; zero means the resync interval of 5 s.
	RequeueAfter time.Duration
}

// Reconciler moves one shard's state towards the desired state. A run relies on
// what it reads, so it may be repeated and may be cancelled at any point.
type Reconciler interface {
	// Reconcile runs once. ctx is cancelled when the grant ends. An implementation
	// sends grant.Fence with each order and calls lease.Holder.Held immediately
	// before it. After an error the run is retried with backoff; the error is logged
	// and counted unless the run was cancelled.
	Reconcile(ctx context.Context, grant lease.Grant) (Result, error)
}

// Factory returns a new reconciler of a shard; name is the shard without its
// prefix. It is called before the first run under each fencing token, so a
// reconciler keeps no state beyond one holding of the lease.
type Factory func(name string) Reconciler

// Leases reports which shards this host holds and notifies of changes.
type Leases interface {
	lease.Holder
	// Changed returns a channel that is closed when this host gains or loses a shard.
	Changed() <-chan struct{}
}

// Manager runs the reconcilers of the shards whose leases this host holds.
type Manager struct {
	log    logr.Logger
	source deployment.Source
	leases Leases
	set    *metrics.Set

	factories map[string]Factory

	mu      sync.Mutex
	workers map[string]*worker
}

func newManager(log logr.Logger, source deployment.Source, leases Leases, set *metrics.Set) *Manager {
	return &Manager{
		log:       log,
		source:    source,
		leases:    leases,
		set:       set,
		factories: map[string]Factory{},
		workers:   map[string]*worker{},
	}
}

// Add registers the factory for the shards that start with prefix, such as
// "weights/". It must be called before the Manager runs.
func (m *Manager) Add(prefix string, factory Factory) { m.factories[prefix] = factory }

// Trigger requests an immediate run of a shard's reconciler. If this host does not
// hold the shard, the request is kept and causes a second run right after the first
// one under the lease. Trigger has no effect for a shard without a reconciler.
func (m *Manager) Trigger(shard string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w := m.workers[shard]; w != nil {
		w.trigger()
	}
}

// Quiesce waits until no run of a shard's reconciler is in progress. For a shard
// without a reconciler the Manager cannot know what is in progress, so it waits
// until ctx ends and returns nil. It implements lease.Quiesce.
func (m *Manager) Quiesce(ctx context.Context, shard string) error {
	m.mu.Lock()
	w := m.workers[shard]
	m.mu.Unlock()
	if w == nil {
		<-ctx.Done()
		return nil
	}
	return w.quiesce(ctx)
}

// run keeps one worker per shard of the document in force until ctx ends. A
// change of the document also triggers the workers that remain.
func (m *Manager) run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	cancels := map[string]context.CancelFunc{}
	defer func() {
		for _, cancel := range cancels {
			cancel()
		}
	}()
	for {
		changed := m.source.Changed()
		wanted := m.wanted()
		for shard, cancel := range cancels {
			if wanted[shard] == nil {
				cancel()
				delete(cancels, shard)
			}
		}
		for shard, factory := range wanted {
			if cancels[shard] != nil {
				m.Trigger(shard)
				continue
			}
			workerCtx, cancel := context.WithCancel(ctx)
			cancels[shard] = cancel
			w := m.newWorker(shard, factory)
			running.Go(func() { w.run(workerCtx) })
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// boundFactory is a Factory bound to the name of one shard.
type boundFactory func() Reconciler

// wanted returns the shards of the document in force that have a factory.
func (m *Manager) wanted() map[string]boundFactory {
	wanted := map[string]boundFactory{}
	document := m.source.Current()
	if document == nil {
		return wanted
	}
	for _, shard := range lease.Shards(document) {
		for prefix, factory := range m.factories {
			if name, ok := strings.CutPrefix(shard, prefix); ok {
				wanted[shard] = func() Reconciler { return factory(name) }
			}
		}
	}
	return wanted
}

// newWorker registers a worker for a shard. It starts only after the shard's
// previous worker, if any, has stopped.
func (m *Manager) newWorker(shard string, factory boundFactory) *worker {
	kind, _, _ := strings.Cut(shard, "/")
	w := &worker{
		log:       m.log.WithValues("shard", shard),
		shard:     shard,
		leases:    m.leases,
		factory:   factory,
		stopped:   make(chan struct{}),
		triggered: make(chan struct{}, 1),
		idle:      make(chan struct{}, 1),
		runs:      m.set.GetOrCreateHistogram(`sapphirehatch_reconcile_seconds{controller="` + kind + `"}`),
		failures:  m.set.GetOrCreateCounter(`sapphirehatch_reconcile_failures_total{controller="` + kind + `"}`),
	}
	w.idle <- struct{}{}
	m.mu.Lock()
	defer m.mu.Unlock()
	w.previous = m.workers[shard]
	m.workers[shard] = w
	return w
}
