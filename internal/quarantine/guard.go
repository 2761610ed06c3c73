package quarantine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
)

// firstProbeWait is how long a request that broke off waits for the result of the
// probe of its replica before it may be sent to another one.
const firstProbeWait = 25 * time.Millisecond

const (
	// abandonedFor is how long after its caller left a request may have crashed its
	// replica: some replicas run on.
	abandonedFor = 2 * time.Second
	// maxAbandoned bounds the attempts that are remembered for that.
	maxAbandoned = 256
)

// Guard keeps requests that crash the replicas that run them away from replicas. It
// feeds a Ledger with the attempts that broke off. Its methods ignore the zero
// Fingerprint, which stands for a request that is never refused.
type Guard struct {
	ledger *Ledger
	prober *Prober

	mu sync.Mutex
	// abandoned holds the last attempts whose callers left before an answer, oldest first.
	abandoned []attempt
}

// attempt is an attempt at a request that a process may still run.
type attempt struct {
	id          string
	fingerprint Fingerprint
	process     string
	endedAt     time.Time
}

// NewGuard returns a Guard. prober is asked about replicas without an incarnation, so it
// only dials them.
func NewGuard(ledger *Ledger, prober *Prober) *Guard {
	return &Guard{ledger: ledger, prober: prober}
}

// Admit returns an error of kind Quarantined and outcome NotRun if a request is refused.
func (g *Guard) Admit(f Fingerprint) error {
	if f == 0 {
		return nil
	}
	if left, refused := g.ledger.Refused(f); refused {
		return refusal(left)
	}
	return nil
}

// Answered records that a replica answered a request.
func (g *Guard) Answered(f Fingerprint) {
	if f != 0 {
		g.ledger.RecordAnswer(f)
	}
}

// Failed records a failed attempt at a request. If its connection broke, Failed probes
// the replica, and waits up to firstProbeWait to learn whether it has crashed. A crash
// that the probe finds later is recorded then. If the caller left first, a crash that
// any later attempt finds within abandonedFor is recorded for this request, too.
func (g *Guard) Failed(ctx context.Context, id string, f Fingerprint, r fleet.Replica, err error) {
	process := fmt.Sprintf("%s@%d", r.ID, r.Incarnation)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		g.recordAbandoned(process)
		return
	case f == 0:
		return
	case ctx.Err() != nil && failure.As(err).Outcome == failure.Unknown:
		g.abandon(attempt{id: id, fingerprint: f, process: process, endedAt: time.Now()})
		return
	case !ConnectionBroke(err):
		return
	}
	known := make(chan struct{})
	go func() {
		defer close(known)
		if g.prober.Crashed(context.WithoutCancel(ctx), r.Upstream()) {
			g.ledger.RecordCrash(id, f, process)
			g.recordAbandoned(process)
		}
	}()
	timer := time.NewTimer(firstProbeWait)
	defer timer.Stop()
	select {
	case <-known:
	case <-timer.C:
	}
}

// abandon remembers an attempt whose caller left.
func (g *Guard) abandon(a attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandoned = append(g.abandoned, a)
	g.abandoned = g.abandoned[max(0, len(g.abandoned)-maxAbandoned):]
}

// recordAbandoned records the crash of a process for the attempts there whose callers
// left a moment ago.
func (g *Guard) recordAbandoned(process string) {
	g.mu.Lock()
	var charged []attempt
	g.abandoned = slices.DeleteFunc(g.abandoned, func(a attempt) bool {
		recent := time.Since(a.endedAt) <= abandonedFor
		if recent && a.process == process {
			charged = append(charged, a)
		}
		return !recent || a.process == process
	})
	g.mu.Unlock()
	for _, a := range charged {
		g.ledger.RecordCrash(a.id, a.fingerprint, a.process)
	}
}

// ConnectionBroke reports whether an attempt failed because its connection
// broke after a part of the request was sent. A timeout does not count.
func ConnectionBroke(err error) bool {
	e := failure.As(err)
	if e.Outcome == failure.NotRun {
		return false
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return e.Kind == failure.UpstreamFailed || e.Kind == failure.IncompleteAnswer
}
