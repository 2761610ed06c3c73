package intake

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// victimBytes is the least that a request holds which is ended for the benefit of others.
	victimBytes = 64 << 10
	// A body that arrives at less than slowBodyRate bytes a second, and an answer of which a
	// piece waits longer than slowWait, may be ended for the benefit of others.
	slowBodyRate = 256 << 10
	slowWait     = time.Second
	// rearmInterval is how often the deadline of a body is moved while it arrives.
	rearmInterval = 100 * time.Millisecond
	// After a refusal, up to lingerBytes of the request are read for lingerTime, since
	// closing the connection before would destroy the refusal at the client.
	lingerBytes = 512 << 10
	lingerTime  = 500 * time.Millisecond
)

const (
	// maxFraming times the largest body, and framingSlack more, is what a client may send for
	// one body. Chunks of one byte take six bytes each.
	maxFraming   = 8
	framingSlack = 64 << 10
)

// errEvicted ends the reading of a body that made way for other requests.
var errEvicted = errors.New("request ended for the benefit of others")

// phase is what a connection does.
type phase int32

const (
	phaseIdle phase = iota
	phaseHeader
	phaseBody
	// phaseAnswer is from the end of the request to that of its answer.
	phaseAnswer
)

// Conn is a connection of a client. Its deadlines depend on its phase.
type Conn struct {
	net.Conn
	listener *Listener
	address  netip.Addr
	account  Account

	phase atomic.Int32
	// since is when the phase began, and writing when the present write began, zero without
	// one; both in Unix nanoseconds.
	since, writing atomic.Int64
	// moved is the number of bytes read in the phase.
	moved   atomic.Int64
	evicted atomic.Bool
	// refused is set once a request was refused that the client may still be sending.
	refused atomic.Bool
	once    sync.Once

	// The fields below are used by the goroutine that serves the connection.

	// headerTimed is true once the deadline of the header is set.
	headerTimed bool
	// armed is when the deadline of the body was last moved.
	armed time.Time
	// maxMoved is the largest number of bytes that are read for the body.
	maxMoved int64
	// readErr is the error that ended the reading of the body. The HTTP library hides it in
	// some of its own.
	readErr error

	deadlineMu sync.Mutex
	// writeDeadline is the deadline that the server has set for writes, and writeArmed when
	// the deadline of writing was last moved.
	writeDeadline, writeArmed time.Time
}

func (c *Conn) enter(p phase) {
	c.headerTimed, c.armed, c.readErr = false, time.Time{}, nil
	c.phase.Store(int32(p))
	c.since.Store(time.Now().UnixNano())
	c.moved.Store(0)
}

// SyscallConn implements syscall.Conn, by which handlers see that the client has gone.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sys.SyscallConn()
}

// SetReadDeadline sets the deadline of reading. The HTTP library calls it before it waits
// for a request and before it reads the header; the limits of the configuration replace its
// own there.
func (c *Conn) SetReadDeadline(t time.Time) error {
	switch phase(c.phase.Load()) {
	case phaseIdle:
		t = time.Now().Add(c.listener.limits().IdleTimeout)
	case phaseHeader:
		if c.headerTimed {
			// The call after the header.
			break
		}
		c.headerTimed = true
		t = time.Now().Add(c.listener.limits().HeaderTimeout + headerSlack)
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.Conn.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetWriteDeadline sets the deadline of writing, which is in addition to Limits.WriteTimeout.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.writeDeadline, c.writeArmed = t, time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// Read implements net.Conn. While a body arrives it requires minimum progress.
func (c *Conn) Read(p []byte) (int, error) {
	if phase(c.phase.Load()) != phaseBody {
		return c.Conn.Read(p)
	}
	if c.moved.Load() > c.maxMoved {
		c.readErr = fasthttp.ErrBodyTooLarge
		return 0, c.readErr
	}
	if err := c.armBody(); err != nil {
		c.readErr = err
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.moved.Add(int64(n))
	if err != nil && c.evicted.Load() {
		err = errEvicted
	}
	c.readErr = err
	return n, err
}

// armBody moves the deadline of the body.
func (c *Conn) armBody() error {
	now := time.Now()
	if now.Sub(c.armed) < rearmInterval {
		return nil
	}
	c.armed = now
	limits := &c.listener.gate.limits
	arrived := time.Duration(c.moved.Load()) * time.Second / time.Duration(limits.MinBodyRate)
	limit := time.Unix(0, c.since.Load()).Add(bodyGrace + arrived)
	if !now.Before(limit) {
		return os.ErrDeadlineExceeded
	}
	if stall := now.Add(limits.StallTimeout); stall.Before(limit) {
		limit = stall
	}
	if err := c.Conn.SetReadDeadline(limit); err != nil {
		return err
	}
	if c.evicted.Load() {
		return errEvicted
	}
	return nil
}

// Write implements net.Conn. The client must take each piece of writePiece bytes within
// Limits.WriteTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		now := time.Now()
		if err := c.armWrite(now); err != nil {
			return written, err
		}
		c.writing.Store(now.UnixNano())
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		c.writing.Store(0)
		written += n
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.listener.gate.closed("slow_reader")
			}
			return written, err
		}
		if written == len(p) {
			return written, nil
		}
	}
}

// armWrite moves the deadline of writing, unless it was moved within a tenth of it.
func (c *Conn) armWrite(now time.Time) error {
	timeout := c.listener.gate.limits.WriteTimeout
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if now.Sub(c.writeArmed) < timeout/10 {
		return nil
	}
	c.writeArmed = now
	limit := now.Add(timeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(limit) {
		limit = c.writeDeadline
	}
	return c.Conn.SetWriteDeadline(limit)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.account.reset(true)
		if c.refused.Load() && !c.evicted.Load() {
			c.linger()
		}
		c.listener.remove(c)
	})
	return c.Conn.Close()
}

// linger reads and drops what the client still sends of a refused request.
func (c *Conn) linger() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	var buffer [4 << 10]byte
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(buffer[:])
		if err != nil {
			return
		}
		left -= n
	}
}

// slowness returns how much ending the connection would help other requests; zero if it must
// not be ended, because its request runs or it makes progress.
func (c *Conn) slowness(now time.Time) float64 {
	held := c.account.bytes()
	if held < victimBytes {
		return 0
	}
	switch phase(c.phase.Load()) {
	case phaseBody:
		age := now.Sub(time.Unix(0, c.since.Load()))
		if rate := float64(c.moved.Load()) / age.Seconds(); age >= slowWait && rate < slowBodyRate {
			return float64(held) / (rate + 1)
		}
	case phaseAnswer:
		if began := c.writing.Load(); began != 0 && now.UnixNano()-began >= int64(slowWait) {
			return float64(held) / (writePiece / slowWait.Seconds())
		}
	}
	return 0
}

// evict ends the connection for the benefit of other requests. A request whose body arrives is
// refused; an answer is cut off.
func (c *Conn) evict() {
	c.evicted.Store(true)
	if phase(c.phase.Load()) == phaseBody {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Conn.Close()
}

// expendable returns how expendable the connection is if there are too many, higher before
// lower; zero if it must not be closed, because a request runs on it.
func (c *Conn) expendable(now time.Time) time.Duration {
	age := now.Sub(time.Unix(0, c.since.Load()))
	switch phase(c.phase.Load()) {
	case phaseIdle:
		return age + time.Hour
	case phaseHeader:
		return max(0, age-slowWait)
	case phaseBody:
		if age >= slowWait && float64(c.moved.Load())/age.Seconds() < float64(c.listener.gate.limits.MinBodyRate) {
			return age
		}
	}
	return 0
}
