package routing

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// poolLimits are the limits of the deployment document that apply to a pool.
type poolLimits struct {
	// maxConcurrent is the upper bound of the adaptive limit of each replica. It
	// also stands for a replica's slots until the replica reports them.
	maxConcurrent int
	// queueLimit is the largest number of waiting requests of one class.
	queueLimit int
	// subsetSize is the number of replicas that one host uses; zero means all.
	subsetSize int
}

// limitsOf returns the limits of a pool, and false if the document has no such pool.
func limitsOf(doc *deployment.Document, pool string) (poolLimits, bool) {
	if doc == nil {
		return poolLimits{}, false
	}
	b := poolLimits{queueLimit: doc.Deployment.QueueLimit, subsetSize: doc.Deployment.SubsetSize}
	if e, ok := doc.EnginePools[pool]; ok {
		b.maxConcurrent = e.MaxConcurrent
		return b, true
	}
	s, ok := doc.Services[pool]
	b.maxConcurrent = s.MaxConcurrent
	return b, ok
}

// pool is the routing state of one service or engine pool.
type pool struct {
	name string
	host settings.Host

	mu       sync.Mutex
	profile  profile
	limits   poolLimits
	replicas map[string]*replica
	// upstreams is the membership list from which replicas was last built.
	upstreams []membership.Upstream
	// byPreference holds the replicas in this host's order of preference; see preferenceOrder.
	byPreference []*replica
	queue        *queue
	waitLimit    waitLimit
	closed       bool      // whether the pool has left the deployment document
	lastUsed     time.Time // when a request last asked for a reservation; at first, when the pool was created
}

func newPool(name string, host settings.Host) *pool {
	return &pool{
		name: name, host: host, profile: newProfile(host, 0), replicas: make(map[string]*replica),
		queue: newQueue(), lastUsed: time.Now(),
	}
}

// refresh applies the current membership and limits and samples the requests in
// flight. It then sheds and dispatches waiters.
func (p *pool) refresh(upstreams []membership.Upstream, b poolLimits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.update(upstreams, b)
	for _, r := range p.byPreference {
		r.estimate.record(r.view.InFlight(), now)
	}
	p.shed(now)
	p.dispatch(now)
}

// update rebuilds the replicas if the membership or the limits have changed. A
// replica with the same address and incarnation as before keeps its record. The
// caller holds mu.
func (p *pool) update(upstreams []membership.Upstream, b poolLimits) {
	if b == p.limits && slices.Equal(upstreams, p.upstreams) {
		return
	}
	if b.subsetSize != p.limits.subsetSize {
		p.profile = newProfile(p.host, b.subsetSize)
	}
	p.limits = b
	p.upstreams = upstreams
	next := make(map[string]*replica, len(upstreams))
	p.byPreference = p.byPreference[:0]
	for _, u := range preferenceOrder(p.host.ID, p.host.FailureDomain, upstreams) {
		r, ok := p.replicas[u.ID]
		if !ok || r.view.Incarnation != u.Incarnation || r.view.Address != u.Address {
			r = newReplica(u, b.maxConcurrent)
		}
		r.view.Upstream = u
		r.limit.SetCeiling(b.maxConcurrent)
		next[u.ID] = r
		p.byPreference = append(p.byPreference, r)
	}
	p.replicas = next
}

// reserve returns a reservation if a replica has free capacity and no request is
// before this one: of its class, or for a rollout an interactive one. Otherwise it
// queues the request and returns its waiter, or an error if the queue is full. If
// no request is before this one and no replica is eligible, it returns an error.
func (p *pool) reserve(ctx context.Context, req *Request) (*reservation, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, noPoolError(p.name)
	}
	now := time.Now()
	p.lastUsed = now
	waiting := p.queue.class(req.Class)
	if waiting.Len() == 0 && (req.Class == deployment.ClassInteractive || p.queue.interactive.Len() == 0) {
		r, live := p.pick(req, now)
		if !live {
			return nil, nil, failure.New(failure.NoUpstream, failure.NotRun, "pool %s has no live replica", p.name)
		}
		if r != nil {
			return p.acquire(r, req, now), nil, nil
		}
	}
	if waiting.Len() >= p.limits.queueLimit {
		return nil, nil, p.queueFullError(req.Class)
	}
	w := &waiter{ctx: ctx, req: req, enqueuedAt: now, granted: make(chan *reservation, 1)}
	waiting.add(w)
	return nil, w, nil
}

