package scaling

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// count returns the number of orders for a reason.
func (p *replayPlatform) count(reason Reason) int {
	n := 0
	for _, o := range p.orders {
		if o.Reason == reason {
			n++
		}
	}
	return n
}

// afterLoss returns the number of running replicas without the failure domain that has
// most.
func (p *replayPlatform) afterLoss() int {
	a := newAllocation(p.limits)
	for pool, n := range p.running {
		a.counts[pool] = n
	}
	return a.afterLoss()
}

// Guards against steps that are late for lack of replicas, against a reserve that does not
// outlast the loss of a failure domain, and against orders that follow each burst.
func TestTrainingStepsEachFourSeconds(t *testing.T) {
	for n := range uint64(5) {
		p := newReplay(t, 13, 13, 12)
		load := p.training(seed(n))
		p.run(time.Minute, load)
		began, orders, cost := p.late, len(p.orders), p.cost
		if orders > 25 {
			t.Errorf("seed %d: %d orders in the first minute, want at most 25", n, orders)
		}
		p.run(10*time.Minute, load)
		t.Logf("seed %d: %d orders in the first minute, %d in the next ten; %.1f per second; %d regular and %d spot replicas, %d after the loss of a failure domain; %d late of %d",
			n, orders, len(p.orders)-orders, (p.cost-cost)/600, p.kind(false), p.kind(true), p.afterLoss(), p.late, p.done)
		if late := p.late - began; late > 0 {
			t.Errorf("seed %d: %d of %d rollouts are late after the first minute", n, late, p.done)
		}
		if more := len(p.orders) - orders; more > 12 {
			t.Errorf("seed %d: %d orders in ten minutes of the same load, want at most 12", n, more)
		}
		need := p.observation().replicasFor(p.state.peakSince(p.now - peakWindow))
		if p.kind(false) < need || p.afterLoss() < need {
			t.Errorf("seed %d: %d regular replicas and %d after the loss of a failure domain, want %d", n, p.kind(false), p.afterLoss(), need)
		}
	}
}

// Guards against replicas that stay for good after the load has ended.
func TestIdleReplicasAreGivenBack(t *testing.T) {
	p := newReplay(t, 13, 13, 12)
	p.run(2*time.Minute, p.training(seed(1)))
	p.run(49*time.Second, nil)
	if n := p.count(NeedLess); n > 0 {
		t.Errorf("%d decreases before a lower need has held for 30 s", n)
	}
	p.run(2*time.Minute, nil)
	if p.ready() != 3 {
		t.Errorf("%d replicas run without a load, want one in each failure domain", p.ready())
	}
	if p.returnedEarly > 0 {
		t.Errorf("%d replicas were given back within a minute", p.returnedEarly)
	}
}

// Guards against orders that follow the noise of a steady load, and against regular replicas
// that stay where spot ones would do.
func TestSteadyRequests(t *testing.T) {
	for n := range uint64(5) {
		p := newReplay(t, 13, 13, 12)
		load := p.steady(seed(n), 60)
		p.run(5*time.Minute, load)
		orders := len(p.orders)
		p.run(30*time.Minute, load)
		t.Logf("seed %d: %d orders in 35 minutes, %d regular and %d spot replicas", n, len(p.orders), p.kind(false), p.kind(true))
		if more := len(p.orders) - orders; more > 6 {
			t.Errorf("seed %d: %d orders in half an hour of a steady load, want at most 6", n, more)
		}
		if p.late > 0 {
			t.Errorf("seed %d: %d requests waited for a slot for a second", n, p.late)
		}
		// 66 requests need 11 replicas, 14 with headroom: 14 regular and 7 spot ones.
		if regular, spot := p.kind(false), p.kind(true); regular < 11 || regular > 17 || spot < 3 || spot > 10 {
			t.Errorf("seed %d: %d regular and %d spot replicas", n, regular, spot)
		}
	}
}

// Guards against counting the first replicas as not ordered, so that the first order would
// take them away.
func TestStartsFromWhatRuns(t *testing.T) {
	p := newReplay(t, 13, 13, 12)
	p.run(20*time.Second, p.steady(seed(1), 150))
	for _, o := range p.orders {
		if o.Replicas < o.Before || o.Before == 0 && !o.Spot {
			t.Errorf("order %+v", o)
		}
	}
	if p.ready() < 38 {
		t.Errorf("%d replicas run, want the 38 of the start", p.ready())
	}
}

