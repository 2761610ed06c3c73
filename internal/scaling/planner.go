package scaling

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/routes"
)

const (
	// peakWindow is the time whose highest demand the replicas are sized for. Trainers
	// submit a step each 4 s, so it covers five bursts.
	peakWindow = 20 * time.Second
	// minHold is how long a lower need must have held before fewer replicas are ordered. It
	// grows by regretFactor up to maxHold whenever replicas are ordered again within
	// regretWindow of a decrease, and halves after each calmAfter without that.
	minHold      = 30 * time.Second
	maxHold      = 2 * time.Minute
	regretWindow = time.Minute
	regretFactor = 4
	calmAfter    = 10 * time.Minute
	// minKeep is the least time between an order of more replicas and one of fewer in the
	// same pool, so that replicas are not given back within a minute.
	minKeep = time.Minute
	// lowerInterval is the least time between two orders of fewer replicas of a service.
	lowerInterval = 5 * time.Second
	// maxIdleWait is how long a decrease waits for a moment at which as many replicas are
	// idle as it takes away. With a steady load each replica always has some work.
	maxIdleWait = 20 * time.Second
	// settleTime is how long a replica may be missing before it counts: lost ones come back
	// by themselves after some seconds.
	settleTime = 4 * time.Second
	// maxRepeatWait bounds the time between two orders of the same number.
	maxRepeatWait = time.Minute
	// unavailableWait is how long a pool gets no orders after a refusal because none were
	// available, or after a reclaim. It doubles with each refusal up to maxUnavailableWait.
	unavailableWait    = 5 * time.Second
	maxUnavailableWait = 10 * time.Second
	// retryWait is the wait before an order without an answer is sent again. It doubles with
	// each attempt up to maxRetryWait.
	retryWait    = 500 * time.Millisecond
	maxRetryWait = 4 * time.Second
	// sendingTime is the time after which an order that was given out counts as not sent.
	// It exceeds the deadline of a call.
	sendingTime = 2 * time.Second
	// maxLateness is how long after its call an order without an answer may be executed.
	maxLateness = 30 * time.Second
	// maxObservationGap is the longest gap between two observations over which a low demand
	// counts as observed.
	maxObservationGap = 5 * time.Second
	// headroomDivisor sets the headroom of an increase and the gap to a decrease: a fifth of
	// the need. The peaks of two windows of a steady load differ by less, and missing
	// replicas delay a training step, which costs more than idle ones.
	headroomDivisor = 5
	// minSaving is the least saving, as a fraction of the cost, for which regular replicas are
	// exchanged for spot ones.
	minSaving = 0.05
	// maxExchangeWait is the longest wait before such an exchange, or the opposite one, is tried
	// again after refusals.
	maxExchangeWait = 3 * time.Minute
)

// Count is what discovery shows of a pool.
type Count struct {
	// Ready is the number of replicas that take requests.
	Ready int
	// Leaving is the number of replicas that announced that they are reclaimed, and LeavesIn
	// the longest time until they end.
	Leaving  int
	LeavesIn time.Duration
}

// Observation is the input of a plan.
type Observation struct {
	// Demand is the number of slots that rollouts and requests want now.
	Demand int
	// Slots is the number of slots of a replica; zero if not known.
	Slots int
	Pools map[Pool]Count
}

// replicasFor returns the number of replicas that serve a demand.
func (o Observation) replicasFor(demand int) int {
	if o.Slots <= 0 {
		return min(demand, 1)
	}
	return (demand + o.Slots - 1) / o.Slots
}

// ready returns the number of all replicas that take requests.
func (o Observation) ready() int {
	n := 0
	for _, c := range o.Pools {
		n += c.Ready
	}
	return n
}

// Reason says why an order is given.
type Reason string

// Reasons of orders.
const (
	// NeedMore orders raise the number because the need is not met.
	NeedMore Reason = "need_more"
	// NeedLess orders lower the number because a lower need has held.
	NeedLess Reason = "need_less"
	// Cheaper orders raise the number of spot replicas so that regular ones can go.
	Cheaper Reason = "cheaper"
	// MakeRoom orders lower the number of spot replicas so that regular ones can be ordered.
	MakeRoom Reason = "make_room"
	// NoAnswer orders repeat one that got no answer.
	NoAnswer Reason = "no_answer"
	// Different orders repeat one because another number of replicas runs.
	Different Reason = "different"
)

// PlannedOrder sets the number of replicas of a pool.
type PlannedOrder struct {
	Pool
	// Replicas is the number that is ordered, and Before the last number before it.
	Replicas, Before int
	Reason           Reason
}

