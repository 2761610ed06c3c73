package job

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/placement"
	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

const (
	// placeInterval is the time between two placement attempts while no slot is free.
	placeInterval = 25 * time.Millisecond
	// watchInterval is the time between two checks of the running rollouts.
	watchInterval = 50 * time.Millisecond
	// queueAfter is how long a rollout waits for a free slot before it may queue at a full engine.
	queueAfter = 300 * time.Millisecond
	// maxVersionWait is how long a text waits for an engine with its weight version, if one
	// version must generate it, while others have newer ones.
	maxVersionWait = 3 * time.Second
	// tokensPerEvent converts a length hint, in tokens, into events.
	tokensPerEvent = 50
	// defaultLengthEvents is the expected number of events of a rollout without a length hint.
	defaultLengthEvents = 20
)

// errStaleVersion ends an attempt whose engine uses a weight version that the job
// does not allow.
var errStaleVersion = errors.New("the engine uses a weight version that the job does not allow")

// candidate is a waiting rollout with its job and the rule of its route.
type candidate struct {
	run  *jobRun
	task *rolloutTask
	rule Rule
}

// placeRollouts assigns waiting rollouts to engines and checks the running ones
// until ctx ends.
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
		case <-m.placementWake:
		case <-changed:
		case <-retry.C:
		case <-watch.C:
			m.checkTasks()
		case <-ctx.Done():
			return
		}
	}
}

// placeOnce starts every rollout for which an engine has a slot and returns the
// number of rollouts that still wait.
func (m *Manager) placeOnce() int {
	candidates, waiting := m.waitingRollouts()
	SortWaiting(waiting)
	type need struct {
		service, model      string
		minVersion, version uint64
	}
	// full holds the smallest token count for which no engine had room.
	full := map[need]int{}
	left := 0
	waits := map[string]int{}
	defer func() { m.fleet.RecordWaiting(waits) }()
	for _, w := range waiting {
		c := candidates[w.Index]
		want := c.requirements(m, time.Now())
		n := need{want.Service, want.Model, want.MinVersion, want.Version}
		waits[want.Service]++
		if tokens, isFull := full[n]; isFull && want.Tokens >= tokens && len(c.task.avoid) == 0 {
			left++
			continue
		}
		target, err := m.fleet.Reserve(want)
		if err != nil {
			if want.AllowQueue {
				delete(full, n)
			} else {
				full[n] = want.Tokens
			}
			left++
			continue
		}
		waits[want.Service]--
		c.run.startAttempt(c, target)
	}
	return left
}

// requirements returns what the rollout requires of its engine.
func (c candidate) requirements(m *Manager, now time.Time) fleet.Requirements {
	want := fleet.Requirements{Service: c.rule.Service, Model: c.run.spec.Model, Request: placement.Request{
		Domain: m.domain, MinVersion: c.run.spec.MinVersion, Avoid: c.task.avoid, AllowQueue: now.Sub(c.task.waitingSince) > queueAfter, LimitUnanswered: true,
		Tokens: c.task.rollout.memoryTokens(), TokenCapacity: c.rule.TokenCapacity,
	}}
	if c.rule.OnPolicy && len(c.task.events) > 0 {
		want.Version = c.task.events[0].Version
	}
	return want
}

// waitingRollouts returns the waiting rollouts, and for each the attributes by
// which they are sorted. It gives up those of jobs without a route, and leaves out
// those of jobs whose rule is not known yet.
func (m *Manager) waitingRollouts() ([]candidate, []WaitingRollout) {
	var candidates []candidate
	var waiting []WaitingRollout
	for _, r := range m.activeRuns() {
		r.mu.Lock()
		if !r.prepared || r.isEnded || r.isLost {
			r.mu.Unlock()
			continue
		}
		rule, found, known := m.rules.JobRule(r.spec, r.owner.ConfigVersion)
		if !known {
			r.logMissingRuleLocked()
			r.mu.Unlock()
			continue
		}
		for _, task := range r.tasks {
			if task.state != taskWaiting {
				continue
			}
			if !found {
				r.giveUpLocked(task, "the configuration has no route for the job")
				continue
			}
			if rule.OnPolicy {
				r.dropBlockedTextLocked(task, rule.Service)
			}
			candidates = append(candidates, candidate{run: r, task: task, rule: rule})
			waiting = append(waiting, WaitingRollout{
				Priority: rule.Priority, Deadline: int64(r.owner.acceptedAt() + rule.RunDeadline), Carried: task.carried,
				Remaining: task.expectedEvents() - float64(len(task.events)), Position: task.position, Index: len(candidates) - 1,
			})
		}
		r.mu.Unlock()
	}
	return candidates, waiting
}

