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
	// demandSmoothing is the weight of the last second in the measured demand, 0 to 1.
	demandSmoothing = 0.5
	// propagationTicks is the number of ticks after which published demand has
	// reached all other hosts.
	propagationTicks = 5
	// minDemand is the demand below which nothing is published, in requests per second.
	minDemand = 0.05
	// demandTTL is how long a published entry is valid.
	demandTTL = 60 * time.Second
	// republishInterval is the age at which unchanged demand is published again.
	republishInterval = 25 * time.Second
	// minRelativeChange is the relative change of a tenant's demand above which it is
	// published before republishInterval.
	minRelativeChange = 0.1
	// fleetPublicationsPerSecond bounds the rate of entries that all hosts together
	// publish because of changes, so that traffic per host does not grow with their
	// number. Publications at republishInterval are not bounded by it.
	fleetPublicationsPerSecond = 20
	// retryAfter is the retry delay suggested to a tenant above its quota.
	retryAfter = time.Second
)

// tenantState is one tenant's state on this host.
type tenantState struct {
	limiter *rate.Limiter
	// arrivals is the number of requests since the last tick.
	arrivals int
	// demand is the smoothed rate of arrivals, in requests per second.
	demand float64
	// published holds the published demand after each of the last ticks, the newest last.
	published [propagationTicks]float64
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

// Admit counts a request of a tenant. It returns a *failure.Error of kind
// QuotaExceeded if the tenant is above this host's share of its quota. A tenant
// with RequestsPerSecond of zero is unlimited.
func (q *Quota) Admit(tenant deployment.Tenant) error {
	q.mu.Lock()
	s, ok := q.tenants[tenant.Name]
	if !ok {
		s = &tenantState{}
		q.tenants[tenant.Name] = s
		q.setShare(s, tenant, 0, q.countHosts())
	}
	s.arrivals++
	limiter := s.limiter
	q.mu.Unlock()
	if limiter.Allow() {
		return nil
	}
	return failure.New(failure.QuotaExceeded, failure.NotRun, "tenant %q is above its quota", tenant.Name).
		WithLimit(fmt.Sprintf("%g requests a second over all hosts", tenant.RequestsPerSecond)).
		WithRetryAfter(retryAfter)
}

// Tick measures the demand of the last second, publishes it if a publication is
// due, and updates the shares.
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
	for name, s := range q.tenants {
		tenant := doc.Tenants[name]
		tenant.Name = name
		q.setShare(s, tenant, others[hashOf(name)], hosts)
	}
}

// measure updates the smoothed demand of each tenant with the arrivals since the
// last tick, and forgets tenants that the document no longer has. It publishes the
// demand if republishInterval has passed, or if the demand has changed enough and
// the fleet's publication rate allows it. The caller holds mu.
func (q *Quota) measure(doc *deployment.Document, now time.Time, hosts hostCount) {
	changed := false
	for name, s := range q.tenants {
		if _, ok := doc.Tenants[name]; !ok {
			delete(q.tenants, name)
			changed = true
			continue
		}
		s.demand += demandSmoothing * (float64(s.arrivals)/tickInterval.Seconds() - s.demand)
		s.arrivals = 0
		if s.demand < minDemand {
			s.demand = 0
		}
		last := s.published[propagationTicks-1]
		copy(s.published[:], s.published[1:])
		changed = changed || math.Abs(s.demand-last) > minRelativeChange*max(last, minDemand)
	}
	age := now.Sub(q.publishedAt)
	interval := time.Duration(hosts.known) * time.Second / fleetPublicationsPerSecond
	if age >= republishInterval || (changed && age >= interval) {
		q.publish(now)
	}
}

func (q *Quota) publish(now time.Time) {
	demands := make([]tenantDemand, 0, len(q.tenants))
	for name, s := range q.tenants {
		s.published[propagationTicks-1] = s.demand
		if s.demand > 0 {
			demands = append(demands, tenantDemand{tenant: hashOf(name), perSecond: s.demand})
		}
	}
	q.publishedAt = now
	q.exchange.Publish(peer.TopicDemand, demandKey, encodeDemand(demands), demandTTL)
}

func (q *Quota) setShare(s *tenantState, tenant deployment.Tenant, others float64, hosts hostCount) {
	limit, burst := rate.Inf, 0
	if tenant.RequestsPerSecond > 0 {
		limit, burst = s.hostLimit(tenant, others, hosts)
	}
	if s.limiter == nil || s.limiter.Limit() == rate.Inf {
		// Replace an unlimited limiter instead of changing it: a new one starts with a
		// full bucket, a changed one with an empty one.
		s.limiter = rate.NewLimiter(limit, burst)
		return
	}
	s.limiter.SetLimit(limit)
	s.limiter.SetBurst(burst)
}

// hostLimit returns this host's share of a tenant's quota as a rate and a burst.
func (s *tenantState) hostLimit(tenant deployment.Tenant, others float64, hosts hostCount) (rate.Limit, int) {
	v := demandView{own: s.propagatedDemand(), total: s.propagatedDemand() + others, live: hosts.live, known: hosts.known}
	part := hostShare(tenant.RequestsPerSecond, v)
	return rate.Limit(part), max(1, int(float64(tenant.Burst)*part/tenant.RequestsPerSecond))
}

// propagatedDemand returns the lowest demand published in the last
// propagationTicks. Every other host has received one of these values, and so counts
// at least as much for this host as this host itself does. This keeps the shares
// within the quota.
func (s *tenantState) propagatedDemand() float64 {
	lowest := s.published[0]
	for _, d := range s.published[1:] {
		lowest = min(lowest, d)
	}
	return lowest
}

// hostCount counts the hosts that share quotas. live counts the alive and suspect
// ones, known also the dead ones; hosts that left count in neither.
type hostCount struct{ live, known int }

func (q *Quota) countHosts() hostCount {
	var count hostCount
	for _, h := range q.exchange.Hosts() {
		switch h.State {
		case peer.StateAlive, peer.StateSuspect:
			count.live++
			count.known++
		case peer.StateDead:
			count.known++
		case peer.StateLeft:
		}
	}
	return count
}
