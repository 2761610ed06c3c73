package job

import (
	"context"
	"slices"
	"sync"
)

const (
	// minScoringCalls is the smallest limit of a host's concurrent scoring calls, which
	// applies if the slots of the scoring service are not known or few.
	minScoringCalls = 10
	// scoringShare is the share of a service's slots that the scoring calls of all hosts
	// may take. The same service also answers customers.
	scoringShare = 0.5
)

// ScoringLimit returns how many scoring calls a host may have in flight at a service
// whose replicas have a number of slots together, while a number of hosts, including this
// one, own open jobs.
//
// Load pattern: the rollouts of several jobs end in bursts at the host that owns the
// jobs. With a fixed limit of 10 calls of 0.2 s, a host that owned two jobs with 320
// rollouts every 4 s scored 45 a second, and complete texts waited for 5 s.
func ScoringLimit(slots, owners int) int {
	return max(minScoringCalls, int(scoringShare*float64(slots))/max(1, owners))
}

// scoringWaiter is a scoring call that waits for its turn.
type scoringWaiter struct {
	acceptedMS int64
	granted    chan struct{}
}

// scoringGate limits the scoring calls of a host at one service. Calls of the job that was
// accepted first go first.
type scoringGate struct {
	mu      sync.Mutex
	limit   int
	inUse   int
	waiting []*scoringWaiter
}

// setLimit changes the limit.
func (g *scoringGate) setLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.grantLocked()
}

// acquire waits for permission to make a call for a job accepted at acceptedMS. It reports
// false if ctx ended first. After true, release must be called.
func (g *scoringGate) acquire(ctx context.Context, acceptedMS int64) bool {
	g.mu.Lock()
	w := &scoringWaiter{acceptedMS: acceptedMS, granted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(g.waiting, acceptedMS, func(other *scoringWaiter, accepted int64) int {
		if other.acceptedMS <= accepted {
			return -1
		}
		return 1
	})
	g.waiting = slices.Insert(g.waiting, at, w)
	g.grantLocked()
	g.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiting, w); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		return false
	}
	g.inUse--
	g.grantLocked()
	return false
}

// release ends a call.
func (g *scoringGate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse--
	g.grantLocked()
}

// grantLocked lets the first waiting calls proceed within the limit. The caller holds mu.
func (g *scoringGate) grantLocked() {
	for len(g.waiting) > 0 && g.inUse < g.limit {
		g.inUse++
		close(g.waiting[0].granted)
		g.waiting = slices.Delete(g.waiting, 0, 1)
	}
}

// scoringGateFor returns the gate of the service that takes a scoring call, with a limit by
// the slots that its replicas have now.
func (m *Manager) scoringGateFor(call ScoreCall) *scoringGate {
	service, slots := m.scorer.ServiceOf(call)
	m.mu.Lock()
	gate := m.scoringGates[service]
	if gate == nil {
		gate = &scoringGate{}
		m.scoringGates[service] = gate
	}
	owners := map[string]bool{m.host: true}
	for _, state := range m.jobs {
		if state.version > 0 && !state.over() {
			owners[state.owner.Host] = true
		}
	}
	m.mu.Unlock()
	gate.setLimit(ScoringLimit(slots, len(owners)))
	return gate
}