// Decision is the result of a plan.
type Decision struct {
	Orders []PlannedOrder
	// Need is the number of replicas that serve the peak demand, which is Peak.
	Need, Peak int
	// Reclaimed is the number of spot replicas whose reclaim was noticed.
	Reclaimed int
	// ReturnedEarly is the number of replicas that Orders give back within a minute of
	// their order.
	ReturnedEarly int
}

// Plan returns the orders of a service at a time, and records them in the state as not
// answered. Each must then be sent and its end passed to Record. The state must be stored
// before, so that another holder knows of the orders.
func (s *State) Plan(now time.Duration, limits *routes.Scaling, seen Observation) Decision {
	if s.Pools == nil {
		s.Pools = map[string]*PoolState{}
	}
	s.forgetPools(limits)
	s.observe(now, seen.Demand)
	if s.Hold > 0 && now-s.HoldSetAt > calmAfter {
		s.Hold, s.HoldSetAt = s.Hold/2, now
	}
	d := Decision{Peak: s.peakSince(now - peakWindow)}
	d.Need = seen.replicasFor(d.Peak)
	d.Reclaimed = s.see(now, limits, seen)
	if now < s.AdoptUntil {
		return d
	}
	s.repeat(now, limits, seen, &d)
	s.raise(now, limits, seen, &d)
	if len(d.Orders) == 0 {
		s.lower(now, limits, seen, &d)
	}
	return d
}

// Wanted returns the number of replicas that are ordered or taken as given, by kind.
func (s *State) Wanted() (regular, spot int) {
	for name, p := range s.Pools {
		if isSpot(name) {
			spot += p.Target
		} else {
			regular += p.Target
		}
	}
	return regular, spot
}

// pools returns the pools of a service, sorted.
func pools(limits *routes.Scaling) []Pool {
	domains := limits.Domains()
	all := make([]Pool, 0, 2*len(domains))
	for _, domain := range domains {
		all = append(all, Pool{Domain: domain}, Pool{Domain: domain, Spot: true})
	}
	return all
}

// see compares what runs with the targets. It returns the number of replicas that are
// found to be reclaimed.
func (s *State) see(now time.Duration, limits *routes.Scaling, seen Observation) (reclaimed int) {
	for _, pool := range pools(limits) {
		count := seen.Pools[pool]
		p := s.pool(pool)
		if p == nil {
			p = &PoolState{Target: count.Ready, Confirmed: count.Ready, SeenAt: now}
			s.Pools[pool.String()] = p
		}
		if count.Leaving == 0 && now-p.LoweredAt >= minKeep {
			p.LoweredBy = 0
		}
		switch {
		case p.leaving(pool, count) > 0:
			reclaimed += max(0, p.Target-count.Ready)
			if p.Pending {
				p.expectLate(p.Target, now)
			}
			p.Target, p.Confirmed, p.Pending, p.Reclaimed = count.Ready, count.Ready, false, true
			p.BlockedUntil = max(p.BlockedUntil, now+max(unavailableWait, count.LeavesIn))
		case count.Ready > p.Target && (p.OrderedAt == 0 || p.Reclaimed):
			// Nobody ordered these replicas here: they run from the start, or came back after
			// a reclaim.
			p.Target, p.Confirmed = count.Ready, count.Ready
		case count.Ready == p.Target && p.Pending && p.Attempts > 0:
			// The order was executed although it got no answer.
			p.Confirmed, p.Pending, p.Attempts = p.Target, false, 0
		}
		switch {
		case count.Ready == p.Target:
			p.DifferentSince, p.Repeats = 0, 0
		case p.DifferentSince == 0:
			p.DifferentSince = now
		}
	}
	return reclaimed
}

// leaving returns the number of replicas that are being reclaimed. Replicas that a recent
// order gave back leave, too, and don't count.
func (p *PoolState) leaving(pool Pool, count Count) int {
	if !pool.Spot {
		return 0
	}
	return max(0, count.Leaving-p.LoweredBy)
}

// forgetPools deletes the state of the pools in failure domains that the limits don't name.
func (s *State) forgetPools(limits *routes.Scaling) {
	named := map[string]bool{}
	for _, pool := range pools(limits) {
		named[pool.String()] = true
	}
	maps.DeleteFunc(s.Pools, func(name string, _ *PoolState) bool { return !named[name] })
}

// blocked reports whether no more replicas of the pool may be ordered yet.
func (p *PoolState) blocked(now time.Duration) bool { return now < p.BlockedUntil }

// missing reports whether replicas of the pool still don't run after their order was
// repeated.
func (p *PoolState) missing(count Count) bool { return p.Repeats > 0 && count.Ready < p.Target }

