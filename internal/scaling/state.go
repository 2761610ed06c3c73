package scaling

import (
	"strings"
	"time"
)

// All times in this file are on the store clock, which all hosts share.

// Pool identifies the replicas of a service in one failure domain and of one kind.
type Pool struct {
	Domain string
	Spot   bool
}

const (
	suffixSpot    = "/spot"
	suffixRegular = "/regular"
)

// String returns the name of the pool in State.Pools.
func (p Pool) String() string {
	if p.Spot {
		return p.Domain + suffixSpot
	}
	return p.Domain + suffixRegular
}

// isSpot reports whether a name of a pool is that of spot replicas.
func isSpot(name string) bool { return strings.HasSuffix(name, suffixSpot) }

// PoolState is what the planner knows about a pool.
type PoolState struct {
	// Target is the number of replicas that was ordered last, or the number that ran when
	// the planner first saw the pool.
	Target int `json:"target"`
	// Confirmed is the last target that the control API has accepted, or the number that ran
	// when the planner first saw the pool.
	Confirmed int `json:"confirmed"`
	// SeenAt is when the planner first saw the pool.
	SeenAt time.Duration `json:"seen_at"`
	// Pending is true while the order of Target has no answer, and RetryAt is when it is
	// sent again. Attempts is the number of times it was sent without an answer.
	Pending  bool          `json:"pending,omitempty"`
	RetryAt  time.Duration `json:"retry_at,omitempty"`
	Attempts int           `json:"attempts,omitempty"`
	// LateTarget is the highest number that an order without an answer may still set until
	// LateUntil, after newer orders.
	LateTarget int           `json:"late_target,omitempty"`
	LateUntil  time.Duration `json:"late_until,omitempty"`
	// OrderedAt is the time of the last order; zero before the first.
	OrderedAt time.Duration `json:"ordered_at,omitempty"`
	// RaisedAt and LoweredAt are the times of the last order of more and of fewer replicas,
	// and LoweredBy is the number of replicas given back by the latter.
	RaisedAt  time.Duration `json:"raised_at,omitempty"`
	LoweredAt time.Duration `json:"lowered_at,omitempty"`
	LoweredBy int           `json:"lowered_by,omitempty"`
	// BlockedUntil is the time before which no more replicas are ordered, because none were
	// available or they were reclaimed. Refusals counts the refusals in a row.
	BlockedUntil time.Duration `json:"blocked_until,omitempty"`
	Refusals     int           `json:"refusals,omitempty"`
	// Reclaimed is true from the announcement that the pool's replicas are reclaimed until
	// the next order.
	Reclaimed bool `json:"reclaimed,omitempty"`
	// DifferentSince is the time since which another number of replicas runs than Target;
	// zero if it doesn't. Repeats is the number of orders sent again for that reason.
	DifferentSince time.Duration `json:"different_since,omitempty"`
	Repeats        int           `json:"repeats,omitempty"`
}

// peak is the highest demand within bucketWidth from a time on.
type peak struct {
	Since  time.Duration `json:"since"`
	Demand int           `json:"demand"`
}

// State is the state of the planner for one service. The zero value is a service that was
// never planned. It is stored as JSON.
type State struct {
	// Pools is indexed by Pool.String.
	Pools map[string]*PoolState `json:"pools"`
	// AdoptUntil is the time before which nothing is ordered, because replicas that run may
	// not be known yet.
	AdoptUntil time.Duration `json:"adopt_until,omitempty"`
	// Peaks holds the demand of the last maxHold and peakWindow, oldest first.
	Peaks []peak `json:"peaks"`
	// ObservedSince is the start of the time over which the demand was observed without a
	// gap, and ObservedAt the time of the last observation.
	ObservedSince time.Duration `json:"observed_since"`
	ObservedAt    time.Duration `json:"observed_at"`
	// LoweredAt is the time of the last order of fewer replicas, in any pool.
	LoweredAt time.Duration `json:"lowered_at,omitempty"`
	// Hold is how long a lower need must have held before fewer replicas are ordered; zero
	// means minHold. HoldSetAt is when it was last raised.
	Hold      time.Duration `json:"hold,omitempty"`
	HoldSetAt time.Duration `json:"hold_set_at,omitempty"`
	// LowerDueSince is the time since which a decrease waits for a moment with idle
	// replicas; zero if none does.
	LowerDueSince time.Duration `json:"lower_due_since,omitempty"`
}

// bucketWidth is the resolution of State.Peaks.
const bucketWidth = 5 * time.Second

