package controller

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/lease"
)

const (
	// resyncInterval is the wait after a run whose Result sets no RequeueAfter, and the
	// longest wait between two checks of a lease that this host does not hold.
	resyncInterval = 5 * time.Second
	// firstBackoff is the wait after the first failed run. It doubles with each
	// further failure, up to resyncInterval.
	firstBackoff = 100 * time.Millisecond
)

// worker runs one shard's reconciler while this host holds the shard.
type worker struct {
	log     logr.Logger
	shard   string
	leases  Leases
	factory boundFactory
	// previous is the worker that ran the shard before; nil if there was none.
	previous *worker
	// stopped is closed when run returns.
	stopped chan struct{}
	// triggered holds a value while a triggered run is due.
	triggered chan struct{}

	// reconciler was created for the grant with the fencing token fence.
	reconciler Reconciler
	fence      uint64

	// idle holds a value while no run is in progress.
	idle     chan struct{}
	runs     *metrics.Histogram
	failures *metrics.Counter
}

// trigger requests a run; see Manager.Trigger.
func (w *worker) trigger() {
	select {
	case w.triggered <- struct{}{}:
	default:
	}
}

// quiesce waits until no run is in progress. The error is DeadlineExceeded if ctx ends first.
func (w *worker) quiesce(ctx context.Context) error {
	select {
	case <-w.idle:
		w.idle <- struct{}{}
		return nil
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, "", "a run of the reconciler of shard %s is still in progress", w.shard)
	}
}

// run reconciles repeatedly while this host holds the shard, until ctx ends. It
// starts when the previous worker has stopped.
func (w *worker) run(ctx context.Context) {
	defer close(w.stopped)
	if w.previous != nil {
		<-w.previous.stopped
		w.previous = nil
	}
	backoff := firstBackoff
	for ctx.Err() == nil {
		changed := w.leases.Changed()
		if _, held := w.leases.Held(w.shard); !held {
			wait(ctx, resyncInterval, changed, nil)
			continue
		}
		result, err := w.reconcile(ctx)
		pause := resyncInterval
		switch {
		case err != nil:
			pause = backoff
			backoff = min(2*backoff, resyncInterval)
		default:
			backoff = firstBackoff
			if result.RequeueAfter > 0 {
				pause = result.RequeueAfter
			}
		}
		wait(ctx, pause, nil, w.triggered)
	}
}

// reconcile makes one run under the current grant. It does nothing if the shard is not held.
func (w *worker) reconcile(ctx context.Context) (Result, error) {
	<-w.idle
	defer func() { w.idle <- struct{}{} }()
	grant, held := w.leases.Held(w.shard)
	if !held {
		return Result{}, nil
	}
	if w.reconciler == nil || w.fence != grant.Fence {
		w.reconciler, w.fence = w.factory(), grant.Fence
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.cancelOnGrantEnd(ctx, cancel, grant)
	started := time.Now()
	result, err := w.reconciler.Reconcile(ctx, grant)
	w.runs.UpdateDuration(started)
	if err != nil && ctx.Err() == nil {
		w.failures.Inc()
		w.log.Info("reconcile failed", "fence", grant.Fence, "error", err.Error())
	}
	return result, err
}

// cancelOnGrantEnd cancels a run when its grant is no longer held. It returns
// without an effect if the run ends first.
func (w *worker) cancelOnGrantEnd(ctx context.Context, cancel context.CancelFunc, grant lease.Grant) {
	for {
		changed := w.leases.Changed()
		current, held := w.leases.Held(w.shard)
		if !held || current.Fence != grant.Fence {
			cancel()
			return
		}
		wait(ctx, time.Until(current.Until), changed, nil)
		if ctx.Err() != nil {
			return
		}
	}
}

// wait returns after d, when ctx ends, or when a or b delivers a value or is closed. A nil
// channel is ignored.
func wait(ctx context.Context, d time.Duration, a, b <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a:
	case <-b:
	case <-ctx.Done():
	}
}
