package quarantine

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
)

var errRefusedDial = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// newTestGuard returns a guard that finds nobody at the addresses in down.
func newTestGuard(t *testing.T, down map[string]bool) *Guard {
	l := startLedger(t, platformtest.NewRows(), "a")
	dial := func(_ context.Context, address string) (net.Conn, error) {
		if down[address] {
			return nil, errRefusedDial
		}
		near, far := net.Pipe()
		_ = far.Close()
		return near, nil
	}
	return NewGuard(l.Ledger, NewProber(dial, nil, nil))
}

func replica(n int) fleet.Replica {
	return fleet.Replica{ID: fmt.Sprintf("r%d", n), Address: fmt.Sprintf("address-%d", n), Incarnation: 1}
}

var errBrokenOff = failure.New(failure.UpstreamFailed, failure.Unknown, "the connection was closed")

func TestGuardTellsCrashesFromResets(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		down bool
		want bool
	}{
		"a crash":                   {errBrokenOff, true, true},
		"a crash within the answer": {failure.New(failure.IncompleteAnswer, failure.Unknown, "cut"), true, true},
		"a reset":                   {errBrokenOff, false, false},
		"a garbled answer":          {failure.New(failure.IncompleteAnswer, failure.Unknown, "garbled"), false, false},
		"a refusal":                 {failure.New(failure.QueueFull, failure.NotRun, "full"), true, false},
		"never sent":                {failure.Wrap(errRefusedDial, failure.UpstreamUnreachable, failure.NotRun, "dial"), true, false},
		"silence":                   {failure.Wrap(os.ErrDeadlineExceeded, failure.UpstreamFailed, failure.Unknown, "silent"), true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				down := map[string]bool{}
				g := newTestGuard(t, down)
				for n := range crashesToRefuse {
					down[replica(n).Address] = test.down
					began := time.Now()
					g.Failed(t.Context(), "x", 7, replica(n), test.err)
					if took := time.Since(began); took > firstProbeWait {
						t.Errorf("the request waited %s", took)
					}
					time.Sleep(maxProbes * probeInterval)
				}
				if err := g.Admit(7); (err != nil) != test.want {
					t.Errorf("refused: %v, want %t", err, test.want)
				}
				if err := g.Admit(0); err != nil {
					t.Errorf("an exempt request is refused: %v", err)
				}
			})
		})
	}
}

// The caller leaves before its request crashes the replica, which runs on. The next
// request finds nobody there, be it at the dial or in the middle of its exchange.
func TestCrashAfterTheCallerLeftIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := map[string]bool{}
		g := newTestGuard(t, down)
		left, cancel := context.WithCancel(t.Context())
		cancel()
		cancelled := failure.Wrap(left.Err(), failure.DeadlineExceeded, failure.Unknown, "the caller left")
		abandon := func(n int) { g.Failed(left, "x", 7, replica(n), cancelled) }
		refusedDial := failure.Wrap(errRefusedDial, failure.UpstreamUnreachable, failure.NotRun, "dial")

		abandon(9)
		time.Sleep(abandonedFor + time.Second)
		g.Failed(t.Context(), "y", 8, replica(9), refusedDial)
		abandon(0)
		g.Failed(t.Context(), "y", 8, replica(0), refusedDial)
		abandon(1)
		down[replica(1).Address] = true
		g.Failed(t.Context(), "y", 8, replica(1), errBrokenOff)
		if g.Admit(7) != nil {
			t.Error("refused after two crashes; the one long after the caller left does not count")
		}
		abandon(2)
		g.Failed(t.Context(), "score", 0, replica(2), refusedDial)
		if g.Admit(7) == nil {
			t.Error("not refused after three crashes")
		}
		for n := range 2 * maxAbandoned {
			abandon(n)
		}
		if len(g.abandoned) > maxAbandoned {
			t.Errorf("%d attempts are remembered", len(g.abandoned))
		}
	})
}