// Guards against lost capacity while all spot replicas of a failure domain are reclaimed
// with 2 s notice and none are to be had, there or anywhere.
func TestReclaimWhileNoneAreAvailable(t *testing.T) {
	for _, anywhere := range []bool{false, true} {
		p := newReplay(t, 13, 13, 12)
		load := p.training(seed(3))
		p.run(2*time.Minute, load)
		late := p.late
		for _, pool := range p.allPools() {
			p.unavailable[pool] = anywhere || pool.Domain == "b"
		}
		lost := p.reclaim("b", 2*time.Second)
		if lost == 0 {
			t.Fatal("no spot replicas to reclaim")
		}
		need := p.observation().replicasFor(p.state.peakSince(p.now - peakWindow))
		before := len(p.orders)
		p.run(10*time.Second, load)
		if p.reclaimed != lost {
			t.Errorf("anywhere %t: %d reclaimed replicas counted, want %d", anywhere, p.reclaimed, lost)
		}
		if p.kind(false) < need {
			t.Errorf("anywhere %t: %d regular replicas, want the %d that the demand needs", anywhere, p.kind(false), need)
		}
		p.run(50*time.Second, load)
		if p.late > late {
			t.Errorf("anywhere %t: %d rollouts are late", anywhere, p.late-late)
		}
		// Six pools, each retried after 5 s and then each 10 s.
		t.Logf("anywhere %t: %d replicas reclaimed, %d orders in the minute after, %d late", anywhere, lost, len(p.orders)-before, p.late-late)
		if n := len(p.orders) - before; n > 40 {
			t.Errorf("anywhere %t: %d orders in a minute without available replicas, want at most 40", anywhere, n)
		}
		clear(p.unavailable)
		p.run(40*time.Second, load)
		if p.afterLoss() < need-need/10 {
			t.Errorf("anywhere %t: %d replicas after the loss of a failure domain once some are available, want about %d", anywhere, p.afterLoss(), need)
		}
	}
}

// Guards against a replacement that waits for the end of the reclaimed replicas.
func TestReclaimedReplicasAreReplacedAtOnce(t *testing.T) {
	p := newReplay(t, 13, 13, 12)
	load := p.training(seed(1))
	p.run(3*time.Minute, load)
	orders := len(p.orders)
	if p.reclaim("a", 2*time.Second) == 0 {
		t.Fatal("no spot replicas to reclaim")
	}
	p.step(true)
	if len(p.orders) == orders {
		t.Fatal("no order at the announcement")
	}
	for _, o := range p.orders[orders:] {
		if o.Pool == (Pool{Domain: "a", Spot: true}) || o.Replicas <= o.Before {
			t.Errorf("order %+v, want more in other pools", o)
		}
	}
}

// Guards against a refused pool that is asked again within 5 s, and against a need that
// stays unmet although other pools have replicas.
func TestOtherPoolsReplaceARefusedOne(t *testing.T) {
	p := newReplay(t, 2, 2, 2)
	refused := Pool{Domain: "a"}
	p.unavailable[refused] = true
	p.run(4500*time.Millisecond, p.steady(seed(1), 150))
	asked := 0
	for _, o := range p.orders {
		if o.Pool == refused {
			asked++
		}
	}
	if asked != 1 {
		t.Errorf("the refused pool was asked %d times within 5 s, want once", asked)
	}
	p.run(10*time.Second, p.steady(seed(1), 150))
	if p.kind(false) < 25 {
		t.Errorf("%d regular replicas, want the 25 that the demand needs", p.kind(false))
	}
}

// Guards against replicas that are ordered and given back in turn while the demand jumps
// between two levels.
func TestDemandJumpsBetweenTwoLevels(t *testing.T) {
	for _, period := range []time.Duration{10 * time.Second, 40 * time.Second, 2 * time.Minute} {
		p := newReplay(t, 13, 13, 12)
		low, high := p.steady(seed(1), 40), p.steady(seed(2), 320)
		p.run(30*time.Minute, func(at time.Duration) {
			if at/(period/2)%2 == 0 {
				high(at)
			} else {
				low(at)
			}
		})
		if p.returnedEarly > 0 {
			t.Errorf("period %s: %d replicas were given back within a minute", period, p.returnedEarly)
		}
		t.Logf("period %s: %d orders, %d of them decreases, %d replicas given back within a minute", period, len(p.orders), p.count(NeedLess), p.returnedEarly)
		// The hold outlasts the low level once the first decreases were regretted.
		if n := p.count(NeedLess); n > 10 {
			t.Errorf("period %s: %d decreases in half an hour, want at most 10", period, n)
		}
	}
}

