package quota

import (
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

const (
	// tickInterval is the interval at which demand is measured and shares are set.
	tickInterval = time.Second
	// demandSmoothing is the weight of the newest second in a demand figure, 0 to 1.
	demandSmoothing = 0.5
	// propagationTicks is the number of ticks after which other hosts have learned of a demand figure.
	propagationTicks = 5
	// minDemand is the demand below which nothing is published, in requests a second.
	minDemand = 0.05
	// demandTTL is how long published figures stay in force.
	demandTTL = 60 * time.Second
	// republishInterval is the age at which unchanged figures are published again.
	republishInterval = 25 * time.Second
	// minRelativeChange is the relative change of a figure that is worth publishing.
	minRelativeChange = 0.1
	// fleetPublicationsPerSecond bounds the entries that all hosts together publish, so
	// that the traffic of a host does not grow with their number.
	fleetPublicationsPerSecond = 20
	// retryAfter is the wait suggested to a tenant above its quota.
	retryAfter = time.Second
)

// tenantState is one tenant's state on this host.
type tenantState struct {
	limiter  *rate.Limiter
	arrivals int
	demand   float64
	// recent holds the last published figures, the newest last.
	recent [propagationTicks]float64
}

// Quota admits requests of tenants within this host's share of their quotas.
type Quota struct {
	exchange peer.Exchange
	source   deployment.Source

	mu      sync.Mutex
	tenants map[string]*tenantState
	// publishedAt is when this host's entry was last published.
	publishedAt time.Time
}

// New returns a Quota. Call Tick every second.
func New(exchange peer.Exchange, source deployment.Source) *Quota {
	return &Quota{exchange: exchange, source: source, tenants: make(map[string]*tenantState)}
}

// Admit counts a request of a tenant, and refuses it above this host's share.
func (q *Quota) Admit(tenant deployment.Tenant) error {
	q.mu.Lock()
	b, ok := q.tenants[tenant.Name]
	if !ok {
		b = &tenantState{}
		q.tenants[tenant.Name] = b
		q.setShare(b, tenant, 0, q.countHosts())
	}
	b.arrivals++
	limiter := b.limiter
	q.mu.Unlock()
	if limiter.Allow() {
		return nil
	}
	return failure.New(failure.QuotaExceeded, failure.NotRun, "tenant %q is above its quota", tenant.Name).
		WithLimit(fmt.Sprintf("%g requests a second over all hosts", tenant.RequestsPerSecond)).
		WithRetryAfter(retryAfter)
}

// Tick measures the last second's demand, publishes it and sets the shares.
func (q *Quota) Tick(now time.Time) {
	doc := q.source.Current()
	if doc == nil {
		return
	}
	others := q.otherDemand()
	hosts := q.countHosts()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.measure(doc, now, hosts)
	for name, b := range q.tenants {
		tenant := doc.Tenants[name]
		tenant.Name = name
		q.setShare(b, tenant, others[hashOf(name)], hosts)
	}
}

// measure takes the last second into the figures and publishes them if they have changed.
func (q *Quota) measure(doc *deployment.Document, now time.Time, hosts hostCount) {
	changed := false
	for name, b := range q.tenants {
		if _, ok := doc.Tenants[name]; !ok {
			delete(q.tenants, name)
			changed = true
			continue
		}
		b.demand += demandSmoothing * (float64(b.arrivals)/tickInterval.Seconds() - b.demand)
		b.arrivals = 0
		if b.demand < minDemand {
			b.demand = 0
		}
		last := b.recent[propagationTicks-1]
		copy(b.recent[:], b.recent[1:])
		changed = changed || math.Abs(b.demand-last) > minRelativeChange*max(last, minDemand)
	}
	age := now.Sub(q.publishedAt)
	interval := time.Duration(hosts.known) * time.Second / fleetPublicationsPerSecond
	if age >= republishInterval || (changed && age >= interval) {
		q.publish(now)
	}
}

func (q *Quota) publish(now time.Time) {
	figures := make([]figure, 0, len(q.tenants))
	for name, b := range q.tenants {
		b.recent[propagationTicks-1] = b.demand
		if b.demand > 0 {
			figures = append(figures, figure{tenant: hashOf(name), perSecond: b.demand})
		}
	}
	q.publishedAt = now
	q.exchange.Publish(peer.TopicDemand, demandKey, encodeFigures(figures), demandTTL)
}

func (q *Quota) setShare(b *tenantState, tenant deployment.Tenant, others float64, hosts hostCount) {
	limit, burst := rate.Inf, 0
	if tenant.RequestsPerSecond > 0 {
		limit, burst = b.part(tenant, others, hosts)
	}
	if b.limiter == nil || b.limiter.Limit() == rate.Inf {
		// A new limiter starts with its whole burst; one that was unlimited would start with none.
		b.limiter = rate.NewLimiter(limit, burst)
		return
	}
	b.limiter.SetLimit(limit)
	b.limiter.SetBurst(burst)
}

// part returns this host's part of a tenant's quota.
func (b *tenantState) part(tenant deployment.Tenant, others float64, hosts hostCount) (rate.Limit, int) {
	v := view{own: b.known(), total: b.known() + others, live: hosts.live, known: hosts.known}
	part := share(tenant.RequestsPerSecond, v)
	return rate.Limit(part), max(1, int(float64(tenant.Burst)*part/tenant.RequestsPerSecond))
}

// known returns the demand figure that other hosts have had time to learn of.
func (b *tenantState) known() float64 {
	lowest := b.recent[0]
	for _, d := range b.recent[1:] {
		lowest = min(lowest, d)
	}
	return lowest
}

// hostCount is the number of hosts that share quotas.
type hostCount struct{ live, known int }

func (q *Quota) countHosts() hostCount {
	var count hostCount
	for _, h := range q.exchange.Hosts() {
		switch h.State {
		case peer.Alive, peer.Suspect:
			count.live++
			count.known++
		case peer.Dead:
			count.known++
		case peer.Left:
		}
	}
	return count
}