// current returns the replicas that can be counted on: those that were ordered, and those
// that run where no more can be had for now or replicas are missing for long. Spot replicas
// of a failure domain are reclaimed together, so none of them counts once some leave.
func (s *State) current(now time.Duration, limits *routes.Scaling, seen Observation) *allocation {
	a := newAllocation(limits)
	for _, pool := range pools(limits) {
		p, count := s.pool(pool), seen.Pools[pool]
		a.counts[pool] = p.Target
		if p.blocked(now) || p.missing(count) {
			a.counts[pool] = min(p.Target, count.Ready)
		}
		if p.leaving(pool, count) > 0 {
			a.counts[pool] = 0
		}
		// More run than were ordered last while a late order is in effect.
		a.ordered[pool] = max(p.Target, count.Ready)
		if p.Pending {
			a.ordered[pool] = max(a.ordered[pool], p.Confirmed)
		}
		if now < p.LateUntil {
			a.ordered[pool] = max(a.ordered[pool], p.LateTarget)
		}
		a.closed[pool] = p.blocked(now) || p.Pending || p.missing(count)
	}
	return a
}

// repeat orders again what got no answer, and what differs from the replicas that run for
// longer than a replica takes to boot. The latter repairs orders that were lost, or executed
// after a newer one.
func (s *State) repeat(now time.Duration, limits *routes.Scaling, seen Observation, d *Decision) {
	for _, pool := range pools(limits) {
		p, ready := s.pool(pool), seen.Pools[pool].Ready
		if p.Pending {
			if now >= p.RetryAt {
				d.Orders = append(d.Orders, s.give(now, pool, s.withinMax(pool, limits, ready), NoAnswer))
			}
			continue
		}
		since := max(p.DifferentSince, p.OrderedAt)
		settled := limits.BootTime + settleTime
		if p.DifferentSince == 0 || p.blocked(now) || now-since <= wait(settled, p.Repeats, max(settled, maxRepeatWait)) {
			continue
		}
		surplus := ready - p.Target
		if surplus > 0 && seen.ready()-surplus < seen.replicasFor(seen.Demand) {
			continue
		}
		if surplus > 0 && p.RaisedAt > 0 && now-p.RaisedAt < minKeep {
			d.ReturnedEarly += surplus
		}
		if surplus > 0 {
			p.LoweredAt, p.LoweredBy = now, surplus
		}
		p.Repeats++
		d.Orders = append(d.Orders, s.give(now, pool, s.withinMax(pool, limits, ready), Different))
	}
}

// withinMax returns the target of a pool without what exceeds Max and doesn't run: Max may
// have become less since the order.
func (s *State) withinMax(pool Pool, limits *routes.Scaling, ready int) int {
	target := s.pool(pool).Target
	other := s.pool(Pool{Domain: pool.Domain, Spot: !pool.Spot})
	return min(target, max(ready, limits.Max-other.Target, 0))
}

// give records an order and returns it.
func (s *State) give(now time.Duration, pool Pool, replicas int, reason Reason) PlannedOrder {
	p := s.pool(pool)
	order := PlannedOrder{Pool: pool, Replicas: replicas, Before: p.Target, Reason: reason}
	switch {
	case replicas > p.Target:
		p.RaisedAt = now
	case replicas < p.Target:
		p.LoweredAt, p.LoweredBy = now, p.Target-replicas
		s.LoweredAt = now
	}
	if reason != NoAnswer {
		p.Attempts = 0
	}
	p.Target, p.Pending, p.OrderedAt, p.RetryAt, p.Reclaimed = replicas, true, now, now+sendingTime, false
	return order
}

// raise orders more replicas if those that can be counted on don't serve the need.
func (s *State) raise(now time.Duration, limits *routes.Scaling, seen Observation, d *Decision) {
	for _, p := range s.Pools {
		if p.Pending && p.Attempts == 0 {
			// The answer decides what else is needed.
			return
		}
	}
	current := s.current(now, limits, seen)
	if current.serves(d.Need) {
		return
	}
	want := current.clone()
	want.grow(withHeadroom(d.Need))
	blocked := false
	for _, pool := range pools(limits) {
		blocked = blocked || s.pool(pool).blocked(now)
		if want.counts[pool] > current.counts[pool] {
			d.Orders = append(d.Orders, s.give(now, pool, want.counts[pool], NeedMore))
		}
	}
	if len(d.Orders) > 0 && !blocked && s.LoweredAt > 0 && now-s.LoweredAt < regretWindow && now-s.HoldSetAt > regretWindow {
		s.Hold, s.HoldSetAt = min(maxHold, regretFactor*s.hold()), now
	}
}

// withHeadroom returns the number of replicas that is ordered for a need.
func withHeadroom(need int) int { return need + (need+headroomDivisor-1)/headroomDivisor }

