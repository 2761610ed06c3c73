package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/lease"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

const (
	// leaseCheckInterval is the time between two comparisons of held leases and running
	// trainers.
	leaseCheckInterval = 250 * time.Millisecond
	// handoverTimeout bounds how long a stopping host commits finished groups and returns the
	// output of jobs that it ran for other hosts.
	handoverTimeout = 3 * time.Second
	// handoverPollInterval is the time between two checks for work that is left to hand over.
	handoverPollInterval = 20 * time.Millisecond
)

// Owner runs the steps of the trainers whose lease this host holds.
//
// The lease only prevents two hosts from doing the same work; commits are safe without it,
// because they are conditional. A host whose lease expires while the store is unavailable
// therefore continues to generate. It stops once the store has answered again for a lease term
// and the lease has not been regained.
type Owner struct {
	log    logr.Logger
	docs   deployment.Source
	leases lease.Holder
	deps   dependencies
	timing settings.Timing
	runs   map[string]*trainerRun
}

// dependencies are the components that every trainerRun uses.
type dependencies struct {
	store     *store
	versions  versionView
	runner    jobRunner
	scorer    *scorer
	fairShare *fairShare
	policy    Policy
	meters    *metrics.Set
}

// trainerRun is the reconciler and the scheduler of one trainer.
type trainerRun struct {
	reconciler *reconciler
	cancel     context.CancelFunc
	done       sync.WaitGroup
	// lapsedAt is the time since which the store has answered without the lease being held; zero
	// while the lease is held or the store does not answer.
	lapsedAt time.Time
}

// Run starts and stops trainers as their leases change, until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			o.stopAll()
			return ctx.Err()
		case <-ticker.C:
			o.reconcile(ctx)
		}
	}
}

// reconcile starts the trainers whose lease was gained. It stops those that the document no
// longer has, and those without a lease for which shouldStop returns true.
func (o *Owner) reconcile(ctx context.Context) {
	doc := o.docs.Current()
	if doc == nil {
		return
	}
	for name := range doc.Trainers {
		_, held := o.leases.Held(lease.TrainerShard(name))
		run, running := o.runs[name]
		switch {
		case held && !running:
			o.runs[name] = o.start(ctx, name)
		case held:
			run.lapsedAt = time.Time{}
		case running && run.shouldStop(o.timing.LeaseTerm, time.Now()):
			o.stop(name)
		}
	}
	for name := range o.runs {
		if _, ok := doc.Trainers[name]; !ok {
			o.stop(name)
		}
	}
}

// shouldStop reports whether a run without a lease should end at now: once the store has
// answered for at least grace and the lease has not been regained. The store counts as answering
// if a pass of the reconciler succeeded recently.
func (r *trainerRun) shouldStop(grace time.Duration, now time.Time) bool {
	answered := time.Unix(0, r.reconciler.lastSuccess.Load())
	if now.Sub(answered) > 2*reconcileInterval+time.Second {
		r.lapsedAt = time.Time{}
		return false
	}
	if r.lapsedAt.IsZero() {
		r.lapsedAt = now
	}
	return now.Sub(r.lapsedAt) >= grace
}

func (o *Owner) start(ctx context.Context, trainer string) *trainerRun {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := newReconciler(o.log, o.deps, o.docs, trainer)
	sc := &scheduler{
		log:        r.log,
		trainer:    trainer,
		docs:       o.docs,
		runner:     o.deps.runner,
		scorer:     o.deps.scorer,
		reconciler: r,
		fairShare:  o.deps.fairShare,
		policy:     o.deps.policy,
		versions:   o.deps.versions,
		meters:     o.deps.meters,
		steps:      map[uint64]*stepRun{},
		lengths:    newLengthEstimator(),
		speeds:     newSpeedEstimator(),
		results:    make(chan attemptResult),
		scored:     make(chan scoredGroup),
	}
	run := &trainerRun{reconciler: r, cancel: cancel}
	run.done.Go(func() { r.run(runCtx) })
	run.done.Go(func() { sc.run(runCtx) })
	o.log.Info("trainer owned", "trainer", trainer)
	return run
}

func (o *Owner) stop(trainer string) {
	run := o.runs[trainer]
	delete(o.runs, trainer)
	run.cancel()
	run.done.Wait()
	o.log.Info("trainer released", "trainer", trainer)
}

// stopAll ends all runs, after their finished groups are committed or handoverTimeout has
// passed.
func (o *Owner) stopAll() {
	deadline := time.Now().Add(handoverTimeout)
	for _, run := range o.runs {
		for run.reconciler.bufferedBytes.Load() > 0 && time.Now().Before(deadline) {
			time.Sleep(handoverPollInterval)
		}
	}
	for name := range o.runs {
		o.stop(name)
	}
}
