package job

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/placement"
	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

const (
	// placeInterval is how often waiting rollouts are looked at while none gets a place.
	placeInterval = 25 * time.Millisecond
	// watchInterval is how often running rollouts are looked at.
	watchInterval = 50 * time.Millisecond
	// queueAfter is how long a rollout waits for a free slot before it queues at an engine.
	queueAfter = 300 * time.Millisecond
	// tokensPerEvent turns a trainer's guess of tokens into events.
	tokensPerEvent = 50
	// unknownLength is the expected number of events of a rollout without a guess.
	unknownLength = 20
)

// errStaleVersion ends a run whose engine uses weights that the job does not allow.
var errStaleVersion = errors.New("the engine uses a version of the weights that the job does not allow")

// place is a rollout that waits, with its run and rule.
type place struct {
	run  *run
	it   *item
	rule Rule
}

// placeRollouts gives places to waiting rollouts until ctx ends.
func (m *Manager) placeRollouts(ctx context.Context) {
	watch := time.NewTicker(watchInterval)
	defer watch.Stop()
	retry := time.NewTimer(placeInterval)
	defer retry.Stop()
	for {
		changed := m.fleet.Changed()
		left := m.placeOnce()
		if left == 0 {
			changed = nil
		} else {
			retry.Reset(placeInterval)
		}
		select {
		case <-m.dispatch:
		case <-changed:
		case <-retry.C:
		case <-watch.C:
			m.watchRuns()
		case <-ctx.Done():
			return
		}
	}
}

// placeOnce places what can be placed and returns how many rollouts still wait.
func (m *Manager) placeOnce() int {
	places, order := m.waitingRollouts()
	Order(order)
	type need struct {
		service, model      string
		minVersion, version uint64
	}
	full := map[need]bool{}
	left := 0
	for _, w := range order {
		p := places[w.Index]
		want := p.want(m, time.Now())
		n := need{want.Service, want.Model, want.MinVersion, want.Version}
		if full[n] && len(p.it.avoid) == 0 {
			left++
			continue
		}
		target, err := m.fleet.Reserve(want)
		if err != nil {
			full[n] = !want.Queue
			left++
			continue
		}
		p.run.begin(p, target)
	}
	return left
}

func (p place) want(m *Manager, now time.Time) fleet.Want {
	want := fleet.Want{Service: p.rule.Service, Model: p.run.spec.Model, Request: placement.Request{
		Domain: m.ownDomain, MinVersion: p.run.spec.MinVersion, Avoid: p.it.avoid, Queue: now.Sub(p.it.waitsSince) > queueAfter,
	}}
	if p.rule.OnPolicy && len(p.it.events) > 0 {
		want.Version = p.it.events[0].Version
	}
	return want
}

// waitingRollouts returns the rollouts that wait, with their order's inputs.
func (m *Manager) waitingRollouts() ([]place, []Waiting) {
	var places []place
	var order []Waiting
	for _, r := range m.activeRuns() {
		r.mu.Lock()
		if !r.prepared || r.isEnded || r.isLost {
			r.mu.Unlock()
			continue
		}
		rule, found, known := m.rules.JobRule(r.spec)
		if !known {
			r.mu.Unlock()
			continue
		}
		for _, it := range r.items {
			if it.state != waiting {
				continue
			}
			if !found {
				r.giveUpLocked(it, "its route is gone")
				continue
			}
			places = append(places, place{run: r, it: it, rule: rule})
			order = append(order, Waiting{
				Priority: rule.Priority, Due: int64(r.owner.accepted() + rule.RunDeadline), Carried: it.carried,
				Left: it.expected() - float64(len(it.events)), Position: it.position, Index: len(places) - 1,
			})
		}
		r.mu.Unlock()
	}
	return places, order
}

// expected is the likely number of events of a rollout.
func (it *item) expected() float64 {
	if it.rollout.LengthHint > 0 {
		return float64(it.rollout.LengthHint) / tokensPerEvent
	}
	return unknownLength
}

func (m *Manager) activeRuns() []*run {
	m.mu.Lock()
	defer m.mu.Unlock()
	runs := make([]*run, 0, len(m.runs))
	for _, r := range m.runs {
		runs = append(runs, r)
	}
	return runs
}

// giveUpLocked lists a rollout as dead. The caller holds mu.
func (r *run) giveUpLocked(it *item, reason string) {
	if it.state == finished || it.state == listed {
		return
	}
	r.log.Info("rollout given up", "rollout", it.rollout.ID, "reason", reason, "events", len(it.events), "failures", it.failures)
	it.state, it.result = finished, Result{ID: it.rollout.ID, State: Dead}
	r.ready = append(r.ready, it)
	poke(r.wake)
}