// Guards against lost replicas after an order that is executed after a newer one.
func TestOrderIsExecutedLate(t *testing.T) {
	p := newReplay(t, 4, 4, 4)
	// The first order of regular replicas in "a" gets no answer and is executed after 25 s.
	var late *PlannedOrder
	p.handle = func(o PlannedOrder) (time.Duration, bool) {
		if late == nil && o.Pool == (Pool{Domain: "a"}) {
			late = &o
			return 25 * time.Second, false
		}
		return callTime, true
	}
	p.run(5*time.Second, p.steady(seed(1), 100))
	if late == nil {
		t.Fatal("no order in a")
	}
	p.run(19*time.Second, p.steady(seed(1), 200))
	want := p.state.pool(late.Pool).Target
	if want <= late.Replicas || p.running[late.Pool] != want {
		t.Fatalf("%d replicas run and %d are ordered before the late order of %d, which must be lower", p.running[late.Pool], want, late.Replicas)
	}
	p.run(2*time.Second, p.steady(seed(1), 200))
	if p.running[late.Pool] != late.Replicas {
		t.Fatalf("%d replicas run after the late order, want %d", p.running[late.Pool], late.Replicas)
	}
	// boot_s plus 4 s until it is repeated, and boot_s until they serve.
	p.run(2*p.limits.BootTime+settleTime+2*time.Second, p.steady(seed(1), 200))
	if p.running[late.Pool] != want || p.count(Different) != 1 {
		t.Errorf("%d replicas run after %d repeated orders, want %d after one", p.running[late.Pool], p.count(Different), want)
	}
}

// Guards against an order that is lost with its holder, and against a new holder that
// takes what the old one ordered for what runs.
func TestTakeoverWithOrdersInFlight(t *testing.T) {
	p := newReplay(t, 4, 4, 4)
	load := p.steady(seed(1), 150)
	// Nothing of what the first holder sends arrives.
	p.handle = func(PlannedOrder) (time.Duration, bool) { return time.Hour, false }
	p.run(planStep*2, load)
	if len(p.orders) == 0 {
		t.Fatal("no orders")
	}
	first, stored := p.orders, p.stored()
	for range 16 {
		load(p.now)
		p.step(false)
	}
	p.handle = nil
	p.takeOver(stored)
	p.orders = nil
	load(p.now)
	p.step(true)
	again := map[Pool]int{}
	for _, o := range p.orders {
		again[o.Pool] = o.Replicas
	}
	for _, o := range first {
		if again[o.Pool] != o.Replicas {
			t.Errorf("the new holder orders %d in %s, want %d as the old one", again[o.Pool], o.Pool, o.Replicas)
		}
	}
	p.run(10*time.Second, load)
	if p.kind(false) < 25 {
		t.Errorf("%d regular replicas after the takeover, want 25", p.kind(false))
	}
	if n := p.count(NeedLess); n > 0 {
		t.Errorf("%d decreases after a takeover", n)
	}
}

// Guards against a replacement for a replica that crashed and comes back by itself.
func TestCrashedReplicaIsNotReplacedAtOnce(t *testing.T) {
	p := newReplay(t, 13, 13, 12)
	load := p.steady(seed(1), 150)
	p.run(3*time.Minute, load)
	orders := len(p.orders)
	pool := Pool{Domain: "a"}
	p.running[pool]--
	p.run(7*time.Second, load)
	p.running[pool]++
	p.run(10*time.Second, load)
	if n := len(p.orders) - orders; n > 0 {
		t.Errorf("%d orders for a replica that was missing for 7 s: %+v", n, p.orders[orders:])
	}
}

// Guards against orders that stop when the control API gives no answers for a while, and
// against a flood of them.
func TestControlAPIDoesNotAnswer(t *testing.T) {
	p := newReplay(t, 4, 4, 4)
	load := p.steady(seed(1), 150)
	p.handle = func(PlannedOrder) (time.Duration, bool) { return time.Hour, false }
	p.run(20*time.Second, load)
	if n := len(p.orders); n > 48 {
		t.Errorf("%d orders in 20 s without an answer, want at most 48", n)
	}
	p.handle = nil
	p.run(maxRetryWait+p.limits.BootTime+2*time.Second, load)
	if p.kind(false) < 25 {
		t.Errorf("%d regular replicas after the control API came back, want 25", p.kind(false))
	}
}