// queueFullError returns the error for a request that may not wait. The caller holds mu.
func (p *pool) queueFullError(class deployment.Class) error {
	return failure.New(failure.QueueFull, failure.NotRun, "queue of pool %s is full", p.name).
		WithRetryAfter(p.waitLimit.forClass(class, p.rolloutsInFlight()))
}

// rolloutsInFlight reports whether this host has rollouts in flight in the pool.
// The capacity that they free goes to interactive waiters next. The caller holds mu.
func (p *pool) rolloutsInFlight() bool {
	return slices.ContainsFunc(p.byPreference, func(r *replica) bool { return r.view.Rollout > 0 })
}

// close refuses the waiters of a pool that has left the document, and those to come.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, class := range []*fairQueue{p.queue.interactive, p.queue.rollout} {
		for w := class.peek(); w != nil; w = class.peek() {
			class.remove(w)
			w.granted <- nil
		}
	}
}

// refusal returns the error for a waiter that was removed without a reservation.
func (p *pool) refusal(class deployment.Class) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return noPoolError(p.name)
	}
	return p.queueFullError(class)
}

// pick returns the best replica with free capacity, or nil if none has any.
// The second result is false if no replica is eligible. The caller holds mu.
func (p *pool) pick(req *Request, now time.Time) (*replica, bool) {
	candidates := make([]*Candidate, 0, len(p.byPreference))
	for _, r := range p.byPreference {
		candidates = append(candidates, r.candidate(req, p.limits.maxConcurrent, now))
	}
	chosen, live := p.profile.choose(req, candidates)
	if chosen == nil {
		return nil, live
	}
	return p.replicas[chosen.ID], true
}

// dispatch assigns free capacity to waiters. A waiter that cannot be placed,
// for example because it avoids the free replicas, does not block the other
// class. The caller holds mu.
func (p *pool) dispatch(now time.Time) {
	for p.dispatchOne(now) {
		p.queue.dispatched++
	}
}

// dispatchOne removes one waiter that is assigned a replica or whose context
// has ended. It reports false if there is none.
func (p *pool) dispatchOne(now time.Time) bool {
	for _, class := range p.queue.order() {
		w := class.peek()
		if w == nil {
			continue
		}
		if w.ctx.Err() != nil {
			class.remove(w)
			w.granted <- nil
			return true
		}
		if r, _ := p.pick(w.req, now); r != nil {
			class.serve(w)
			w.granted <- p.acquire(r, w.req, now)
			return true
		}
	}
	return false
}

// shed refuses the waiters of an overloaded queue that have waited longer than
// the wait limit: a queue that never drains adds its delay to every request. It
// goes in queue order and stops at the first waiter within the limit. The caller
// holds mu.
func (p *pool) shed(now time.Time) {
	for _, c := range []deployment.Class{deployment.ClassInteractive, deployment.ClassRollout} {
		class := p.queue.class(c)
		if !class.overloaded(now, overloadWindow) {
			continue
		}
		limit := p.waitLimit.forClass(c, p.rolloutsInFlight())
		for w := class.peek(); w != nil && now.Sub(w.enqueuedAt) > limit; w = class.peek() {
			class.remove(w)
			class.lastShed = now
			w.granted <- nil
		}
	}
}

// cancelWaiter removes a waiter whose context has ended. A reservation that was
// granted to it meanwhile is released.
func (p *pool) cancelWaiter(w *waiter) {
	p.mu.Lock()
	removed := p.queue.class(w.req.Class).remove(w)
	p.mu.Unlock()
	if removed {
		return
	}
	if granted := <-w.granted; granted != nil {
		granted.Done(Cancelled)
	}
}

// acquire reserves capacity on a replica, and on an engine records the request's
// prefix as sent. The caller holds mu.
func (p *pool) acquire(r *replica, req *Request, now time.Time) *reservation {
	r.addInFlight(req.Class, 1)
	if r.isEngine() {
		r.prefixes.recordSent(req.Prefix, now)
	}
	return &reservation{pool: p, replica: r, class: req.Class, upstream: r.view.Upstream, startedAt: now}
}

// release ends a reservation, records the result, and sheds and dispatches waiters.
func (p *pool) release(res *reservation, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	res.replica.addInFlight(res.class, -1)
	res.replica.attemptEnded(result, res.startedAt, now)
	if result == Succeeded {
		p.waitLimit.observe(res.class, now.Sub(res.startedAt))
	}
	p.shed(now)
	p.dispatch(now)
}
