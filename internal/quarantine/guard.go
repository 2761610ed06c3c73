package quarantine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
)

// firstProbeWait is how long a request that broke off waits for the result of the
// probe of its replica before it may be sent to another one.
const firstProbeWait = 25 * time.Millisecond

// Guard keeps requests that crash the replicas that run them away from replicas. It
// feeds a Ledger with the attempts that broke off. Its methods ignore the zero
// Fingerprint, which stands for a request that is never refused.
type Guard struct {
	ledger *Ledger
	prober *Prober
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
// that the probe finds later is recorded then.
func (g *Guard) Failed(ctx context.Context, id string, f Fingerprint, r fleet.Replica, err error) {
	if f == 0 || !ConnectionBroke(err) {
		return
	}
	known := make(chan struct{})
	go func() {
		defer close(known)
		if g.prober.Crashed(context.WithoutCancel(ctx), r.Upstream()) {
			g.ledger.RecordCrash(id, f, fmt.Sprintf("%s@%d", r.ID, r.Incarnation))
		}
	}()
	timer := time.NewTimer(firstProbeWait)
	defer timer.Stop()
	select {
	case <-known:
	case <-timer.C:
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
