package routing

import (
	"context"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// refreshInterval is how often the pools apply changes of the membership and of
// the deployment document.
const refreshInterval = 100 * time.Millisecond

// Balancer is the Router of a host. It keeps the routing state of each pool in use.
type Balancer struct {
	view   membership.View
	source deployment.Source
	host   settings.Host

	mu    sync.Mutex
	pools map[string]*pool
}

// NewBalancer returns a Balancer for host, over the replicas in view and with
// the limits of source's document. Call Run to keep it up to date.
func NewBalancer(view membership.View, source deployment.Source, host settings.Host) *Balancer {
	return &Balancer{view: view, source: source, host: host, pools: make(map[string]*pool)}
}

// Reserve implements Router.
func (b *Balancer) Reserve(ctx context.Context, req Request) (Reservation, error) {
	if ctx.Err() != nil {
		return nil, deadlineError(ctx, req.Pool)
	}
	p, err := b.pool(req.Pool)
	if err != nil {
		return nil, err
	}
	granted, w, err := p.reserve(ctx, &req)
	if err != nil {
		return nil, err
	}
	if granted != nil {
		return granted, nil
	}
	select {
	case granted = <-w.granted:
		if granted != nil {
			return granted, nil
		}
		if ctx.Err() != nil {
			return nil, deadlineError(ctx, req.Pool)
		}
		return nil, p.refusal(req.Class)
	case <-ctx.Done():
		p.cancelWaiter(w)
		return nil, deadlineError(ctx, req.Pool)
	}
}

func deadlineError(ctx context.Context, pool string) error {
	return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.NotRun, "no replica of pool %s had free capacity within the deadline", pool)
}

func noPoolError(pool string) error {
	return failure.New(failure.NoUpstream, failure.NotRun, "pool %s is not in the deployment document", pool)
}

// pool returns the state of a pool, creating it at the first request.
func (b *Balancer) pool(name string) (*pool, error) {
	limits, ok := limitsOf(b.source.Current(), name)
	if !ok {
		return nil, noPoolError(name)
	}
	b.mu.Lock()
	p, ok := b.pools[name]
	if !ok {
		p = newPool(name, b.host)
		b.pools[name] = p
	}
	b.mu.Unlock()
	if !ok {
		p.refresh(b.view.Upstreams(name), limits)
	}
	return p, nil
}

// Run refreshes the pools until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.Refresh()
		case <-ctx.Done():
			return nil
		}
	}
}

// Refresh applies changes of the membership and of the document, and drops
// pools that are no longer in the document, whose waiters it refuses.
func (b *Balancer) Refresh() {
	doc := b.source.Current()
	b.mu.Lock()
	pools := make([]*pool, 0, len(b.pools))
	var removed []*pool
	for name, p := range b.pools {
		if _, ok := limitsOf(doc, name); !ok {
			delete(b.pools, name)
			removed = append(removed, p)
			continue
		}
		pools = append(pools, p)
	}
	b.mu.Unlock()
	for _, p := range removed {
		p.close()
	}
	for _, p := range pools {
		limits, _ := limitsOf(doc, p.name)
		p.refresh(b.view.Upstreams(p.name), limits)
	}
}
