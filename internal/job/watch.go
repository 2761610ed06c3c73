package job

import "time"

const (
	// firstPatience is how long an engine may take for the first event of a
	// run: it may queue the run or load weights.
	firstPatience = 1500 * time.Millisecond
	// eventPatience is how long an engine may be silent between two events.
	eventPatience = 1200 * time.Millisecond
)

// Silent reports whether a run has been silent for too long. begun is true once
// it brought an event.
func Silent(silence time.Duration, begun bool) bool {
	if begun {
		return silence > eventPatience
	}
	return silence > firstPatience
}

// watchRuns ends runs on silent engines and gives up rollouts whose time is over.
func (m *Manager) watchRuns() {
	clock := m.clock()
	now := time.Now()
	for _, r := range m.activeRuns() {
		r.mu.Lock()
		if !r.prepared {
			r.mu.Unlock()
			continue
		}
		rule, found, _ := m.rules.JobRule(r.spec)
		late := found && rule.GiveUpAfter > 0 && clock > r.owner.accepted()+rule.GiveUpAfter
		for _, it := range r.items {
			switch {
			case late && (it.state == waiting || it.state == running):
				stop := it.stop
				r.giveUpLocked(it, "its time is over")
				if stop != nil {
					stop(errEnded)
				}
			case it.state == running && Silent(now.Sub(it.lastEvent), len(it.events) > it.had):
				it.stop(errSilent)
			}
		}
		r.mu.Unlock()
	}
}
