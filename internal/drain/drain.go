package drain

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// AcceptMargin is how long a draining host accepts requests after the last entry
// answer that names it has expired.
const AcceptMargin = time.Second

// answerTimeout is how long the requests still in flight at the end of the grace period may
// take to be answered.
const answerTimeout = 250 * time.Millisecond

// Announcer tells the other hosts that this host is stopping.
type Announcer interface {
	SetDraining()
}

// phase is the progress of the stop.
type phase int

const (
	phaseServing phase = iota
	// phaseAnnounced means that entry answers no longer name the host, but it still
	// accepts requests.
	phaseAnnounced
	// phaseClosed means that new requests are refused while those in flight continue.
	phaseClosed
)

// Drain counts the requests in flight and stops a host.
type Drain struct {
	announcer Announcer
	// entryTTL returns how long callers may use an entry answer.
	entryTTL func() time.Duration
	log      logr.Logger
	// grace bounds the wait for requests in flight.
	grace time.Duration
	// ctx and end are the context of Context and its cancellation.
	ctx context.Context
	end context.CancelFunc

	mu       sync.Mutex
	phase    phase
	inFlight int
	// idle receives a value when inFlight drops to zero.
	idle chan struct{}
}

// New returns a Drain that waits up to grace for requests in flight.
func New(announcer Announcer, entryTTL func() time.Duration, log logr.Logger, grace time.Duration) *Drain {
	ctx, end := context.WithCancel(context.Background())
	return &Drain{announcer: announcer, entryTTL: entryTTL, log: log, grace: grace, ctx: ctx, end: end, idle: make(chan struct{}, 1)}
}

// Context returns a context that ends with the grace period. A request that is in flight then
// must be answered at once: it would end without an answer with the process.
func (d *Drain) Context() context.Context { return d.ctx }

// Begin counts a request as in flight. It returns false if new requests are
// refused; then the caller must not call End.
func (d *Drain) Begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.phase == phaseClosed {
		return false
	}
	d.inFlight++
	return true
}

// Extend counts a request that Begin counted once more, for an answer that goes on after
// its handler has returned. It also counts while new requests are refused.
func (d *Drain) Extend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight++
}

// End ends one count of Begin or Extend. Call it when the answer is complete.
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
	return d.phase != phaseServing
}

// Stop announces the stop, accepts requests while callers may still use an entry
// answer that names this host, and then waits up to the grace period for requests
// in flight. At its end it ends Context, and waits up to answerTimeout for the answers. It
// returns the rest of the grace period.
func (d *Drain) Stop() time.Duration {
	ttl := d.entryTTL()
	d.setPhase(phaseAnnounced)
	d.announcer.SetDraining()
	d.log.Info("host is draining", "accepts_for", ttl+AcceptMargin)
	time.Sleep(ttl + AcceptMargin)
	d.setPhase(phaseClosed)
	ctx, cancel := context.WithTimeout(context.Background(), d.grace)
	defer cancel()
	began := time.Now()
	ended := d.waitIdle(ctx)
	left := 0
	d.end()
	if ended > 0 {
		answerCtx, stop := context.WithTimeout(context.Background(), answerTimeout)
		defer stop()
		left = d.waitIdle(answerCtx)
	}
	d.log.Info("host has drained", "requests_ended", ended, "requests_cut_off", left)
	return max(d.grace-time.Since(began), 0)
}

func (d *Drain) setPhase(p phase) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.phase = p
}

// waitIdle waits until no request is in flight or ctx ends, and returns the number
// of requests still in flight.
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
