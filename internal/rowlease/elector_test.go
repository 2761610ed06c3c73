package swap

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
)

const term = 3 * time.Second

// byID ranks hosts "0", "1", ... by their names.
type byID struct{}

func (byID) Rank(_, id string) int { return int(id[0] - '0') }

// candidateHost is one host that competes for the lease.
type candidateHost struct {
	id      string
	rows    *platformtest.RowsClient
	elector *Elector
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func startHost(rows *platformtest.Rows, id, incarnation string) *candidateHost {
	client := rows.Client()
	c := &candidateHost{id: id, rows: client, elector: NewElector(id, incarnation, term, client, byID{}, logr.Discard())}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	follower := follow.New(follow.Config{Table: LeaseTable, AllParts: true, LongPollWait: time.Second}, client, c.elector, logr.Discard())
	c.done.Go(func() { _ = c.elector.Run(ctx) })
	c.done.Go(func() { _ = follower.Run(ctx) })
	return c
}

func (c *candidateHost) stop() {
	c.cancel()
	c.done.Wait()
	c.rows.WaitForDelayedWrites()
}

// watchdog checks that fencing tokens only increase, that no two hosts act under
// the same token, and that a new holder does not act until leaseMargin after the
// previous one.
type watchdog struct {
	t      *testing.T
	fence  uint64
	holder string
	last   time.Time
}

func (w *watchdog) check(hosts []*candidateHost) {
	w.t.Helper()
	for _, h := range hosts {
		fence, _, ok := h.elector.Held()
		if !ok {
			continue
		}
		now := time.Now()
		switch {
		case fence < w.fence:
			w.t.Fatalf("host %s acts under token %d after %d", h.id, fence, w.fence)
		case h.id != w.holder && fence == w.fence:
			w.t.Fatalf("hosts %s and %s act under token %d", h.id, w.holder, fence)
		case h.id != w.holder && w.holder != "" && now.Sub(w.last) < leaseMargin:
			w.t.Fatalf("host %s acts %s after %s", h.id, now.Sub(w.last), w.holder)
		}
		w.fence, w.holder, w.last = fence, h.id, now
	}
}

func TestLeaseUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { leaseUnderFaults(t, seed) })
		})
	}
}

func leaseUnderFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	rows := platformtest.NewRows()
	hosts := make([]*candidateHost, 4)
	for i := range hosts {
		hosts[i] = startHost(rows, fmt.Sprint(i), "first")
	}
	w := &watchdog{t: t}
	held := 0
	for step := range 1200 {
		time.Sleep(50 * time.Millisecond)
		w.check(hosts)
		if time.Since(w.last) < time.Second {
			held++
		}
		if step%20 != 0 {
			continue
		}
		h := hosts[random.IntN(len(hosts))]
		switch random.IntN(6) {
		case 0:
			h.rows.SetDown(true)
		case 1:
			h.rows.LoseAnswers(1 + random.IntN(3))
		case 2:
			h.rows.DelayWrites(1+random.IntN(3), time.Duration(random.IntN(4000))*time.Millisecond)
		case 3:
			h.stop()
			i := int(h.id[0] - '0')
			hosts[i] = startHost(rows, h.id, fmt.Sprint("boot ", step))
		case 4:
			rows.DropHistory()
		default:
			for _, h := range hosts {
				h.rows.SetDown(false)
			}
		}
	}
	for _, h := range hosts {
		h.stop()
	}
	if held < 300 {
		t.Errorf("the lease was held in %d of 1200 steps", held)
	}
}

func TestLeaseIsTakenOverFromUnreachableHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		first := startHost(rows, "0", "a")
		time.Sleep(2 * time.Second)
		hosts := []*candidateHost{first, startHost(rows, "1", "b")}
		time.Sleep(2 * time.Second)
		if _, _, ok := hosts[0].elector.Held(); !ok {
			t.Error("the first host does not hold the lease")
		}
		hosts[0].rows.SetDown(true)
		time.Sleep(term)
		if _, _, ok := hosts[0].elector.Held(); ok {
			t.Error("the first host may act after the end of its term although it could not renew")
		}
		time.Sleep(2 * time.Second)
		if _, _, ok := hosts[1].elector.Held(); !ok {
			t.Error("the second host has not taken the lease")
		}
		for _, h := range hosts {
			h.stop()
		}
	})
}

func TestResignedHolderDoesNotAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := startHost(platformtest.NewRows(), "0", "a")
		time.Sleep(2 * time.Second)
		host.elector.Resign()
		if _, _, ok := host.elector.Held(); ok {
			t.Error("a host that resigned may act")
		}
		host.stop()
	})
}
