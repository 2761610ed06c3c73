package rollout

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/ring"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

const (
	// reconcileInterval is the longest wait before the next pass over a trainer's steps. A
	// finished group starts a pass at once.
	reconcileInterval = 250 * time.Millisecond
	// viewQueueCapacity is the largest number of views queued for the scheduler.
	viewQueueCapacity = 16
)

// stepView is the stored state of a step, as the reconciler last read it.
type stepView struct {
	step step
	// request is nil in a view with ended set.
	request   *trainerapi.StepRequest
	committed map[int]groupRow
	// discarded lists groups that the scheduler finished but that will not be committed.
	discarded []int
	// ended is true if the step is in a final state.
	ended bool
}

// queuedGroup is a finished group with the number of its step.
type queuedGroup struct {
	step uint64
	finishedGroup
}

// groupID identifies a group of a step.
type groupID struct {
	step  uint64
	group int
}

// reconciler moves one trainer's steps forward in the store and reports their state to the
// scheduler. It commits finished groups, discards stale ones and seals complete steps. Each
// pass starts from the stored state, and therefore accounts for changes by other hosts.
type reconciler struct {
	log      logr.Logger
	store    *store
	versions versionView
	trainer  string
	docs     deployment.Source
	meters   *metrics.Set

	finished *ring.Ring[queuedGroup]
	views    *ring.Ring[stepView]
	// bufferedBytes is the size of the finished groups that are queued or pending.
	bufferedBytes atomic.Int64

	// pending holds the groups to be committed, by step.
	pending map[uint64][]finishedGroup
	// unreported holds the groups from the scheduler whose commit or discard no view has
	// reported yet.
	unreported map[groupID]bool
	requests   map[uint64]*trainerapi.StepRequest
	// discardedEarly holds the groups that were discarded while still within the staleness
	// bound. This reconciler does so to a group at most once; see discardStale.
	discardedEarly map[groupID]bool
	// lastSuccess is the time of the last pass without an error, in Unix nanoseconds.
	lastSuccess atomic.Int64
}

func newReconciler(log logr.Logger, p dependencies, docs deployment.Source, trainer string) *reconciler {
	return &reconciler{
		log:            log.WithValues("trainer", trainer),
		store:          p.store,
		versions:       p.versions,
		trainer:        trainer,
		docs:           docs,
		meters:         p.meters,
		finished:       ring.New[queuedGroup](finishedQueueCapacity),
		views:          ring.New[stepView](viewQueueCapacity),
		pending:        map[uint64][]finishedGroup{},
		requests:       map[uint64]*trainerapi.StepRequest{},
		discardedEarly: map[groupID]bool{},
		unreported:     map[groupID]bool{},
	}
}

// finishedQueueCapacity is the largest number of finished groups queued for the reconciler.
const finishedQueueCapacity = 4096

// run reconciles the steps until ctx ends.
func (r *reconciler) run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		if err := r.reconcile(ctx); err != nil {
			r.log.V(1).Info("reconciling steps failed", "reason", err.Error())
		} else {
			r.lastSuccess.Store(time.Now().UnixNano())
		}
		select {
		case <-ctx.Done():
			return
		case g := <-r.finished.Items():
			r.addPending(g)
		case <-ticker.C:
		}
		r.drainFinished()
	}
}

func (r *reconciler) drainFinished() {
	for {
		select {
		case g := <-r.finished.Items():
			r.addPending(g)
		default:
			return
		}
	}
}

func (r *reconciler) addPending(g queuedGroup) {
	r.pending[g.step] = append(r.pending[g.step], g.finishedGroup)
	r.unreported[groupID{step: g.step, group: g.group}] = true
}

// reportDiscarded adds to the view the groups from the scheduler that are neither committed nor
// pending any more: this host or another discarded them.
func (r *reconciler) reportDiscarded(view *stepView) {
	pending := map[int]bool{}
	for _, g := range r.pending[view.step.Step] {
		pending[g.group] = true
	}
	for g := range r.unreported {
		if g.step != view.step.Step || pending[g.group] {
			continue
		}
		if _, committed := view.committed[g.group]; !committed {
			view.discarded = append(view.discarded, g.group)
		}
		delete(r.unreported, g)
	}
}

