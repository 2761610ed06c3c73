package upstream

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

const (
	// maxIdlePerUpstream bounds the idle connections kept to one upstream.
	maxIdlePerUpstream = 64
	// idleMargin is how long before an upstream closes an idle connection it is not used any more.
	idleMargin = time.Second
)

// DialFunc opens a connection to an ip:port address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// pool keeps the idle connections to the upstreams.
type pool struct {
	dial   DialFunc
	timing settings.Timing

	mu   sync.Mutex
	idle map[string][]*conn
	pace map[string]*pace
}

func newPool(dial DialFunc, timing settings.Timing) *pool {
	return &pool{dial: dial, timing: timing, idle: make(map[string][]*conn), pace: make(map[string]*pace)}
}

// DialTCP is the DialFunc of production.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// open dials a new connection.
func (p *pool) open(ctx context.Context, address string) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.timing.DialTimeout)
	defer cancel()
	raw, err := p.dial(dialCtx, address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, address, p.timing.ProgressTimeout), nil
}

// take removes the idle connection that was used last, or returns nil if there
// is none that may be used again.
func (p *pool) take(address string) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < c.reuseFor && quiet(c.raw) {
			return c
		}
		c.close()
	}
}

// connected reports whether an idle connection to an address may be used again.
func (p *pool) connected(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return false
	}
	newest := conns[len(conns)-1]
	return time.Since(newest.idleSince) < newest.reuseFor
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	c := conns[last]
	conns[last] = nil
	p.idle[address] = conns[:last]
	return c
}

// put returns a connection whose exchange ended cleanly. stated is how long the
// upstream keeps it idle; zero if it did not say.
func (p *pool) put(c *conn, stated time.Duration) {
	c.idleSince = time.Now()
	c.reuseFor = p.timing.IdleReuse
	if stated > 0 {
		c.reuseFor = max(stated-idleMargin, stated/2)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerUpstream {
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// distrust closes the idle connections to an address. Whatever broke one
// exchange may have broken them too, so the next attempt dials.
func (p *pool) distrust(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(conns)
}

// sweep closes the connections that are idle for too long to be used again.
func (p *pool) sweep() {
	var stale []*conn
	p.mu.Lock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if time.Since(c.idleSince) < c.reuseFor {
				kept = append(kept, c)
				continue
			}
			stale = append(stale, c)
		}
		clear(conns[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	maps.DeleteFunc(p.pace, func(_ string, pa *pace) bool { return time.Since(pa.at) > paceTerm })
	p.mu.Unlock()
	closeAll(stale)
}

// run sweeps until ctx ends, then closes all idle connections.
func (p *pool) run(ctx context.Context) error {
	ticker := time.NewTicker(p.timing.IdleReuse)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.sweep()
		case <-ctx.Done():
			p.closeIdle()
			return nil
		}
	}
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	all := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, conns := range all {
		closeAll(conns)
	}
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}
