package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/httpsyntax"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

// Buffer sizes of one connection, in bytes.
const (
	readBufferSize  = 8 << 10
	writeBufferSize = 4 << 10
)

// pastDeadline is a deadline that ends a blocked read or write at once.
var pastDeadline = time.Unix(1, 0)

// conn is one connection to an upstream. Only one exchange uses it at a time.
type conn struct {
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// checker checks what is read. Only the goroutine of the exchange uses it.
	checker httpsyntax.Checker
	// invalid says what was invalid in the exchange's answer; nil if nothing was.
	invalid error
	// progressTimeout bounds each read and each write.
	progressTimeout time.Duration
	address         string
	opened          time.Time
	// idleSince is when the last exchange ended and reuseFor how long after that
	// the connection may be used again. Both belong to the pool.
	idleSince time.Time
	reuseFor  time.Duration

	mu sync.Mutex
	// interrupted is true once the exchange's context has ended.
	interrupted bool
	// sendDeadline is the time before which the exchange's first byte must be
	// sent; zero if there is none.
	sendDeadline pause.Deadline
	// sent and received count the exchange's bytes.
	sent     int64
	received int64
	// maxReceived is the largest number of bytes that may be received; zero sets no
	// limit.
	maxReceived int64
}

func newConn(raw net.Conn, address string, progress time.Duration) *conn {
	c := &conn{raw: raw, address: address, progressTimeout: progress, opened: time.Now()}
	c.reader = bufio.NewReaderSize(connReader{c}, readBufferSize)
	c.writer = bufio.NewWriterSize(connWriter{c}, writeBufferSize)
	return c
}

// begin starts an exchange that is interrupted when ctx ends. noBody is true for
// a HEAD request. The returned function ends the watch on ctx. It reports whether
// ctx had not ended, in which case the connection may be pooled.
func (c *conn) begin(ctx context.Context, noBody bool) func() bool {
	c.checker.Reset(noBody)
	c.invalid = nil
	c.mu.Lock()
	c.interrupted = false
	c.sent, c.received, c.maxReceived = 0, 0, 0
	c.sendDeadline = sendDeadlineOf(ctx)
	c.mu.Unlock()
	return context.AfterFunc(ctx, c.interrupt)
}

// interrupt ends a blocked read or write and makes all later ones fail.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.raw.SetDeadline(pastDeadline)
}

// extendDeadline sets the deadline of the next read or write to progressTimeout
// from now. It fails once the exchange is interrupted.
func (c *conn) extendDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return context.DeadlineExceeded
	}
	return c.raw.SetDeadline(time.Now().Add(c.progressTimeout))
}

// sentBytes returns the number of bytes written in the current exchange.
func (c *conn) sentBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// receivedBytes returns the number of bytes read in the current exchange.
func (c *conn) receivedBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// limitReceived makes reads fail once the exchange has received more than n further
// bytes.
func (c *conn) limitReceived(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxReceived = c.received + n
}

func (c *conn) close() { _ = c.raw.Close() }

type connReader struct{ c *conn }

func (r connReader) Read(p []byte) (int, error) {
	if err := r.c.extendDeadline(); err != nil {
		return 0, err
	}
	n, err := r.c.raw.Read(p)
	r.c.mu.Lock()
	r.c.received += int64(n)
	tooLong := r.c.maxReceived > 0 && r.c.received > r.c.maxReceived
	r.c.mu.Unlock()
	if tooLong {
		return 0, errAnswerTooLong
	}
	if valid, invalid := r.c.checker.Check(p[:n]); invalid != nil {
		r.c.invalid = invalid
		return valid, invalid
	}
	return n, err
}

type connWriter struct{ c *conn }

func (w connWriter) Write(p []byte) (int, error) {
	if !w.c.maySend() {
		return 0, context.DeadlineExceeded
	}
	if err := w.c.extendDeadline(); err != nil {
		return 0, err
	}
	n, err := w.c.raw.Write(p)
	w.c.mu.Lock()
	w.c.sent += int64(n)
	w.c.mu.Unlock()
	return n, err
}