// expectedEvents is the expected total number of events of a rollout.
func (task *rolloutTask) expectedEvents() float64 {
	if task.rollout.LengthHint > 0 {
		return float64(task.rollout.LengthHint) / tokensPerEvent
	}
	return defaultLengthEvents
}

// dropBlockedTextLocked drops the text of a waiting rollout, which one weight version must
// generate, if engines have gone on to newer versions and none has the text's version, or
// none of those has continued it for maxVersionWait. The caller holds mu.
func (r *jobRun) dropBlockedTextLocked(task *rolloutTask, service string) {
	if len(task.events) == 0 {
		return
	}
	version := task.events[0].Version
	held, newer := r.m.fleet.HasVersion(service, r.spec.Model, version)
	waited := time.Since(task.textAt)
	if !newer || held && waited < maxVersionWait {
		return
	}
	r.m.events.Event("text_dropped")
	r.log.Info("text dropped, because no engine continues it", "rollout", task.rollout.ID, "events", len(task.events), "weight_version", version, "held", held, "waited", waited)
	r.dropText(task)
}

// logMissingRuleLocked logs once that the run waits for a configuration. The caller holds mu.
func (r *jobRun) logMissingRuleLocked() {
	if r.missingRuleLogged {
		return
	}
	r.missingRuleLogged = true
	r.log.Info("job waits for a configuration as new as that of its acceptance", "configuration", r.owner.ConfigVersion)
}

// activeRuns returns the runs of the jobs that this host owns.
func (m *Manager) activeRuns() []*jobRun {
	m.mu.Lock()
	defer m.mu.Unlock()
	runs := make([]*jobRun, 0, len(m.runs))
	for _, r := range m.runs {
		runs = append(runs, r)
	}
	return runs
}

// giveUpLocked ends a rollout with the result Dead unless it has a result already. The
// caller holds mu.
func (r *jobRun) giveUpLocked(task *rolloutTask, reason string) {
	if task.state == taskFinished || task.state == taskListed {
		return
	}
	r.log.Info("rollout given up", "rollout", task.rollout.ID, "reason", reason, "events", len(task.events), "failures", task.failures)
	task.state, task.result = taskFinished, Result{ID: task.rollout.ID, State: Dead}
	r.ready = append(r.ready, task)
	notify(r.wake)
}

// startAttempt starts an attempt of a rollout at an engine where a slot is reserved.
func (r *jobRun) startAttempt(c candidate, target fleet.Replica) {
	r.mu.Lock()
	if c.task.state != taskWaiting || r.isEnded || r.isLost {
		r.mu.Unlock()
		r.m.fleet.RecordAnswer(target.ID)
		r.m.fleet.ReleaseTokens(target.ID, c.task.rollout.memoryTokens())
		r.m.fleet.Release(target.ID)
		return
	}
	task := c.task
	ctx, cancel := context.WithCancelCause(r.ctx)
	task.state, task.engine, task.cancel, task.moving = taskRunning, target.ID, cancel, false
	task.eventsBefore, task.lastEvent = len(task.events), time.Now()
	call := GenerateRequest{Rollout: task.rollout, Host: r.spec.Host, Team: r.spec.Team, HasTeams: c.rule.HasTeams, Model: r.spec.Model, ResumeAfter: task.eventsBefore, PriorEvents: slices.Clip(task.events)}
	if c.rule.OnPolicy && task.eventsBefore > 0 {
		call.Version = task.events[0].Version
	}
	r.m.events.Event("rollout_sent")
	if task.eventsBefore > 0 {
		r.m.events.Event("rollout_resumed")
	}
	waited := time.Since(task.waitingSince)
	r.m.events.QueueWait(telemetry.Rollout, waited)
	r.log.Info("rollout sent", append([]any{
		"rollout", task.rollout.ID, "engine", target.ID, "after", task.eventsBefore, "waited", waited, "engine_version", target.Models[r.spec.Model],
	}, target.Estimate.LogFields()...)...)
	r.mu.Unlock()
	answered := sync.OnceFunc(func() { r.m.fleet.RecordAnswer(target.ID) })
	call.Began = answered
	r.m.wg.Go(func() {
		err := r.m.engine.Generate(ctx, target, call, func(e Event) error {
			answered()
			return r.appendEvent(c, target, e)
		})
		answered()
		cancel(nil)
		r.m.fleet.ReleaseTokens(target.ID, task.rollout.memoryTokens())
		r.m.fleet.Release(target.ID)
		r.attemptEnded(ctx, c, target, err)
		notify(r.m.placementWake)
	})
}