// Guards against times of a lost store clock, which would block orders for hours.
func TestStoreClockStartsAgain(t *testing.T) {
	p := newReplay(t, 4, 4, 4)
	p.run(time.Minute, p.steady(seed(1), 100))
	p.now = time.Minute
	for pool := range p.booting {
		p.booting[pool] = nil
	}
	p.work = nil
	p.run(20*time.Second, p.steady(seed(1), 200))
	if p.kind(false) < 33 {
		t.Errorf("%d regular replicas after the clock of the store started again, want 34", p.kind(false))
	}
}

// Guards against a state that outgrows a row of the store, 64 KiB for all services.
func TestStateIsSmall(t *testing.T) {
	p := newReplay(t, 13, 13, 12)
	p.run(10*time.Minute, p.training(seed(1)))
	value, err := json.Marshal(p.state)
	if err != nil || len(value) > 4<<10 {
		t.Errorf("the state of a service has %d bytes, %v", len(value), err)
	}
}

// Guards against a failure domain that is lost for good: what does not come back is ordered
// in the others, and no order takes away what is left.
func TestLostFailureDomainIsReplaced(t *testing.T) {
	p := newReplay(t, 13, 13, 12)
	load := p.training(seed(4))
	p.run(2*time.Minute, load)
	for _, pool := range p.allPools() {
		if pool.Domain == "c" {
			p.running[pool] = 0
			p.unavailable[pool] = true
		}
	}
	late := p.late
	p.run(time.Minute, load)
	if p.late > late {
		t.Errorf("%d rollouts are late after the loss of a failure domain", p.late-late)
	}
	if n := p.ready(); n < 2*p.limits.Max {
		t.Errorf("%d replicas run in the other two failure domains, want %d", n, 2*p.limits.Max)
	}
	if n := p.count(NeedLess); n > 0 {
		t.Errorf("%d decreases", n)
	}
}

// Guards against orders that break the operator's limits, that take away what the present
// demand needs, or that never end, whatever the control API does.
func TestOrdersUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := newReplay(t, rapid.IntRange(0, 26).Draw(r, "a"), rapid.IntRange(0, 26).Draw(r, "b"), rapid.IntRange(0, 26).Draw(r, "c"))
		p.fail = r.Errorf
		demand := 0
		load := func(time.Duration) {
			for p.demand() < demand {
				p.queue = append(p.queue, workItem{took: planStep, due: p.now + time.Hour})
			}
		}
		random := seed(rapid.Uint64().Draw(r, "seed"))
		p.handle = func(PlannedOrder) (time.Duration, bool) {
			if random.IntN(5) == 0 {
				// A call ends without an answer after a second.
				return time.Second + time.Duration(random.IntN(20))*time.Second, false
			}
			return callTime, true
		}
		for range rapid.IntRange(1, 12).Draw(r, "phases") {
			demand = rapid.IntRange(0, 500).Draw(r, "demand")
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0:
				p.reclaim(rapid.SampledFrom(p.limits.Domains()).Draw(r, "reclaimed"), 2*time.Second)
			case 1:
				p.unavailable[rapid.SampledFrom(p.allPools()).Draw(r, "unavailable")] = true
			case 2:
				clear(p.unavailable)
			case 3:
				p.takeOver(p.stored())
			}
			p.run(time.Duration(rapid.IntRange(1, 90).Draw(r, "seconds"))*time.Second, load)
		}
		// Without further faults the orders end.
		clear(p.unavailable)
		p.handle = nil
		demand = rapid.IntRange(0, 300).Draw(r, "last demand")
		p.run(8*time.Minute, load)
		orders := len(p.orders)
		p.run(time.Minute, load)
		if n := len(p.orders) - orders; n > 2 {
			r.Errorf("%d orders in a minute without a change: %+v", n, p.orders[orders:])
		}
		need := p.observation().replicasFor(p.state.peakSince(p.now - peakWindow))
		if p.kind(false) < min(need, 3*p.limits.Max) || p.kind(false) > 3*p.limits.Min+need+need {
			r.Errorf("%d regular replicas for a need of %d", p.kind(false), need)
		}
	})
}
