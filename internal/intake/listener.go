package intake

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Listener limits the connections of a listening socket. If there are too many, the one that
// was idle for the longest time makes way for a new one.
type Listener struct {
	net.Listener
	gate *Gate
	name string
	// limits returns the limits of requests in force.
	limits func() RequestLimits
	// limit is the largest number of connections, addressLimit that of one address.
	limit, addressLimit int

	mu        sync.Mutex
	conns     map[*Conn]struct{}
	byAddress map[netip.Addr]int
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, listener: l}
		c.account.gate, c.account.conn = l.gate, c
		if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
			c.address = tcp.AddrPort().Addr()
		}
		c.enter(phaseIdle)
		if l.add(c) {
			return c, nil
		}
		l.gate.closed("connection_limit")
		_ = conn.Close()
	}
}

// add adds a connection. It returns false if there are too many and none makes way.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sameAddress := l.byAddress[c.address] >= l.addressLimit
	if sameAddress || len(l.conns) >= l.limit {
		victim := l.victim(c.address, sameAddress)
		if victim == nil {
			return false
		}
		l.gate.closed("made_way")
		victim.evicted.Store(true)
		_ = victim.Conn.Close()
		l.removeLocked(victim)
	}
	l.conns[c] = struct{}{}
	l.byAddress[c.address]++
	return true
}

// victim returns the most expendable connection, of one address or of all; nil if there is
// none. The caller holds mu.
func (l *Listener) victim(address netip.Addr, sameAddress bool) *Conn {
	var worst *Conn
	var most time.Duration
	now := time.Now()
	for c := range l.conns {
		if sameAddress && c.address != address {
			continue
		}
		if value := c.expendable(now); value > most {
			worst, most = c, value
		}
	}
	return worst
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
}

func (l *Listener) removeLocked(c *Conn) {
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	if l.byAddress[c.address]--; l.byAddress[c.address] <= 0 {
		delete(l.byAddress, c.address)
	}
}

// count returns the number of open connections.
func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// stateChanged follows the state of a connection at the HTTP library.
func stateChanged(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.enter(phaseHeader)
	case fasthttp.StateIdle:
		c.account.reset(false)
		c.enter(phaseIdle)
	}
}