// appendEvent appends an event to a rollout's text. An error ends the attempt. If one
// weight version must generate the whole text and the event has another, the text is
// discarded.
func (r *jobRun) appendEvent(c candidate, target fleet.Replica, e Event) error {
	r.m.fleet.ObserveVersion(target.ID, r.spec.Model, e.Version)
	r.mu.Lock()
	defer r.mu.Unlock()
	task := c.task
	now := time.Now()
	switch {
	case r.isEnded || r.isLost || task.state != taskRunning || task.engine != target.ID:
		return errJobEnded
	case e.Version < r.spec.MinVersion:
		return errStaleVersion
	case c.rule.OnPolicy && len(task.events) > 0 && task.events[0].Version != e.Version:
		r.dropText(task)
		return errStaleVersion
	}
	if len(task.events) > task.eventsBefore {
		r.m.fleet.ObserveLatency(target.ID, now.Sub(task.lastEvent))
	} else {
		r.m.events.FirstByte(telemetry.Rollout, now.Sub(task.lastEvent))
	}
	task.events = append(task.events, e)
	r.textBytes.Add(textSize(task.events[len(task.events)-1:]))
	task.lastEvent, task.textAt = now, now
	return nil
}

// attemptEnded handles the end of an attempt: it scores a complete text, and
// otherwise puts the rollout back into the queue or gives it up.
func (r *jobRun) attemptEnded(ctx context.Context, c candidate, target fleet.Replica, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	task := c.task
	if task.state != taskRunning {
		return
	}
	got := len(task.events) - task.eventsBefore
	if err == nil {
		task.state = taskScoring
		r.m.fleet.RecordSuccess(target.ID)
		r.m.wg.Go(func() { r.score(task) })
		return
	}
	task.state, task.waitingSince = taskWaiting, time.Now()
	cause := context.Cause(ctx)
	e := failure.As(err)
	switch {
	case r.ctx.Err() != nil:
		return
	case errors.Is(cause, errEventTimeout):
		task.avoid = map[string]bool{target.ID: true}
		r.m.fleet.RecordFailure(target.ID)
		err = cause
	case errors.Is(cause, errStuckInQueue):
		task.avoid = map[string]bool{target.ID: true}
		r.m.fleet.RecordRefusal(target.ID, r.spec.Model)
		err = cause
	case errors.Is(cause, errSlowEngine):
		r.m.events.Event("rollout_moved")
		task.avoid = map[string]bool{target.ID: true}
		err = cause
	case errors.Is(err, errStaleVersion):
		r.m.fleet.RecordRefusal(target.ID, r.spec.Model)
	case e.Kind == failure.QueueFull:
		r.m.fleet.RecordRefusal(target.ID, r.spec.Model)
		r.m.events.Event("rollout_refused")
		r.log.Info("engine refused a rollout", append([]any{"rollout", task.rollout.ID, "engine", target.ID, "error", oneLine(err)}, target.Estimate.LogFields()...)...)
		return
	case e.Kind == failure.InvalidRequest:
		r.giveUpLocked(task, err.Error())
		return
	case e.Kind == failure.UpstreamFailed && e.Outcome == failure.Ran:
		task.failures++
		if task.failures >= max(1, c.rule.MaxAttempts) {
			r.giveUpLocked(task, err.Error())
			return
		}
	default:
		task.avoid = map[string]bool{target.ID: true}
		if got == 0 {
			r.m.fleet.RecordFailure(target.ID)
		}
	}
	r.m.events.Event("rollout_broken_off")
	r.log.Info("run of a rollout ended early", "rollout", task.rollout.ID, "engine", target.ID, "events", len(task.events), "new", got,
		"failures", task.failures, "error", oneLine(err))
}

func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }
