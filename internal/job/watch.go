package job

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
)

const (
	// firstEventTimeout is the timeout for the first event of an attempt at an engine
	// that sends no events of other attempts either. Such an engine may be loading
	// weights.
	firstEventTimeout = 1500 * time.Millisecond
	// queueTimeout is the timeout for the first event of an attempt at an engine that
	// sends events of other attempts: three times the 1.5 s of a typical rollout.
	queueTimeout = 4500 * time.Millisecond
	// queueMoveDelay is how long an attempt may wait for its first event while
	// another engine has a free slot. Prefilling a full batch takes a tenth of that.
	queueMoveDelay = 400 * time.Millisecond
	// eventTimeout is the timeout between two events of an attempt.
	eventTimeout = 1200 * time.Millisecond
)

// TimedOut reports whether an attempt has timed out. silence is the time since its
// last event or its start, started is true once it got an event, and engineSilence is
// the time since its engine sent this host an event of any rollout.
//
// Load pattern: jobs fill all engines, and a queued rollout starts only when
// another one ends.
func TimedOut(silence time.Duration, started bool, engineSilence time.Duration) bool {
	if started {
		return silence > eventTimeout
	}
	return silence > firstEventTimeout && engineSilence > firstEventTimeout || silence > queueTimeout
}

const (
	// moveMinSlowdown is the slowdown of an engine at which its rollouts are moved, as
	// a multiple of the median latency of the engines.
	moveMinSlowdown = 1.8
	// slowMinDuration is how long an engine must have been slow. While a burst of
	// prompts is prefilled, events are late everywhere, but only briefly.
	slowMinDuration = 400 * time.Millisecond
	// targetMaxSlowdown is the largest slowdown of an engine to which a rollout is
	// moved, as a multiple of the median latency of the engines.
	targetMaxSlowdown = 1.4
	// moveMinRemainingEvents is the smallest number of expected remaining events for
	// which a move pays off: the other engine has to prefill the prompt and the text.
	moveMinRemainingEvents = 4
	// moveMinReceivedEvents is the number of events after which an attempt may be moved.
	moveMinReceivedEvents = 3
)

// ShouldMove reports whether a running rollout should move to an engine with a free
// slot. from and to are the slowdowns of the two engines, as multiples of the
// median latency of the engines, received is the number of events of this attempt,
// and remaining the expected number of further events.
//
// Load pattern: an engine becomes slow while it runs the longest rollouts of a job,
// and the trainer waits only for them while other engines have free slots.
func ShouldMove(from, to float64, received int, remaining float64) bool {
	return from >= moveMinSlowdown && to <= targetMaxSlowdown && received >= moveMinReceivedEvents && remaining >= moveMinRemainingEvents
}

// remainingEvents is the expected number of remaining events of a rollout. A
// rollout that is longer than expected is assumed to grow by another half.
func (task *rolloutTask) remainingEvents() float64 {
	have := float64(len(task.events))
	if expected := task.expectedEvents(); expected > have {
		return expected - have
	}
	return have / 2
}

// checkTasks gives up waiting and running rollouts past the time limit for their job
// (GiveUpAfter) and cancels attempts that timed out or should move to another engine.
func (m *Manager) checkTasks() {
	clock := m.storeNow()
	now := time.Now()
	runs := m.activeRuns()
	m.updateSlowEngines(runs, now)
	for _, r := range runs {
		r.mu.Lock()
		if !r.prepared {
			r.mu.Unlock()
			continue
		}
		rule, found, _ := m.rules.JobRule(r.spec, r.owner.ConfigVersion)
		// AcceptedMS is zero if the owner row has no time of acceptance.
		late := found && rule.GiveUpAfter > 0 && r.owner.AcceptedMS > 0 && clock > r.owner.acceptedAt()+rule.GiveUpAfter
		for _, task := range r.tasks {
			switch {
			case late && (task.state == taskWaiting || task.state == taskRunning):
				cancel := task.cancel
				r.giveUpLocked(task, "its time is over")
				if cancel != nil {
					cancel(errJobEnded)
				}
			case task.state == taskRunning && TimedOut(now.Sub(task.lastEvent), len(task.events) > task.eventsBefore, now.Sub(m.fleet.LastEventAt(task.engine))):
				task.cancel(errEventTimeout)
			case task.state == taskRunning && !task.moving && found && m.shouldLeaveQueue(r, task, rule, now):
				task.moving = true
				task.cancel(errStuckInQueue)
			case task.state == taskRunning && !task.moving && found && m.shouldLeaveSlowEngine(r, task, rule, now):
				task.moving = true
				task.cancel(errSlowEngine)
			}
		}
		r.mu.Unlock()
	}
}

// updateSlowEngines updates slowSince for the engines of running rollouts.
func (m *Manager) updateSlowEngines(runs []*jobRun, now time.Time) {
	seen := map[string]bool{}
	for _, r := range runs {
		r.mu.Lock()
		for _, task := range r.tasks {
			if task.state == taskRunning {
				seen[task.engine] = true
			}
		}
		r.mu.Unlock()
	}
	for id := range m.slowSince {
		if !seen[id] {
			delete(m.slowSince, id)
		}
	}
	for id := range seen {
		_, known := m.slowSince[id]
		switch slow := m.fleet.Slowdown(id) >= moveMinSlowdown; {
		case slow && !known:
			m.slowSince[id] = now
		case !slow:
			delete(m.slowSince, id)
		}
	}
}

// shouldLeaveQueue reports whether an attempt waits in an engine's queue while
// another engine has a free slot. That happens when several hosts place rollouts at
// the same moment and don't see each other's choices. The caller holds r.mu.
func (m *Manager) shouldLeaveQueue(r *jobRun, task *rolloutTask, rule Rule, now time.Time) bool {
	if len(task.events) > task.eventsBefore || now.Sub(task.lastEvent) < queueMoveDelay {
		return false
	}
	_, _, ok := m.fleet.Peek(moveRequirements(m, r, task, rule, now))
	return ok
}

// moveRequirements returns what a running rollout requires of the engine that it
// moves to: another engine with a free slot.
func moveRequirements(m *Manager, r *jobRun, task *rolloutTask, rule Rule, now time.Time) fleet.Requirements {
	want := candidate{run: r, task: task, rule: rule}.requirements(m, now)
	// The move sets task.avoid to the current engine alone, so engines that earlier
	// attempts avoided are allowed again.
	want.Avoid = nil
	want.ExcludeID = task.engine
	want.AllowQueue = false
	return want
}

// shouldLeaveSlowEngine reports whether a running rollout should leave a slow
// engine now. The caller holds r.mu.
func (m *Manager) shouldLeaveSlowEngine(r *jobRun, task *rolloutTask, rule Rule, now time.Time) bool {
	since, slow := m.slowSince[task.engine]
	if !slow || now.Sub(since) < slowMinDuration {
		return false
	}
	_, slowdown, ok := m.fleet.Peek(moveRequirements(m, r, task, rule, now))
	return ok && ShouldMove(m.fleet.Slowdown(task.engine), slowdown, len(task.events)-task.eventsBefore, task.remainingEvents())
}