// reconcile processes each unfinished step once and returns the first error.
func (r *reconciler) reconcile(ctx context.Context) error {
	doc := r.docs.Current()
	if doc == nil {
		return failure.New(failure.NotReady, failure.NotRun, "no deployment document is loaded")
	}
	cfg, ok := doc.Trainers[r.trainer]
	if !ok {
		return nil
	}
	active, err := r.store.activeSteps(ctx, r.trainer)
	if err != nil {
		return err
	}
	if err := r.forgetEnded(ctx, active); err != nil {
		return err
	}
	var first error
	for _, n := range active {
		if err := r.reconcileStep(ctx, doc, cfg, n); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// forgetEnded forgets the steps that another host has ended and cleaned up.
func (r *reconciler) forgetEnded(ctx context.Context, active []uint64) error {
	for n := range r.requests {
		if slices.Contains(active, n) {
			continue
		}
		view := stepView{step: step{stepRow: stepRow{Trainer: r.trainer, Step: n, State: trainerapi.StepAcknowledged}}, ended: true}
		if err := r.forgetStep(ctx, view); err != nil {
			return err
		}
	}
	return nil
}

// reconcileStep moves one step forward. It ignores a conflict, which means that another host
// did so concurrently; the next pass reads the result. It leaves a step alone until this host
// has a document as new as that of the step's acceptance.
func (r *reconciler) reconcileStep(ctx context.Context, doc *deployment.Document, cfg deployment.Trainer, n uint64) error {
	view, err := r.readView(ctx, n)
	if err != nil {
		return err
	}
	if view.ended {
		return r.cleanStep(ctx, view)
	}
	if doc.Version < view.step.ConfigVersion {
		r.log.V(1).Info("step waits for the document of its acceptance", "step", n, "accepted_under", view.step.ConfigVersion, "document", doc.Version)
		return nil
	}
	if needsRollouts(view.step.stepRow) {
		err = r.advance(ctx, doc, cfg, &view)
		if failure.IsKind(err, failure.Conflict) {
			err = nil
		}
	}
	if err != nil {
		return err
	}
	r.reportDiscarded(&view)
	return r.views.Push(ctx, view)
}

func (r *reconciler) readView(ctx context.Context, n uint64) (stepView, error) {
	s, err := r.store.read(ctx, r.trainer, n)
	if err != nil {
		return stepView{}, err
	}
	view := stepView{step: s, committed: map[int]groupRow{}}
	view.ended = s.State == trainerapi.StepAcknowledged || s.State == trainerapi.StepCancelled
	if view.ended {
		return view, nil
	}
	if view.request, err = r.requestOf(ctx, s); err != nil {
		return stepView{}, err
	}
	groups, err := r.store.groups(ctx, r.trainer, n)
	if err != nil {
		return stepView{}, err
	}
	for _, g := range groups {
		view.committed[g.Group] = g
	}
	return view, nil
}

func (r *reconciler) requestOf(ctx context.Context, s step) (*trainerapi.StepRequest, error) {
	if known, ok := r.requests[s.Step]; ok {
		return known, nil
	}
	req, err := r.store.definition(ctx, s)
	if err != nil {
		return nil, err
	}
	r.requests[s.Step] = &req
	return &req, nil
}

// cleanStep forgets a step in a final state and removes its stored content.
func (r *reconciler) cleanStep(ctx context.Context, view stepView) error {
	if err := r.forgetStep(ctx, view); err != nil {
		return err
	}
	return r.store.clean(ctx, view.step)
}

// forgetStep drops the state of a step here and, by the view, in the scheduler.
func (r *reconciler) forgetStep(ctx context.Context, view stepView) error {
	n := view.step.Step
	delete(r.requests, n)
	r.releaseBuffered(r.pending[n])
	delete(r.pending, n)
	ofStep := func(d groupID, _ bool) bool { return d.step == n }
	maps.DeleteFunc(r.discardedEarly, ofStep)
	maps.DeleteFunc(r.unreported, ofStep)
	return r.views.Push(ctx, view)
}
