package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// replayNetwork is the time of a message in one direction, and replayDial that of a
	// new connection.
	replayNetwork = time.Millisecond
	replayDial    = 3 * time.Millisecond
	// replayIdle is how long an idle connection is used again, as in package platform.
	replayIdle = 4 * time.Second
	// replaySpell is how long a machine is slow or not, replaySlowShare the share of the
	// machines that are slow at a moment, and replaySlow the factor.
	replaySpell     = 600 * time.Millisecond
	replaySlowShare = 0.15
	replaySlow      = 2.5
	replayDomains   = 3
)

// replay is a deployment of hosts and replicas of a plain service on a virtual clock.
type replay struct {
	hosts, replicas, slots int
	// age is the age of the load in a report when the answer with it is sent.
	age time.Duration
	// owners is the number of hosts that send scoring calls.
	owners int
	// load multiplies the rate of scoring calls.
	load float64
	// customers is the number of customers' calls in a second.
	customers float64
	duration  time.Duration
	seed      uint64
	// noReports leaves out the load reports, and noWorkTime only their work time.
	noReports, noWorkTime bool
	// longSpells makes one machine after another slow for 8 s.
	longSpells bool
	// former uses the estimate from before the averages.
	former bool
	// alwaysSlow makes one machine 3.5 times slower all the time.
	alwaysSlow bool
	// foreign is the number of replicas that have foreignLoad requests of hosts outside of the replay all the time.
	foreign int
	choose  func(s *replayState, h *replayHost) int
}

// replayResult is what a replay measures.
type replayResult struct {
	requests int
	// spread is the largest number of requests of a replica, relative to the mean, and
	// window the 95th percentile over windows of a second with 40 requests or more.
	spread, window float64
	// idle is the share of time in which a replica was idle while another had a queue.
	idle        float64
	mean, p99   time.Duration
	connections int
}

func (r replayResult) String() string {
	return fmt.Sprintf("%d requests, spread %.2f, in a second %.2f, idle beside a queue %.2f%%, mean %s, p99 %s, %d connections",
		r.requests, r.spread, r.window, 100*r.idle, r.mean.Round(time.Millisecond/10), r.p99.Round(time.Millisecond), r.connections)
}

type replayHost struct {
	index    int
	domain   string
	inFlight []int
	idle     [][]time.Time
	observed []Observations
}

type replayReplica struct {
	running, toCome int
	queue           []*replayRequest
	served          int
	perSecond       map[int]int
	// history holds the number of running and waiting requests after each change.
	history []replayLoad
}

type replayLoad struct {
	at       time.Duration
	requests int
}

type replayRequest struct {
	host    *replayHost
	arrived time.Duration
	sent    time.Duration
	work    time.Duration
	replica int
}

type replayEvent struct {
	at    time.Duration
	order int
	do    func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)   { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type replayState struct {
	replay
	now       time.Duration
	events    replayEvents
	order     int
	rng       *rand.Rand
	hostList  []*replayHost
	list      []*replayReplica
	latencies []time.Duration
	// idleSince is when the present state of idle replicas beside queues began; below
	// zero if there is none.
	idleSince, idleTotal time.Duration
	connections          int
}

var replayStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *replayState) clock() time.Time { return replayStart.Add(s.now) }

func (s *replayState) at(t time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, replayEvent{t, s.order, do})
}

// slowness returns how many times longer work takes on a replica's machine.
func (r *replay) slowness(replica int, at time.Duration) float64 {
	if r.alwaysSlow && replica == 5 {
		return 3.5
	}
	if r.longSpells && int(at/(8*time.Second))%r.replicas == replica {
		return replaySlow
	}
	spell := rand.New(rand.NewPCG(r.seed^uint64(replica)<<32, uint64(at/replaySpell)))
	if spell.Float64() < replaySlowShare {
		return replaySlow
	}
	return 1
}

