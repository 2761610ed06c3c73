package routing

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

const (
	// pollInterval is the time between two polls. Each polls one replica, in
	// turn, so the cost does not grow with the number of replicas.
	pollInterval = 100 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = 300 * time.Millisecond
	// idlePoolTimeout is how long a pool without requests is still polled.
	idlePoolTimeout = time.Minute
	// eventSizeBytes is the approximate size of one cache event on the wire.
	eventSizeBytes = 64
	// eventBytesPerSecond and eventBurstBytes limit the cache events that a host
	// reads. An event that is not read before the engine discards it is lost.
	eventBytesPerSecond = 8 << 10
	eventBurstBytes     = 128 << 10
)

// ReportSource reads load reports and cache events from a replica.
type ReportSource interface {
	// Load reads a replica's load report.
	Load(ctx context.Context, target membership.Upstream) (engineapi.LoadReport, error)
	// CacheEvents reads the prefix cache events after a sequence number.
	CacheEvents(ctx context.Context, target membership.Upstream, after uint64) (engineapi.CacheEvents, error)
}

// Poller reads the load reports and cache events of the replicas that this host uses.
type Poller struct {
	balancer    *Balancer
	source      ReportSource
	eventBudget *rate.Limiter
	next        int // the number of polls so far; selects the next replica
}

// NewPoller returns a Poller that reads from r and updates b.
func NewPoller(b *Balancer, r ReportSource) *Poller {
	return &Poller{balancer: b, source: r, eventBudget: rate.NewLimiter(eventBytesPerSecond, eventBurstBytes)}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.pollNext(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// pollTarget is a replica to be polled.
type pollTarget struct {
	pool    *pool
	replica *replica
	target  membership.Upstream
}

// pollNext polls the replica whose turn it is.
func (p *Poller) pollNext(ctx context.Context) {
	due := p.balancer.pollTargets(time.Now())
	if len(due) == 0 {
		return
	}
	p.next++
	d := due[p.next%len(due)]
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := p.source.Load(callCtx, d.target)
	if err != nil {
		return
	}
	d.pool.loadReported(d.replica, report)
	if d.replica.isEngine() {
		p.pollEvents(callCtx, d)
	}
}

func (p *Poller) pollEvents(ctx context.Context, d pollTarget) {
	now := time.Now()
	if p.eventBudget.TokensAt(now) <= 0 {
		return
	}
	events, err := p.source.CacheEvents(ctx, d.target, d.pool.lastEventSeq(d.replica))
	if err != nil {
		return
	}
	p.eventBudget.ReserveN(now, min(eventBurstBytes, eventSizeBytes*len(events.Events)))
	d.pool.applyCacheEvents(d.replica, events)
}

// pollTargets returns the replicas in this host's subsets of the pools in use,
// without those in failure backoff, whose places the next replicas take.
func (b *Balancer) pollTargets(now time.Time) []pollTarget {
	b.mu.Lock()
	defer b.mu.Unlock()
	due := make([]pollTarget, 0, len(b.pools))
	for _, p := range b.pools {
		due = append(due, p.pollTargets(now)...)
	}
	return due
}

func (p *pool) pollTargets(now time.Time) []pollTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastUsed) > idlePoolTimeout {
		return nil
	}
	var due []pollTarget
	for _, r := range p.byPreference {
		if p.limits.subsetSize > 0 && len(due) == p.limits.subsetSize {
			break
		}
		if now.Before(r.view.RetryAt) {
			continue
		}
		due = append(due, pollTarget{pool: p, replica: r, target: r.view.Upstream})
	}
	return due
}

func (p *pool) loadReported(r *replica, report engineapi.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.loadReported(report, time.Now())
}

func (p *pool) lastEventSeq(r *replica) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return r.prefixes.lastSeq
}

func (p *pool) applyCacheEvents(r *replica, events engineapi.CacheEvents) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.prefixes.apply(events, time.Now())
}