// lower orders fewer replicas in one pool if a lower need has held long enough, and the
// rest serves that need and the present demand.
func (s *State) lower(now time.Duration, limits *routes.Scaling, seen Observation, d *Decision) {
	if seen.Slots <= 0 || s.LoweredAt > 0 && now-s.LoweredAt < lowerInterval || s.unsettled(now, limits, seen) {
		return
	}
	current := s.current(now, limits, seen)
	for pool := range current.counts {
		// What is missing for long can't replace what is given back.
		current.counts[pool] = min(current.counts[pool], seen.Pools[pool].Ready)
	}
	if s.makeRoom(now, current, d) {
		return
	}
	held := peakWindow + s.hold()
	if now-s.ObservedSince < held {
		return
	}
	need := withHeadroom(seen.replicasFor(s.peakSince(now - held)))
	final := newAllocation(limits)
	final.grow(need)
	pool, replicas, ok := s.decrease(now, current, final, need)
	if !ok {
		s.LowerDueSince = 0
		s.exchange(now, current, final, d)
		return
	}
	fewer := current.counts[pool] - replicas
	if seen.ready()-fewer < seen.replicasFor(seen.Demand) {
		return
	}
	if s.LowerDueSince == 0 {
		s.LowerDueSince = now
	}
	if seen.ready()-seen.Demand < fewer && now-s.LowerDueSince < maxIdleWait {
		return
	}
	s.LowerDueSince = 0
	d.Orders = append(d.Orders, s.give(now, pool, replicas, NeedLess))
}

// unsettled reports whether the effect of earlier orders, or of a reclaim, is not known yet.
func (s *State) unsettled(now time.Duration, limits *routes.Scaling, seen Observation) bool {
	return slices.ContainsFunc(pools(limits), func(pool Pool) bool {
		p, count := s.pool(pool), seen.Pools[pool]
		settling := count.Ready != p.Target && now-max(p.DifferentSince, p.OrderedAt) < limits.BootTime+settleTime
		return p.Pending || p.blocked(now) || count.Leaving > 0 || count.Ready > p.Target || settling
	})
}

// decrease returns the decrease of one pool towards the final allocation that saves most,
// such that the rest still meets a need.
func (s *State) decrease(now time.Duration, current, final *allocation, need int) (best Pool, replicas int, ok bool) {
	mostSaved := -1.0
	for _, pool := range pools(current.limits) {
		p := s.pool(pool)
		if p.RaisedAt > 0 && now-p.RaisedAt < minKeep {
			continue
		}
		left := current.clone()
		for left.counts[pool] > final.counts[pool] {
			left.counts[pool]--
			if !left.serves(need) {
				left.counts[pool]++
				break
			}
		}
		fewer := current.counts[pool] - left.counts[pool]
		if saved := float64(fewer) * current.price(pool); fewer > 0 && saved > mostSaved {
			best, replicas, ok, mostSaved = pool, left.counts[pool], true, saved
		}
	}
	return best, replicas, ok
}

// makeRoom orders fewer spot replicas in one failure domain at Max if regular ones are needed
// there: spot replicas may have been ordered while no regular ones were available. What is
// left must serve the need meanwhile. It returns false if there is nothing to do.
func (s *State) makeRoom(now time.Duration, current *allocation, d *Decision) bool {
	fewer := min(d.Need-current.regular(), current.total()-d.Need)
	if fewer <= 0 {
		return false
	}
	for _, domain := range current.domains {
		regular, spot := Pool{Domain: domain}, Pool{Domain: domain, Spot: true}
		r, p := s.pool(regular), s.pool(spot)
		if current.closed[regular] || current.room(regular) > 0 || current.counts[spot] == 0 || p.RaisedAt > 0 && now-p.RaisedAt < minKeep ||
			r.Refusals > 0 && now-r.BlockedUntil < wait(minKeep, r.Refusals-1, maxExchangeWait) {
			continue
		}
		d.Orders = append(d.Orders, s.give(now, spot, current.counts[spot]-min(fewer, current.counts[spot]), MakeRoom))
		return true
	}
	return false
}

// exchange orders spot replicas of one failure domain if regular ones can go afterwards and
// that saves enough.
func (s *State) exchange(now time.Duration, current, final *allocation, d *Decision) {
	if final.cost() >= current.cost()*(1-minSaving) {
		return
	}
	for _, pool := range pools(current.limits) {
		p := s.pool(pool)
		more := min(final.counts[pool]-p.Target, current.room(pool))
		if !pool.Spot || more <= 0 || p.Refusals > 0 && now-p.RaisedAt < wait(minKeep, p.Refusals, maxExchangeWait) {
			continue
		}
		d.Orders = append(d.Orders, s.give(now, pool, p.Target+more, Cheaper))
		return
	}
}