func (r replay) run() replayResult {
	s := &replayState{replay: r, rng: rand.New(rand.NewPCG(r.seed, 1)), idleSince: -1}
	for i := range r.hosts {
		s.hostList = append(s.hostList, &replayHost{
			index: i, domain: fmt.Sprint(i % replayDomains), inFlight: make([]int, r.replicas), idle: make([][]time.Time, r.replicas), observed: make([]Observations, r.replicas),
		})
	}
	for range r.replicas {
		r := &replayReplica{perSecond: map[int]int{}}
		if len(s.list) < s.foreign {
			r.running = foreignLoad
		}
		s.list = append(s.list, r)
		s.record(r)
	}
	// Customers' calls come at random to all hosts.
	s.arrivals(func(time.Duration) float64 { return s.customers }, 25*time.Millisecond, r.hosts)
	// Scoring calls come in bursts of 3 s, with 2 s in between, from the owners of jobs.
	s.arrivals(func(at time.Duration) float64 {
		if at%(5*time.Second) < 3*time.Second {
			return 120 * r.load
		}
		return 10 * r.load
	}, 200*time.Millisecond, r.owners)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(replayEvent)
		s.now = e.at
		e.do()
		s.recordIdle()
	}
	return s.result()
}

// arrivals schedules the requests of one kind, which come to the first hosts of the list.
func (s *replayState) arrivals(perSecond func(time.Duration) float64, work time.Duration, hosts int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(work)))
	for at := time.Duration(0); at < s.duration; {
		at += time.Duration(rng.ExpFloat64() / perSecond(at) * float64(time.Second))
		h := s.hostList[rng.IntN(hosts)]
		request := &replayRequest{host: h, arrived: at, work: time.Duration((0.8 + 0.4*rng.Float64()) * float64(work))}
		s.at(at, func() { s.place(request) })
	}
}

// foreignLoad leaves one of six slots.
const foreignLoad = 5

func (s *replayState) place(q *replayRequest) {
	h := q.host
	i := s.choose(s, h)
	if i < 0 {
		s.at(s.now+5*time.Millisecond, func() { s.place(q) })
		return
	}
	q.replica, q.sent = i, s.now
	h.inFlight[i]++
	r := s.list[i]
	r.toCome++
	delay := replayNetwork
	if h.hasIdle(i, s.clock()) {
		h.idle[i] = h.idle[i][:len(h.idle[i])-1]
	} else {
		s.connections++
		delay += replayDial
	}
	r.served++
	r.perSecond[int(s.now/time.Second)]++
	s.at(s.now+delay, func() {
		r.toCome--
		if r.running < s.slots {
			s.start(q)
		} else {
			r.queue = append(r.queue, q)
		}
		s.record(r)
	})
}

func (h *replayHost) hasIdle(i int, now time.Time) bool {
	all := h.idle[i]
	return len(all) > 0 && now.Sub(all[len(all)-1]) < replayIdle
}

func (s *replayState) start(q *replayRequest) {
	r := s.list[q.replica]
	r.running++
	took := time.Duration(float64(q.work) * s.slowness(q.replica, s.now))
	s.at(s.now+took, func() { s.finish(q) })
}

func (s *replayState) finish(q *replayRequest) {
	r := s.list[q.replica]
	r.running--
	if len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		s.start(next)
	}
	s.record(r)
	reported := r.loadAt(s.now - s.age)
	workTime := 100 * s.slowness(q.replica, max(0, s.now-s.age))
	s.at(s.now+replayNetwork, func() { s.answer(q, reported, workTime) })
}

func (s *replayState) record(r *replayReplica) {
	r.history = append(r.history, replayLoad{s.now, r.running + len(r.queue)})
}

// loadAt returns the number of running and waiting requests at a moment.
func (r *replayReplica) loadAt(at time.Duration) int {
	for i := len(r.history) - 1; i >= 0; i-- {
		if r.history[i].at <= at {
			return r.history[i].requests
		}
	}
	return 0
}

func (s *replayState) answer(q *replayRequest, reported int, workTime float64) {
	h, i, now := q.host, q.replica, s.clock()
	// As in the fleet, a report counts the request that it comes with.
	if !s.noReports {
		h.observed[i].ObserveLoad(reported, h.inFlight[i], now)
	}
	if !s.noReports && !s.noWorkTime {
		h.observed[i].ObserveWorkTime(workTime/100, now)
	}
	h.inFlight[i]--
	h.observed[i].ObserveLatency(s.now-q.sent, now)
	h.idle[i] = append(h.idle[i], now)
	s.latencies = append(s.latencies, s.now-q.arrived)
}

