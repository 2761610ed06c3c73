package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// Buffer sizes of one connection, in bytes.
const (
	readBufferSize  = 8 << 10
	writeBufferSize = 4 << 10
)

// past is a deadline that ends a blocked read or write at once.
var past = time.Unix(1, 0)

// conn is one connection to an upstream. Only one exchange uses it at a time.
type conn struct {
	raw      net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	progress time.Duration
	address  string
	opened   time.Time
	// idleSince is when the last exchange ended and reuseFor how long the
	// connection may be used again; owned by the pool.
	idleSince time.Time
	reuseFor  time.Duration

	mu    sync.Mutex
	ended bool
	// sendBy is when the exchange's first byte must have been sent.
	sendBy   time.Time
	sent     int64
	received int64
}

func newConn(raw net.Conn, address string, progress time.Duration) *conn {
	c := &conn{raw: raw, address: address, progress: progress, opened: time.Now()}
	c.reader = bufio.NewReaderSize(connReader{c}, readBufferSize)
	c.writer = bufio.NewWriterSize(connWriter{c}, writeBufferSize)
	return c
}

// begin starts an exchange that ctx bounds. The returned function ends it and
// reports whether ctx was still alive, so that the connection may be pooled.
func (c *conn) begin(ctx context.Context) func() bool {
	c.mu.Lock()
	c.ended = false
	c.sent, c.received = 0, 0
	c.sendBy = sendLimit(ctx)
	c.mu.Unlock()
	return context.AfterFunc(ctx, c.interrupt)
}

// interrupt ends a blocked read or write and fails all later ones.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	_ = c.raw.SetDeadline(past)
}

// extend sets the deadline of the next read or write.
func (c *conn) extend() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return context.DeadlineExceeded
	}
	return c.raw.SetDeadline(time.Now().Add(c.progress))
}

// sentBytes returns how many bytes of the exchange's request left this process.
func (c *conn) sentBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// receivedBytes returns how many bytes of the exchange's answer arrived.
func (c *conn) receivedBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

func (c *conn) close() { _ = c.raw.Close() }

type connReader struct{ c *conn }

func (r connReader) Read(p []byte) (int, error) {
	if err := r.c.extend(); err != nil {
		return 0, err
	}
	n, err := r.c.raw.Read(p)
	r.c.mu.Lock()
	r.c.received += int64(n)
	r.c.mu.Unlock()
	return n, err
}

type connWriter struct{ c *conn }

func (w connWriter) Write(p []byte) (int, error) {
	if !w.c.mayBegin() {
		return 0, context.DeadlineExceeded
	}
	if err := w.c.extend(); err != nil {
		return 0, err
	}
	n, err := w.c.raw.Write(p)
	w.c.mu.Lock()
	w.c.sent += int64(n)
	w.c.mu.Unlock()
	return n, err
}