// begin starts a run of a rollout at an engine on which a place is reserved.
func (r *run) begin(p place, target fleet.Replica) {
	r.mu.Lock()
	if p.it.state != waiting || r.isEnded || r.isLost {
		r.mu.Unlock()
		r.m.fleet.Release(target.ID)
		return
	}
	it := p.it
	ctx, cancel := context.WithCancelCause(r.ctx)
	it.state, it.engine, it.stop, it.leaves = running, target.ID, cancel, false
	it.had, it.lastEvent = len(it.events), time.Now()
	call := GenerateRequest{Rollout: it.rollout, Host: r.spec.Host, Model: r.spec.Model, ResumeAfter: it.had, PriorEvents: slices.Clip(it.events)}
	if p.rule.OnPolicy && it.had > 0 {
		call.Version = it.events[0].Version
	}
	r.m.events.Event("rollout_sent")
	if it.had > 0 {
		r.m.events.Event("rollout_resumed")
	}
	waited := time.Since(it.waitsSince)
	r.m.events.Queue(telemetry.Rollout, waited)
	r.log.Info("rollout sent", append([]any{
		"rollout", it.rollout.ID, "engine", target.ID, "after", it.had, "waited", waited, "engine_version", target.Models[r.spec.Model],
	}, target.Basis.Fields()...)...)
	r.mu.Unlock()
	r.m.waits.Go(func() {
		err := r.m.engine.Generate(ctx, target, call, func(e Event) error { return r.take(p, target, e) })
		cancel(nil)
		r.m.fleet.Release(target.ID)
		r.ended(ctx, p, target, err)
		poke(r.m.dispatch)
	})
}

// take adds an event to a rollout's text.
func (r *run) take(p place, target fleet.Replica, e Event) error {
	r.m.fleet.ObserveVersion(target.ID, r.spec.Model, e.Version)
	r.mu.Lock()
	defer r.mu.Unlock()
	it := p.it
	now := time.Now()
	switch {
	case r.isEnded || r.isLost || it.state != running || it.engine != target.ID:
		return errEnded
	case e.Version < r.spec.MinVersion:
		return errStaleVersion
	case p.rule.OnPolicy && len(it.events) > 0 && it.events[0].Version != e.Version:
		it.events, it.saved = nil, 0
		return errStaleVersion
	}
	if len(it.events) > it.had {
		r.m.fleet.Paced(target.ID, now.Sub(it.lastEvent))
	} else {
		r.m.events.FirstByte(telemetry.Rollout, now.Sub(it.lastEvent))
	}
	it.events = append(it.events, e)
	it.lastEvent = now
	return nil
}

// ended decides what follows the end of a run.
func (r *run) ended(ctx context.Context, p place, target fleet.Replica, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	it := p.it
	if it.state != running {
		return
	}
	got := len(it.events) - it.had
	if err == nil {
		it.state = scoring
		r.m.fleet.Succeeded(target.ID)
		r.m.waits.Go(func() { r.score(it) })
		return
	}
	it.state, it.waitsSince = waiting, time.Now()
	cause := context.Cause(ctx)
	e := failure.As(err)
	switch {
	case r.ctx.Err() != nil:
		return
	case errors.Is(cause, errSilent):
		it.avoid = map[string]bool{target.ID: true}
		r.m.fleet.Failed(target.ID)
		err = cause
	case errors.Is(cause, errQueued):
		it.avoid = map[string]bool{target.ID: true}
		r.m.fleet.Refused(target.ID, r.spec.Model)
		err = cause
	case errors.Is(cause, errSlow):
		r.m.events.Event("rollout_moved")
		it.avoid = map[string]bool{target.ID: true}
		err = cause
	case errors.Is(err, errStaleVersion):
		r.m.fleet.Refused(target.ID, r.spec.Model)
	case e.Kind == failure.QueueFull:
		r.m.fleet.Refused(target.ID, r.spec.Model)
		r.m.events.Event("rollout_refused")
		r.log.Info("engine refused", append([]any{"rollout", it.rollout.ID, "engine", target.ID, "error", oneLine(err)}, target.Basis.Fields()...)...)
		return
	case e.Kind == failure.InvalidRequest:
		r.giveUpLocked(it, err.Error())
		return
	case e.Kind == failure.UpstreamFailed && e.Outcome == failure.Ran:
		it.failures++
		if it.failures >= max(1, p.rule.MaxAttempts) {
			r.giveUpLocked(it, err.Error())
			return
		}
	default:
		it.avoid = map[string]bool{target.ID: true}
		if got == 0 {
			r.m.fleet.Failed(target.ID)
		}
	}
	r.m.events.Event("rollout_broken_off")
	r.log.Info("run of a rollout ended early", "rollout", it.rollout.ID, "engine", target.ID, "events", len(it.events), "new", got,
		"failures", it.failures, "error", oneLine(err))
}

func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }
