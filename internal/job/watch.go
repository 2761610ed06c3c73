package job

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
)

const (
	// firstPatience is how long an engine that brings no event of any run may take
	// for the first one of a run: it may load weights.
	firstPatience = 1500 * time.Millisecond
	// longestQueue is how long a run may wait for its first event at an engine that
	// brings events of others: three times a usual rollout of a second and a half.
	longestQueue = 4500 * time.Millisecond
	// queuePatience is how long a run may wait at an engine for its first event
	// while another engine has a free place. Reading the prompts of a full batch
	// takes a tenth of that.
	queuePatience = 400 * time.Millisecond
	// eventPatience is how long an engine may be silent between two events.
	eventPatience = 1200 * time.Millisecond
)

// Silent reports whether a run has been silent for too long. begun is true once
// it brought an event; unheard is the time since its engine brought an event of any run.
//
// Load pattern: jobs fill all engines, and what queues there begins when others end.
func Silent(silence time.Duration, begun bool, unheard time.Duration) bool {
	if begun {
		return silence > eventPatience
	}
	return silence > firstPatience && unheard > firstPatience || silence > longestQueue
}

const (
	// slowPace is how much longer than its peers an engine takes before its runs
	// are moved to another.
	slowPace = 1.8
	// slowTerm is how long an engine must have been slow: while a burst of prompts
	// is read, events are late everywhere, but not for long.
	slowTerm = 400 * time.Millisecond
	// movePace is the most that the other may take.
	movePace = 1.4
	// moveEvents is the least number of expected events for which a move pays: the
	// other engine reads the prompt and the text again.
	moveEvents = 4
	// stayEvents is the least number of events that an engine is given before it is left.
	stayEvents = 3
)

// Worth reports whether a run is better moved to an engine with a free place.
// from and to are the engines' paces relative to their peers, got is the number
// of events of this run, and left that of those still expected; a rollout that is
// longer than expected is likely to go on for as long again.
//
// Load pattern: an engine turns slow while it holds the longest rollouts of a job,
// and the trainer waits for them alone while other engines have free places.
func Worth(from, to float64, got int, left float64) bool {
	return from >= slowPace && to <= movePace && got >= stayEvents && left >= moveEvents
}

// left is the expected number of events of a rollout that are still to come.
func (it *item) left() float64 {
	have := float64(len(it.events))
	if expected := it.expected(); expected > have {
		return expected - have
	}
	return have / 2
}

// watchRuns ends runs on silent engines and gives up rollouts whose time is over.
func (m *Manager) watchRuns() {
	clock := m.clock()
	now := time.Now()
	runs := m.activeRuns()
	m.watchEngines(runs, now)
	for _, r := range runs {
		r.mu.Lock()
		if !r.prepared {
			r.mu.Unlock()
			continue
		}
		rule, found, _ := m.rules.JobRule(r.spec)
		late := found && rule.GiveUpAfter > 0 && r.owner.AcceptedMS > 0 && clock > r.owner.accepted()+rule.GiveUpAfter
		for _, it := range r.items {
			switch {
			case late && (it.state == waiting || it.state == running):
				stop := it.stop
				r.giveUpLocked(it, "its time is over")
				if stop != nil {
					stop(errEnded)
				}
			case it.state == running && Silent(now.Sub(it.lastEvent), len(it.events) > it.had, now.Sub(m.fleet.Heard(it.engine))):
				it.stop(errSilent)
			case it.state == running && !it.leaves && found && m.waitsInVain(r, it, rule, now):
				it.leaves = true
				it.stop(errQueued)
			case it.state == running && !it.leaves && found && m.worthMoving(r, it, rule, now):
				it.leaves = true
				it.stop(errSlow)
			}
		}
		r.mu.Unlock()
	}
}

// watchEngines records since when the engines of running rollouts are slow.
// Only placeRollouts calls it.
func (m *Manager) watchEngines(runs []*run, now time.Time) {
	seen := map[string]bool{}
	for _, r := range runs {
		r.mu.Lock()
		for _, it := range r.items {
			if it.state == running {
				seen[it.engine] = true
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
		switch slow := m.fleet.Pace(id) >= slowPace; {
		case slow && !known:
			m.slowSince[id] = now
		case !slow:
			delete(m.slowSince, id)
		}
	}
}

// waitsInVain reports whether a run waits in an engine's queue while another
// engine has a free place: owners that place at the same moment don't see each
// other's choices. The caller holds the run's mu.
func (m *Manager) waitsInVain(r *run, it *item, rule Rule, now time.Time) bool {
	if len(it.events) > it.had || now.Sub(it.lastEvent) < queuePatience {
		return false
	}
	_, _, ok := m.fleet.Peek(elsewhere(m, r, it, rule, now))
	return ok
}

// elsewhere is what a running rollout needs of another engine with a free place.
func elsewhere(m *Manager, r *run, it *item, rule Rule, now time.Time) fleet.Want {
	want := place{run: r, it: it, rule: rule}.want(m, now)
	want.Avoid = nil
	want.Except = it.engine
	want.Queue = false
	return want
}

// worthMoving reports whether a running rollout is better moved now. The caller holds the run's mu.
func (m *Manager) worthMoving(r *run, it *item, rule Rule, now time.Time) bool {
	since, slow := m.slowSince[it.engine]
	if !slow || now.Sub(since) < slowTerm {
		return false
	}
	_, pace, ok := m.fleet.Peek(elsewhere(m, r, it, rule, now))
	return ok && Worth(m.fleet.Pace(it.engine), pace, len(it.events)-it.had, it.left())
}