func (s *replayState) recordIdle() {
	idle, queued := false, false
	for _, r := range s.list {
		idle = idle || r.running == 0 && r.toCome == 0
		queued = queued || len(r.queue) > 0
	}
	switch both := idle && queued; {
	case both && s.idleSince < 0:
		s.idleSince = s.now
	case !both && s.idleSince >= 0:
		s.idleTotal += s.now - s.idleSince
		s.idleSince = -1
	}
}

func (s *replayState) result() replayResult {
	slices.Sort(s.latencies)
	most, windows := 0, []float64{}
	var sum time.Duration
	for _, l := range s.latencies {
		sum += l
	}
	for _, r := range s.list {
		most = max(most, r.served)
	}
	for second := range int(s.duration / time.Second) {
		largest, total := 0, 0
		for _, r := range s.list {
			largest = max(largest, r.perSecond[second])
			total += r.perSecond[second]
		}
		if total >= 40 {
			windows = append(windows, float64(largest*s.replicas)/float64(total))
		}
	}
	slices.Sort(windows)
	n := len(s.latencies)
	return replayResult{
		requests: n, spread: float64(most*s.replicas) / float64(n), window: windows[len(windows)*95/100], idle: s.idleTotal.Seconds() / s.duration.Seconds(),
		mean: sum / time.Duration(n), p99: s.latencies[n*99/100], connections: s.connections,
	}
}

// candidates returns the replicas as the fleet passes them to Choose, in the order of the
// list.
func (s *replayState) candidates(h *replayHost) []Replica {
	now := s.clock()
	medians := h.medians(now)
	all := make([]Replica, len(s.list))
	for i := range s.list {
		e := h.observed[i].Estimate(false, medians, now)
		if s.former {
			e = h.observed[i].formerEstimate(medians, now)
		}
		all[i] = Replica{
			ID: fmt.Sprint(i), Domain: fmt.Sprint(i % replayDomains), Slots: s.slots, InFlight: h.inFlight[i],
			OtherInFlight: e.OtherInFlight, OtherDrift: e.OtherDrift, Slowdown: e.Slowdown, HasIdleConnection: h.hasIdle(i, now),
		}
	}
	return all
}

// chooseBy runs Choose on the candidates in an order.
func (s *replayState) chooseBy(h *replayHost, order []int, change func(*Replica)) int {
	all := s.candidates(h)
	list := make([]Replica, 0, len(all))
	for _, i := range order {
		r := all[i]
		if change != nil {
			change(&r)
		}
		list = append(list, r)
	}
	chosen := Choose(Request{Domain: h.domain, AllowQueue: true}, list, s.clock())
	if chosen < 0 {
		return -1
	}
	return order[chosen]
}

// chooseShuffled is the decision of the fleet, which passes the replicas in random order.
func chooseShuffled(s *replayState, h *replayHost) int {
	return s.chooseBy(h, s.rng.Perm(s.replicas), nil)
}

// choosePerfect knows the load and the speed of all replicas at this moment.
func choosePerfect(s *replayState, _ *replayHost) int {
	best, bestCost := -1, 0.0
	for _, i := range s.rng.Perm(s.replicas) {
		r := s.list[i]
		load := float64(r.running + len(r.queue) + r.toCome)
		cost := s.slowness(i, s.now) * (1 + max(0, load+1-float64(s.slots))/float64(s.slots))
		cost += 0.02 * load
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// formerEstimate is the estimate from before the averages: by the last report and the
// last latencies.
func (o *Observations) formerEstimate(medians Latencies, now time.Time) Estimate {
	copied := *o
	copied.slowness = SlownessFilter{}
	return copied.Estimate(true, medians, now)
}

func (h *replayHost) medians(now time.Time) Latencies {
	all := make([]*Observations, len(h.observed))
	for i := range h.observed {
		all[i] = &h.observed[i]
	}
	return MedianLatencies(all, func(o *Observations) *Observations { return o }, now)
}
