package scaling

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/routes"
)

const (
	testSlots = 6
	// planStep is the time between two plans, and callTime the time until an order has an
	// answer.
	planStep = 250 * time.Millisecond
	callTime = 50 * time.Millisecond
	// clockStart is the store clock at the start of a replay.
	clockStart = time.Hour
)

// sentOrder is an order on its way to the platform.
type sentOrder struct {
	PlannedOrder
	at time.Duration
	// lost is true if the answer does not arrive.
	lost bool
}

// replayPlatform simulates the platform of one service: replicas that boot, drain and are
// reclaimed, and a control API. It does not check fencing tokens.
type replayPlatform struct {
	t *testing.T
	// fail reports a violation.
	fail   func(format string, args ...any)
	limits *routes.Scaling
	now    time.Duration
	state  *State
	// running is the number of replicas that serve, desired the ordered number, and booting
	// the times at which further ones serve.
	running, desired map[Pool]int
	booting          map[Pool][]time.Duration
	leaving          map[Pool][]time.Duration
	unavailable      map[Pool]bool
	// answers receives the orders that are executed.
	inFlight []sentOrder
	// handle decides what happens to a sent order; nil executes and answers it after callTime.
	handle func(o PlannedOrder) (execute time.Duration, answered bool)

	// work holds the ends of running work items, and queue the durations of waiting ones
	// with their due times.
	work  []time.Duration
	queue []workItem
	late  int
	done  int

	orders        []PlannedOrder
	refused       int
	returnedEarly int
	reclaimed     int
	cost          float64
	lowest        int
}

type workItem struct {
	took, due time.Duration
}

func newReplay(t *testing.T, regular ...int) *replayPlatform {
	p := &replayPlatform{
		t: t, fail: t.Errorf, now: clockStart, state: &State{}, limits: testLimits(),
		running: map[Pool]int{}, desired: map[Pool]int{}, booting: map[Pool][]time.Duration{}, leaving: map[Pool][]time.Duration{}, unavailable: map[Pool]bool{},
	}
	for i, domain := range p.limits.Domains() {
		if i < len(regular) {
			p.running[Pool{Domain: domain}], p.desired[Pool{Domain: domain}] = regular[i], regular[i]
		}
	}
	return p
}

func testLimits() *routes.Scaling {
	return &routes.Scaling{Min: 1, Max: 26, BootTime: 4 * time.Second, SpotPrice: 0.18, Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}
}

func (p *replayPlatform) allPools() []Pool { return pools(p.limits) }

func (p *replayPlatform) ready() int {
	n := 0
	for _, running := range p.running {
		n += running
	}
	return n
}

func (p *replayPlatform) kind(spot bool) int {
	n := 0
	for pool, running := range p.running {
		if pool.Spot == spot {
			n += running
		}
	}
	return n
}

// demand returns the number of unfinished work items.
func (p *replayPlatform) demand() int { return len(p.work) + len(p.queue) }

func (p *replayPlatform) observation() Observation {
	o := Observation{Demand: p.demand(), Slots: testSlots, Pools: map[Pool]Count{}}
	for _, pool := range p.allPools() {
		c := Count{Ready: p.running[pool], Leaving: len(p.leaving[pool])}
		for _, at := range p.leaving[pool] {
			c.LeavesIn = max(c.LeavesIn, at-p.now)
		}
		o.Pools[pool] = c
	}
	return o
}

// execute carries out an order. It returns false if none are available.
func (p *replayPlatform) execute(o PlannedOrder) bool {
	present := p.running[o.Pool] + len(p.booting[o.Pool])
	if o.Replicas > present && p.unavailable[o.Pool] {
		return false
	}
	p.desired[o.Pool] = o.Replicas
	for ; present < o.Replicas; present++ {
		p.booting[o.Pool] = append(p.booting[o.Pool], p.now+p.limits.BootTime)
	}
	for ; present > o.Replicas && len(p.booting[o.Pool]) > 0; present-- {
		p.booting[o.Pool] = p.booting[o.Pool][1:]
	}
	p.running[o.Pool] -= max(0, present-o.Replicas)
	other := o.Pool
	other.Spot = !o.Spot
	if both := o.Replicas + p.desired[other]; both > p.limits.Max && o.Replicas > o.Before {
		p.fail("%s: %d replicas of both kinds are ordered in %s, at most %d are allowed", p.now-clockStart, both, o.Domain, p.limits.Max)
	}
	return true
}

// reclaim announces the end of all spot replicas of a failure domain.
func (p *replayPlatform) reclaim(domain string, notice time.Duration) int {
	pool := Pool{Domain: domain, Spot: true}
	n := p.running[pool]
	for range n {
		p.leaving[pool] = append(p.leaving[pool], p.now+notice)
	}
	p.running[pool], p.desired[pool], p.booting[pool] = 0, 0, nil
	return n
}

