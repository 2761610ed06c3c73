package control

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const readBufferSize = 4096 // bytes

// conn is an accepted connection with fault injection. A goroutine reads from
// the network ahead of the server, which makes a closed connection known while
// the server still executes a request.
type conn struct {
	net.Conn
	listener *listener
	reader   *io.PipeReader
	writer   *io.PipeWriter
	// gone is closed when the connection is closed or broken.
	gone     chan struct{}
	goneOnce sync.Once

	mu     sync.Mutex
	silent bool
	cut    responseCutter
}

// responseCutter closes a connection after part of a response body was sent.
type responseCutter struct {
	armed bool
	// inBody is true once the header of the response was sent.
	inBody bool
	// bodyBytesLeft is the number of body bytes that may still be sent.
	bodyBytesLeft int
}

var endOfHeader = []byte("\r\n\r\n")

func newConn(raw net.Conn, l *listener) *conn {
	c := &conn{Conn: raw, listener: l, gone: make(chan struct{})}
	c.reader, c.writer = io.Pipe()
	go c.readAhead()
	return c
}

// readAhead passes received bytes to the server until the connection ends.
func (c *conn) readAhead() {
	buf := make([]byte, readBufferSize)
	for {
		n, err := c.Conn.Read(buf)
		c.listener.faults.WaitThawed(c.listener.ctx)
		if n > 0 && !c.isSilent() {
			if _, werr := c.writer.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			c.goneOnce.Do(func() { close(c.gone) })
			_ = c.writer.CloseWithError(err)
			if c.isSilent() {
				_ = c.closeConn()
			}
			return
		}
	}
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read implements net.Conn. It returns every error as io.EOF, because the
// server sends an error response after other errors.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	if err != nil {
		err = io.EOF
	}
	return n, err
}

// Write implements net.Conn. On a silent connection it discards p.
func (c *conn) Write(p []byte) (int, error) {
	c.listener.faults.WaitThawed(c.listener.ctx)
	c.mu.Lock()
	silent := c.silent
	keep, cut := c.cut.apply(p)
	c.mu.Unlock()
	if silent {
		return len(p), nil
	}
	if !cut {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:keep])
	_ = c.closeConn()
	if err == nil {
		err = net.ErrClosed
	}
	return n, err
}

// apply returns the number of bytes of p that may be sent, and whether the connection is to be closed after them.
func (a *responseCutter) apply(p []byte) (keep int, cut bool) {
	if !a.armed {
		return len(p), false
	}
	start := 0
	if !a.inBody {
		end := bytes.Index(p, endOfHeader)
		if end < 0 {
			return len(p), false
		}
		a.inBody = true
		start = end + len(endOfHeader)
	}
	if rest := len(p) - start; rest <= a.bodyBytesLeft {
		a.bodyBytesLeft -= rest
		return len(p), false
	}
	return start + a.bodyBytesLeft, true
}

// cutBodyAfter makes Write close the connection after bodyBytes of the next response body.
func (c *conn) cutBodyAfter(bodyBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = responseCutter{armed: true, bodyBytesLeft: bodyBytes}
}

// makeSilent makes the connection discard all further bytes in both directions.
func (c *conn) makeSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// Close implements net.Conn. A silent connection stays open for the client until the client closes it or the stand-in stops.
func (c *conn) Close() error {
	if c.isSilent() && c.listener.ctx.Err() == nil {
		_ = c.reader.Close()
		return nil
	}
	return c.closeConn()
}

// closeConn closes the network connection.
func (c *conn) closeConn() error {
	c.listener.remove(c)
	_ = c.reader.Close()
	c.goneOnce.Do(func() { close(c.gone) })
	return c.Conn.Close()
}

// SetDeadline implements net.Conn. It sets the write deadline only, because
// readAhead must keep reading between requests.
func (c *conn) SetDeadline(t time.Time) error { return c.SetWriteDeadline(t) }

// SetReadDeadline implements net.Conn. It does nothing, for the reason given at SetDeadline.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// listener is a net.Listener whose connections have fault injection.
type listener struct {
	net.Listener
	ctx    context.Context
	faults *Faults
	// reset reports whether a new connection is to be reset.
	reset func() bool

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*conn]struct{}
}

func newListener(ctx context.Context, raw net.Listener, faults *Faults, reset func() bool) *listener {
	return &listener{Listener: raw, ctx: ctx, faults: faults, reset: reset, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.faults.WaitThawed(l.ctx)
		if l.reset() {
			resetConn(raw)
			continue
		}
		c := newConn(raw, l)
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// resetConn closes a TCP connection with a reset (RST).
func resetConn(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = raw.Close()
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

// makeSilent makes all open connections silent.
func (l *listener) makeSilent() {
	for _, c := range l.openConns() {
		c.makeSilent()
	}
}

// closeAll closes all open connections.
func (l *listener) closeAll() {
	for _, c := range l.openConns() {
		_ = c.closeConn()
	}
}
