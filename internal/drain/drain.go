package drain

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// AcceptMargin is how much longer than the entry answer's time to live a stopping host accepts requests.
const AcceptMargin = time.Second

// Announcer tells the other hosts that this host is stopping.
type Announcer interface {
	SetDraining()
}

// phase is how far the stop has come.
type phase int

const (
	serving phase = iota
	// announced: the host has left the entry answers but still accepts requests.
	announced
	// closed: new requests are refused; those in flight go on.
	closed
)

// Drain counts the requests in flight and runs the stop.
type Drain struct {
	announcer Announcer
	// entryTTL is how long callers may keep an entry answer.
	entryTTL func() time.Duration
	log      logr.Logger
	grace    time.Duration

	mu       sync.Mutex
	phase    phase
	inFlight int
	idle     chan struct{}
}

// New returns a Drain whose stop waits up to grace for requests in flight.
func New(announcer Announcer, entryTTL func() time.Duration, log logr.Logger, grace time.Duration) *Drain {
	return &Drain{announcer: announcer, entryTTL: entryTTL, log: log, grace: grace, idle: make(chan struct{}, 1)}
}

// Begin counts a request in. It returns false once new requests are refused.
func (d *Drain) Begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.phase == closed {
		return false
	}
	d.inFlight++
	return true
}

// End counts a request out; call it when its answer is complete.
func (d *Drain) End() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.inFlight == 0 {
		select {
		case d.idle <- struct{}{}:
		default:
		}
	}
}

// InFlight returns the number of requests in flight.
func (d *Drain) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// Draining reports whether the stop has begun.
func (d *Drain) Draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase != serving
}

// Stop announces the stop, accepts requests while callers may still hold an
// entry answer that names this host, and waits for those in flight. It returns
// how much is left of the time that the stop may take for them.
func (d *Drain) Stop() time.Duration {
	ttl := d.entryTTL()
	d.setPhase(announced)
	d.announcer.SetDraining()
	d.log.Info("host is draining", "accepts_for", ttl+AcceptMargin)
	time.Sleep(ttl + AcceptMargin)
	d.setPhase(closed)
	ctx, cancel := context.WithTimeout(context.Background(), d.grace)
	defer cancel()
	began := time.Now()
	left := d.waitIdle(ctx)
	d.log.Info("host has drained", "requests_cut_off", left)
	return max(d.grace-time.Since(began), 0)
}

func (d *Drain) setPhase(p phase) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.phase = p
}

// waitIdle returns the number of requests still in flight when ctx ended.
func (d *Drain) waitIdle(ctx context.Context) int {
	for d.InFlight() > 0 {
		select {
		case <-d.idle:
		case <-ctx.Done():
			return d.InFlight()
		}
	}
	return 0
}