// step moves the time by one plan, with a planner or without.
func (p *replayPlatform) step(plan bool) {
	p.now += planStep
	for pool, booting := range p.booting {
		for len(booting) > 0 && booting[0] <= p.now {
			booting = booting[1:]
			p.running[pool]++
		}
		p.booting[pool] = booting
	}
	for pool, leaving := range p.leaving {
		for len(leaving) > 0 && leaving[0] <= p.now {
			leaving = leaving[1:]
		}
		p.leaving[pool] = leaving
	}
	p.runWork()
	p.deliver()
	for pool, n := range p.running {
		price := p.limits.Prices[pool.Domain]
		if pool.Spot {
			price *= p.limits.SpotPrice
		}
		p.cost += price * float64(n+len(p.booting[pool])) * planStep.Seconds()
	}
	p.lowest = min(p.lowest, p.ready())
	if !plan {
		return
	}
	present := p.observation()
	before := p.ready()
	d := p.state.Plan(p.now, p.limits, present)
	p.returnedEarly += d.ReturnedEarly
	p.reclaimed += d.Reclaimed
	for _, o := range d.Orders {
		p.orders = append(p.orders, o)
		if o.Reason == NeedLess && before-max(0, present.Pools[o.Pool].Ready-o.Replicas) < present.replicasFor(present.Demand) {
			p.fail("%s: the decrease %v leaves less than the present demand of %d needs", p.now-clockStart, o, present.Demand)
		}
		if testing.Verbose() {
			p.t.Logf("%s %s %d -> %d %s demand=%d need=%d", p.now-clockStart, o.Pool, o.Before, o.Replicas, o.Reason, present.Demand, d.Need)
		}
		execute, answered := callTime, true
		if p.handle != nil {
			execute, answered = p.handle(o)
		}
		p.inFlight = append(p.inFlight, sentOrder{PlannedOrder: o, at: p.now + execute, lost: !answered})
		if !answered {
			p.state.Record(o, Unanswered, p.now)
		}
	}
}

// deliver executes the orders that have arrived.
func (p *replayPlatform) deliver() {
	var rest []sentOrder
	for _, o := range p.inFlight {
		if o.at > p.now {
			rest = append(rest, o)
			continue
		}
		executed := p.execute(o.PlannedOrder)
		switch {
		case o.lost:
		case executed:
			p.state.Record(o.PlannedOrder, Accepted, p.now)
		default:
			p.refused++
			p.state.Record(o.PlannedOrder, NoneAvailable, p.now)
		}
	}
	p.inFlight = rest
}

func (p *replayPlatform) runWork() {
	var running []time.Duration
	for _, end := range p.work {
		if end > p.now {
			running = append(running, end)
		}
	}
	p.work = running
	for len(p.queue) > 0 && len(p.work) < p.ready()*testSlots {
		item := p.queue[0]
		p.queue = p.queue[1:]
		p.work = append(p.work, p.now+item.took)
		p.done++
		if p.now+item.took > item.due {
			p.late++
		}
	}
}

// run runs the replay for a time. load is called before each step with the time since the
// start.
func (p *replayPlatform) run(d time.Duration, load func(at time.Duration)) {
	for end := p.now + d; p.now < end; {
		if load != nil {
			load(p.now - clockStart)
		}
		p.step(true)
	}
}

// training returns the load of four trainers that submit 80 to 90 rollouts each 4 s.
func (p *replayPlatform) training(r *rand.Rand) func(time.Duration) {
	return func(at time.Duration) {
		for trainer := range 4 {
			if at%(4*time.Second) != time.Duration(trainer)*time.Second/2 {
				continue
			}
			for range 80 + r.IntN(11) {
				// Most rollouts are short; the longest take 7 s.
				took := 300*time.Millisecond + time.Duration(r.Float64()*r.Float64()*float64(6700*time.Millisecond))
				p.queue = append(p.queue, workItem{took: took, due: p.now + 7500*time.Millisecond})
			}
		}
	}
}

// steady keeps a number of requests in flight, give or take a tenth.
func (p *replayPlatform) steady(r *rand.Rand, inFlight int) func(time.Duration) {
	return func(time.Duration) {
		want := inFlight - inFlight/10 + r.IntN(inFlight/5+1)
		for p.demand() < want {
			p.queue = append(p.queue, workItem{took: planStep, due: p.now + time.Second})
		}
	}
}

func seed(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, 1)) }

// takeOver replaces the planner by one that reads what the old one has stored.
func (p *replayPlatform) takeOver(stored []byte) {
	state := &State{}
	if err := json.Unmarshal(stored, state); err != nil {
		p.t.Fatal(err)
	}
	state.Resume()
	p.state = state
}

func (p *replayPlatform) stored() []byte {
	value, err := json.Marshal(p.state)
	if err != nil {
		p.t.Fatal(err)
	}
	return value
}
