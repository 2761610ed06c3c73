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
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 64
	// keepAliveMargin is subtracted from the Keep-Alive timeout of an upstream, but
	// at most half of that timeout, to avoid using a connection while the upstream
	// closes it.
	keepAliveMargin = time.Second
)

// DialFunc opens a connection to an ip:port address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// pool keeps the idle connections to the upstreams. Its maps are keyed by address.
type pool struct {
	dial   DialFunc
	timing settings.Timing

	mu sync.Mutex
	// idle holds the idle connections, the most recently used last.
	idle    map[string][]*conn
	slowest map[string]*slowestAnswer // sets reuseProgressTimeout
}

func newPool(dial DialFunc, timing settings.Timing) *pool {
	return &pool{dial: dial, timing: timing, idle: make(map[string][]*conn), slowest: make(map[string]*slowestAnswer)}
}

// DialTCP is the DialFunc for TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// dialConn opens a new connection.
func (p *pool) dialConn(ctx context.Context, address string) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.timing.DialTimeout)
	defer cancel()
	raw, err := p.dial(dialCtx, address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, address, p.timing.ProgressTimeout), nil
}

// takeIdle removes and returns the most recently used idle connection, or
// returns nil if there is no usable one.
func (p *pool) takeIdle(address string) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < c.reuseFor && idleAndOpen(c.raw) {
			return c
		}
		c.close()
	}
}

// hasIdle reports whether there is an idle connection to an address that has
// not expired.
func (p *pool) hasIdle(address string) bool {
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

// putIdle adds a connection whose exchange ended cleanly, or closes it if there
// are maxIdlePerUpstream already. keepAlive is how long the upstream keeps an idle
// connection open; zero if unknown, in which case Timing.IdleReuse applies.
func (p *pool) putIdle(c *conn, keepAlive time.Duration) {
	c.idleSince = time.Now()
	c.reuseFor = p.timing.IdleReuse
	if keepAlive > 0 {
		c.reuseFor = max(keepAlive-keepAliveMargin, keepAlive/2)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerUpstream {
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// closeIdleTo closes the idle connections to an address after a failed
// exchange: they may be broken too, so the next attempt must dial.
func (p *pool) closeIdleTo(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(conns)
}

// closeExpired closes the idle connections that have expired and forgets slowest
// answers older than slowestTTL.
func (p *pool) closeExpired() {
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
	maps.DeleteFunc(p.slowest, func(_ string, slowest *slowestAnswer) bool { return time.Since(slowest.at) > slowestTTL })
	p.mu.Unlock()
	closeAll(stale)
}

// run closes expired connections until ctx ends, and then all idle ones.
func (p *pool) run(ctx context.Context) error {
	ticker := time.NewTicker(p.timing.IdleReuse)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.closeExpired()
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