// observe records the demand at a time. After a gap, for example while no host held the
// lease, the time for which a lower need has held starts again.
func (s *State) observe(now time.Duration, demand int) {
	if s.ObservedAt == 0 || now-s.ObservedAt > maxObservationGap || now < s.ObservedAt-maxObservationGap {
		s.ObservedSince = now
	}
	if now < s.ObservedAt-maxObservationGap {
		// The store lost its clock; times after the present would block orders for long.
		s.resetTimes(now)
	}
	s.ObservedAt = now
	for len(s.Peaks) > 0 && now-s.Peaks[0].Since > maxHold+peakWindow+bucketWidth {
		s.Peaks = s.Peaks[1:]
	}
	if last := len(s.Peaks) - 1; last >= 0 && now-s.Peaks[last].Since < bucketWidth {
		s.Peaks[last].Demand = max(s.Peaks[last].Demand, demand)
		return
	}
	s.Peaks = append(s.Peaks, peak{Since: now, Demand: demand})
}

// resetTimes moves all times that lie after the present to the present.
func (s *State) resetTimes(now time.Duration) {
	s.Peaks = nil
	for _, at := range []*time.Duration{&s.AdoptUntil, &s.LoweredAt, &s.HoldSetAt, &s.LowerDueSince} {
		*at = min(*at, now)
	}
	for _, p := range s.Pools {
		for _, at := range []*time.Duration{&p.SeenAt, &p.RetryAt, &p.OrderedAt, &p.RaisedAt, &p.LoweredAt, &p.BlockedUntil, &p.DifferentSince, &p.LateUntil} {
			*at = min(*at, now)
		}
	}
}

// peakSince returns the highest demand since a time, to within bucketWidth.
func (s *State) peakSince(since time.Duration) int {
	highest := 0
	for _, p := range s.Peaks {
		if p.Since+bucketWidth > since {
			highest = max(highest, p.Demand)
		}
	}
	return highest
}

// hold returns how long a lower need must have held before fewer replicas are ordered.
func (s *State) hold() time.Duration { return max(minHold, s.Hold) }

// pool returns the state of a pool, which is nil if the planner has not seen it.
func (s *State) pool(p Pool) *PoolState { return s.Pools[p.String()] }

// wait returns base doubled with each further attempt, up to limit.
func wait(base time.Duration, attempts int, limit time.Duration) time.Duration {
	for ; attempts > 0 && base < limit; attempts-- {
		base *= 2
	}
	return min(base, limit)
}

// Resume prepares a state that another holder has stored: orders without an answer are
// sent again at once, under the new holder's fencing token.
func (s *State) Resume() {
	for _, p := range s.Pools {
		if p.Pending {
			p.RetryAt = 0
			p.expectLate(p.Target, p.OrderedAt)
		}
	}
}

// Outcome is how an order ended.
type Outcome int

// Outcomes of an order.
const (
	// Accepted orders are carried out.
	Accepted Outcome = iota + 1
	// NoneAvailable orders are refused, because there are no such replicas at the moment.
	NoneAvailable
	// NotExecuted orders had no effect, for example because there were too many calls.
	NotExecuted
	// Unanswered orders may have been executed, or may be executed later.
	Unanswered
)

// expectLate records that an order that was sent at a time may be executed later.
func (p *PoolState) expectLate(replicas int, now time.Duration) {
	if now >= p.LateUntil {
		p.LateTarget = 0
	}
	p.LateTarget, p.LateUntil = max(p.LateTarget, replicas), max(p.LateUntil, now+maxLateness)
}

// Record records how an order ended. An order that is not the last one of its pool is
// ignored.
func (s *State) Record(order PlannedOrder, outcome Outcome, now time.Duration) {
	p := s.pool(order.Pool)
	if p == nil || !p.Pending || p.Target != order.Replicas {
		return
	}
	switch outcome {
	case Accepted:
		p.Confirmed, p.Pending, p.Attempts, p.Refusals = order.Replicas, false, 0, 0
	case NoneAvailable:
		p.Target, p.Pending, p.Attempts = p.Confirmed, false, 0
		p.BlockedUntil = now + wait(unavailableWait, p.Refusals, maxUnavailableWait)
		p.Refusals++
	case NotExecuted, Unanswered:
		if outcome == Unanswered {
			p.expectLate(order.Replicas, now)
		}
		p.RetryAt = now + wait(retryWait, p.Attempts, maxRetryWait)
		p.Attempts++
	}
}
