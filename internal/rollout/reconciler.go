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
	// reconcileInterval is the time between two passes over a trainer's steps.
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
	// dropped lists groups that the scheduler finished but that will not be committed.
	dropped []int
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

	finished      *ring.Ring[queuedGroup]
	views         *ring.Ring[stepView]
	bufferedBytes atomic.Int64

	pending map[uint64][]finishedGroup
	// unreported holds the groups from the scheduler whose commit or discard no view has
	// reported yet.
	unreported map[groupID]bool
	requests   map[uint64]*trainerapi.StepRequest
	// droppedEarly holds the groups that were discarded once while within the staleness bound.
	droppedEarly map[groupID]bool
	// lastSuccess is the time of the last pass without an error, in Unix nanoseconds.
	lastSuccess atomic.Int64
}

func newReconciler(log logr.Logger, p dependencies, docs deployment.Source, trainer string) *reconciler {
	return &reconciler{
		log:          log.WithValues("trainer", trainer),
		store:        p.store,
		versions:     p.versions,
		trainer:      trainer,
		docs:         docs,
		meters:       p.meters,
		finished:     ring.New[queuedGroup](finishedQueueCapacity),
		views:        ring.New[stepView](viewQueueCapacity),
		pending:      map[uint64][]finishedGroup{},
		requests:     map[uint64]*trainerapi.StepRequest{},
		droppedEarly: map[groupID]bool{},
		unreported:   map[groupID]bool{},
	}
}

// finishedQueueCapacity is the largest number of finished groups queued for the reconciler.
const finishedQueueCapacity = 4096

// run reconciles the steps until ctx ends.
func (k *reconciler) run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		if err := k.reconcile(ctx); err != nil {
			k.log.V(1).Info("reconciling steps failed", "reason", err.Error())
		} else {
			k.lastSuccess.Store(time.Now().UnixNano())
		}
		select {
		case <-ctx.Done():
			return
		case g := <-k.finished.Items():
			k.addPending(g)
		case <-ticker.C:
		}
		k.drainFinished()
	}
}

func (k *reconciler) drainFinished() {
	for {
		select {
		case g := <-k.finished.Items():
			k.addPending(g)
		default:
			return
		}
	}
}

func (k *reconciler) addPending(g queuedGroup) {
	k.pending[g.step] = append(k.pending[g.step], g.finishedGroup)
	k.unreported[groupID{step: g.step, group: g.group}] = true
}

// reportDropped adds to the view the groups from the scheduler that are neither committed nor
// pending any more: this host or another discarded them.
func (k *reconciler) reportDropped(view *stepView) {
	pending := map[int]bool{}
	for _, g := range k.pending[view.step.Step] {
		pending[g.group] = true
	}
	for g := range k.unreported {
		if g.step != view.step.Step || pending[g.group] {
			continue
		}
		if _, committed := view.committed[g.group]; !committed {
			view.dropped = append(view.dropped, g.group)
		}
		delete(k.unreported, g)
	}
}

// reconcile processes each unfinished step once and returns the first error.
func (k *reconciler) reconcile(ctx context.Context) error {
	doc := k.docs.Current()
	if doc == nil {
		return failure.New(failure.NotReady, failure.NotRun, "no deployment document is loaded")
	}
	cfg, ok := doc.Trainers[k.trainer]
	if !ok {
		return nil
	}
	active, err := k.store.activeSteps(ctx, k.trainer)
	if err != nil {
		return err
	}
	if err := k.forgetEnded(ctx, active); err != nil {
		return err
	}
	var first error
	for _, n := range active {
		if err := k.reconcileStep(ctx, doc, cfg, n); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// forgetEnded forgets the steps that another host has ended and cleaned up.
func (k *reconciler) forgetEnded(ctx context.Context, active []uint64) error {
	for n := range k.requests {
		if slices.Contains(active, n) {
			continue
		}
		view := stepView{step: step{stepRow: stepRow{Trainer: k.trainer, Step: n, State: trainerapi.StepAcknowledged}}, ended: true}
		if err := k.forgetStep(ctx, view); err != nil {
			return err
		}
	}
	return nil
}

// reconcileStep moves one step forward. It ignores a conflict, which means that another host
// did so concurrently; the next pass reads the result.
func (k *reconciler) reconcileStep(ctx context.Context, doc *deployment.Document, cfg deployment.Trainer, n uint64) error {
	view, err := k.readView(ctx, n)
	if err != nil {
		return err
	}
	if view.ended {
		return k.cleanStep(ctx, view)
	}
	if needsRollouts(view.step.stepRow) {
		err = k.advance(ctx, doc, cfg, &view)
		if failure.IsKind(err, failure.Conflict) {
			err = nil
		}
	}
	if err != nil {
		return err
	}
	k.reportDropped(&view)
	return k.views.Push(ctx, view)
}

func (k *reconciler) readView(ctx context.Context, n uint64) (stepView, error) {
	s, err := k.store.read(ctx, k.trainer, n)
	if err != nil {
		return stepView{}, err
	}
	view := stepView{step: s, committed: map[int]groupRow{}}
	view.ended = s.State == trainerapi.StepAcknowledged || s.State == trainerapi.StepCancelled
	if view.ended {
		return view, nil
	}
	if view.request, err = k.requestOf(ctx, s); err != nil {
		return stepView{}, err
	}
	groups, err := k.store.groups(ctx, k.trainer, n)
	if err != nil {
		return stepView{}, err
	}
	for _, g := range groups {
		view.committed[g.Group] = g
	}
	return view, nil
}

func (k *reconciler) requestOf(ctx context.Context, s step) (*trainerapi.StepRequest, error) {
	if known, ok := k.requests[s.Step]; ok {
		return known, nil
	}
	req, err := k.store.definition(ctx, s)
	if err != nil {
		return nil, err
	}
	k.requests[s.Step] = &req
	return &req, nil
}

// cleanStep forgets a step in a final state and removes its stored content.
func (k *reconciler) cleanStep(ctx context.Context, view stepView) error {
	if err := k.forgetStep(ctx, view); err != nil {
		return err
	}
	return k.store.clean(ctx, view.step)
}

// forgetStep drops the state of a step here and, by the view, in the scheduler.
func (k *reconciler) forgetStep(ctx context.Context, view stepView) error {
	n := view.step.Step
	delete(k.requests, n)
	k.releaseBuffered(k.pending[n])
	delete(k.pending, n)
	ofStep := func(d groupID, _ bool) bool { return d.step == n }
	maps.DeleteFunc(k.droppedEarly, ofStep)
	maps.DeleteFunc(k.unreported, ofStep)
	return k.views.Push(ctx, view)
}
