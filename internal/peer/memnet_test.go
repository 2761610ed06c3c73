package peer

import (
	"context"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// memNet connects in-memory transports. It can block pairs of hosts; bytes sent
// meanwhile arrive when the fault ends, as over a retransmitting transport.
type memNet struct {
	mu         sync.Mutex
	transports map[string]*memTransport
	// blocked reports whether the hosts a and b can't reach each other.
	blocked func(a, b string) bool
	// changed is closed when blocked is replaced.
	changed chan struct{}
	// delay returns the duration of a write.
	delay func() time.Duration
	// bytes is the number of bytes written.
	bytes atomic.Int64
}

func newMemNet() *memNet {
	return &memNet{
		transports: make(map[string]*memTransport),
		blocked:    func(string, string) bool { return false },
		changed:    make(chan struct{}),
		delay:      func() time.Duration { return time.Millisecond },
	}
}

// fault sets which pairs of hosts can't reach each other.
func (m *memNet) fault(blocked func(a, b string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked = blocked
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memNet) state(a, b string) (bool, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.blocked(a, b) || m.blocked(b, a), m.changed
}

func (m *memNet) listen(id, address string) *memTransport {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &memTransport{net: m, id: id, address: address, conns: make(chan *memConn, 64), done: make(chan struct{})}
	m.transports[address] = t
	return t
}

type memTransport struct {
	net     *memNet
	id      string
	address string
	conns   chan *memConn
	once    sync.Once
	done    chan struct{}
	mu      sync.Mutex
	opened  []*memConn
}

func (t *memTransport) Dial(ctx context.Context, address string) (Conn, error) {
	t.net.mu.Lock()
	other := t.net.transports[address]
	t.net.mu.Unlock()
	for {
		if other == nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		blocked, changed := t.net.state(t.id, other.id)
		if !blocked {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	done := make(chan struct{})
	once := &sync.Once{}
	near := &memConn{net: t.net, self: t.id, peer: other.id, streams: make(chan *memStream, 64), done: done, once: once}
	far := &memConn{net: t.net, self: other.id, peer: t.id, streams: make(chan *memStream, 64), done: done, once: once}
	near.far, far.far = far, near
	t.track(near)
	other.track(far)
	select {
	case other.conns <- far:
		return near, nil
	case <-other.done:
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

func (t *memTransport) track(c *memConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opened = append(t.opened, c)
}

func (t *memTransport) Accept(ctx context.Context) (Conn, error) {
	select {
	case c := <-t.conns:
		return c, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.done:
		return nil, io.ErrClosedPipe
	}
}

func (t *memTransport) Close() error {
	t.once.Do(func() {
		t.net.mu.Lock()
		if t.net.transports[t.address] == t {
			delete(t.net.transports, t.address)
		}
		t.net.mu.Unlock()
		close(t.done)
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, c := range t.opened {
			c.Close()
		}
	})
	return nil
}

type memConn struct {
	net        *memNet
	self, peer string
	far        *memConn
	streams    chan *memStream
	done       chan struct{}
	once       *sync.Once
}

func (c *memConn) PeerID() string        { return c.peer }
func (c *memConn) Done() <-chan struct{} { return c.done }
func (c *memConn) Close()                { c.once.Do(func() { close(c.done) }) }

func (c *memConn) Open(ctx context.Context) (Stream, error) {
	select {
	case <-c.done:
		return nil, io.ErrClosedPipe
	default:
	}
	there, back := newPipe(c), newPipe(c)
	near := &memStream{conn: c, in: back, out: there}
	far := &memStream{conn: c.far, in: there, out: back}
	select {
	case c.far.streams <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *memConn) Accept(ctx context.Context) (Stream, error) {
	select {
	case s := <-c.streams:
		return s, nil
	case <-c.done:
		return nil, io.ErrClosedPipe
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipe is one direction of a stream.
type pipe struct {
	conn    *memConn
	mu      sync.Mutex
	data    []byte
	ended   bool
	aborted bool
	changed chan struct{}
}

func newPipe(c *memConn) *pipe { return &pipe{conn: c, changed: make(chan struct{})} }

func (p *pipe) change(apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	apply()
	close(p.changed)
	p.changed = make(chan struct{})
}

type memStream struct {
	conn     *memConn
	in, out  *pipe
	mu       sync.Mutex
	deadline time.Time
}

func (s *memStream) SetDeadline(t time.Time) error {
	s.mu.Lock()
	s.deadline = t
	s.mu.Unlock()
	s.in.change(func() {})
	return nil
}

func (s *memStream) expiry() (<-chan time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadline.IsZero() {
		return nil, false
	}
	left := time.Until(s.deadline)
	return time.After(left), left <= 0
}

func (s *memStream) Read(p []byte) (int, error) {
	for {
		blocked, netChanged := s.conn.net.state(s.conn.self, s.conn.peer)
		s.in.mu.Lock()
		if s.in.aborted {
			s.in.mu.Unlock()
			return 0, io.ErrClosedPipe
		}
		if !blocked && len(s.in.data) > 0 {
			n := copy(p, s.in.data)
			s.in.data = s.in.data[n:]
			s.in.mu.Unlock()
			return n, nil
		}
		if !blocked && s.in.ended {
			s.in.mu.Unlock()
			return 0, io.EOF
		}
		changed := s.in.changed
		s.in.mu.Unlock()
		expiry, over := s.expiry()
		if over {
			return 0, os.ErrDeadlineExceeded
		}
		select {
		case <-changed:
		case <-netChanged:
		case <-expiry:
		case <-s.conn.done:
			return 0, io.ErrClosedPipe
		}
	}
}

func (s *memStream) Write(p []byte) (int, error) {
	time.Sleep(s.conn.net.delay())
	select {
	case <-s.conn.done:
		return 0, io.ErrClosedPipe
	default:
	}
	s.conn.net.bytes.Add(int64(len(p)))
	aborted := false
	s.out.change(func() {
		aborted = s.out.aborted
		s.out.data = append(s.out.data, p...)
	})
	if aborted {
		return 0, io.ErrClosedPipe
	}
	return len(p), nil
}

func (s *memStream) Close() error {
	s.out.change(func() { s.out.ended = true })
	return nil
}

func (s *memStream) Abort() {
	s.in.change(func() { s.in.aborted = true })
	s.out.change(func() { s.out.aborted = true })
}
