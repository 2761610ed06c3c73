package peer

import (
	"context"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	// maxCallConns is the maximum number of connections kept for calls.
	maxCallConns = 32
	// freshReplyAge is the age of the last reply below which a connection is used without a probe.
	freshReplyAge = time.Second
	// probeTimeout limits the probe of a connection before it is used again.
	probeTimeout = 500 * time.Millisecond
	// keepAliveInterval is the wait before each probe during a long call. Without probes
	// the transport would close the connection as idle.
	keepAliveInterval = connIdleTimeout / 3
)

// callConn is a connection for calls.
type callConn struct {
	Conn
	mu sync.Mutex
	// lastReply is when the last reply was received, or the connection was dialed.
	lastReply time.Time
	// calls is the number of calls in progress.
	calls int
	// retired is true if new calls may not use the connection.
	retired bool
}

// acquire records that a call uses the connection.
func (c *callConn) acquire() *callConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	return c
}

// release records that a call has ended. The last call of a retired connection closes it.
func (c *callConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.closeIfUnused()
}

// retire closes the connection as soon as no call uses it. Calls in progress may
// still receive their replies.
func (c *callConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.closeIfUnused()
}

// closeIfUnused closes the connection if it is retired and no call uses it. The caller holds mu.
func (c *callConn) closeIfUnused() {
	if c.retired && c.calls == 0 {
		c.Close()
	}
}

// idle reports whether no call uses the connection.
func (c *callConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls == 0
}

func (c *callConn) recordReply(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReply = now
}

func (c *callConn) lastReplyAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReply
}

// callPool holds one connection for calls to each host. Links have their own connections.
type callPool struct {
	node  *Node
	mu    sync.Mutex
	conns map[string]*callConn
}

func newCallPool(n *Node) *callPool {
	return &callPool{node: n, conns: make(map[string]*callConn)}
}

// get returns a connection to a host that replied recently, replied to a probe or
// was just dialed. The caller releases it.
func (p *callPool) get(ctx context.Context, hostID, address string) (*callConn, error) {
	if c := p.acquire(hostID); c != nil {
		if time.Since(c.lastReplyAt()) < freshReplyAge || p.probe(ctx, c) {
			return c, nil
		}
		if ctx.Err() == nil {
			p.remove(hostID, c)
		}
		c.release()
	}
	return p.dial(ctx, hostID, address)
}

// keepAlive probes a connection every keepAliveInterval until stop is called.
func (p *callPool) keepAlive(ctx context.Context, c *callConn) (stop func()) {
	ctx, stop = context.WithCancel(ctx)
	var again func()
	again = func() {
		if ctx.Err() != nil {
			return
		}
		p.probe(ctx, c)
		time.AfterFunc(keepAliveInterval, again)
	}
	timer := time.AfterFunc(keepAliveInterval, again)
	context.AfterFunc(ctx, func() { timer.Stop() })
	return stop
}

// acquire returns the existing connection to a host after counting a call on it, or nil.
func (p *callPool) acquire(hostID string) *callConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[hostID]; c != nil {
		return c.acquire()
	}
	return nil
}

func (p *callPool) probe(ctx context.Context, c *callConn) bool {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, _, err := roundTrip(probeCtx, c, callRequest{Method: methodProbe})
	return err == nil
}

func (p *callPool) dial(ctx context.Context, hostID, address string) (*callConn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.node.opts.Timing.PeerSuspect)
	defer cancel()
	conn, err := p.node.opts.Transport.Dial(dialCtx, address)
	if err != nil {
		return nil, err
	}
	if conn.PeerID() != hostID {
		conn.Close()
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "peer address %s belongs to host %s, not to host %s", address, conn.PeerID(), hostID)
	}
	c := &callConn{Conn: conn, lastReply: time.Now()}
	c.acquire()
	p.put(hostID, c)
	return c, nil
}

// put stores a connection and retires the previous one of the same host. If there
// are then more than maxCallConns, it closes the idle connection to another host whose
// last reply is the oldest. If none is idle, the pool exceeds the limit.
func (p *callPool) put(hostID string, c *callConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earlier := p.conns[hostID]; earlier != nil {
		earlier.retire()
	}
	p.conns[hostID] = c
	if len(p.conns) <= maxCallConns {
		return
	}
	evicted := ""
	for id, other := range p.conns {
		if id == hostID || !other.idle() {
			continue
		}
		if evicted == "" || other.lastReplyAt().Before(p.conns[evicted].lastReplyAt()) {
			evicted = id
		}
	}
	if evicted != "" {
		p.conns[evicted].Close()
		delete(p.conns, evicted)
	}
}

// remove retires a connection that may be broken, and takes it out of the pool.
func (p *callPool) remove(hostID string, c *callConn) {
	c.retire()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[hostID] == c {
		delete(p.conns, hostID)
	}
}
