package rowlease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
	"github.com/sapphirehatch/sapphirehatch/internal/rowlease"
	"github.com/sapphirehatch/sapphirehatch/internal/rowlease/rowleasetest"
)

// leaseMargin is how long before the end of the term a holder stops acting.
var leaseMargin = rowleasetest.Term - rowlease.ActingTime(rowleasetest.Term)

// watchdog checks that fencing tokens only increase, that no two hosts act under
// the same token, and that a new holder does not act until leaseMargin after the
// previous one.
type watchdog struct {
	t      *testing.T
	fence  uint64
	holder string
	last   time.Time
}

func (w *watchdog) check(hosts []*rowleasetest.Candidate) {
	w.t.Helper()
	for _, h := range hosts {
		fence, _, ok := h.Elector.Held()
		if !ok {
			continue
		}
		now := time.Now()
		switch {
		case fence < w.fence:
			w.t.Fatalf("host %s acts under token %d after %d", h.ID, fence, w.fence)
		case h.ID != w.holder && fence == w.fence:
			w.t.Fatalf("hosts %s and %s act under token %d", h.ID, w.holder, fence)
		case h.ID != w.holder && w.holder != "" && now.Sub(w.last) < leaseMargin:
			w.t.Fatalf("host %s acts %s after %s", h.ID, now.Sub(w.last), w.holder)
		}
		w.fence, w.holder, w.last = fence, h.ID, now
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
	hosts := make([]*rowleasetest.Candidate, 4)
	for i := range hosts {
		hosts[i] = rowleasetest.Start(rows, rowlease.Weights, fmt.Sprint(i), "first")
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
			h.Rows.SetDown(true)
		case 1:
			h.Rows.LoseAnswers(1 + random.IntN(3))
		case 2:
			h.Rows.DelayWrites(1+random.IntN(3), time.Duration(random.IntN(4000))*time.Millisecond)
		case 3:
			h.Stop()
			i := int(h.ID[0] - '0')
			hosts[i] = rowleasetest.Start(rows, rowlease.Weights, h.ID, fmt.Sprint("boot ", step))
		case 4:
			rows.DropHistory()
		default:
			for _, h := range hosts {
				h.Rows.SetDown(false)
			}
		}
	}
	for _, h := range hosts {
		h.Stop()
	}
	if held < 300 {
		t.Errorf("the lease was held in %d of 1200 steps", held)
	}
}

func TestLeaseIsTakenOverFromUnreachableHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		first := rowleasetest.Start(rows, rowlease.Weights, "0", "a")
		time.Sleep(2 * time.Second)
		hosts := []*rowleasetest.Candidate{first, rowleasetest.Start(rows, rowlease.Weights, "1", "b")}
		time.Sleep(2 * time.Second)
		if _, _, ok := hosts[0].Elector.Held(); !ok {
			t.Error("the first host does not hold the lease")
		}
		hosts[0].Rows.SetDown(true)
		time.Sleep(rowleasetest.Term)
		if _, _, ok := hosts[0].Elector.Held(); ok {
			t.Error("the first host may act after the end of its term although it could not renew")
		}
		time.Sleep(2 * time.Second)
		if _, _, ok := hosts[1].Elector.Held(); !ok {
			t.Error("the second host has not taken the lease")
		}
		for _, h := range hosts {
			h.Stop()
		}
	})
}

func TestResignedHolderDoesNotAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := rowleasetest.Start(platformtest.NewRows(), rowlease.Weights, "0", "a")
		time.Sleep(2 * time.Second)
		host.Elector.Resign()
		if _, _, ok := host.Elector.Held(); ok {
			t.Error("a host that resigned may act")
		}
		host.Stop()
	})
}

// A holder whose token was refused as too low must not call with it again. It gets a
// higher one, or the duty would stop until the process ends.
func TestHolderContinuesUnderANewTokenAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		host := rowleasetest.Start(rows, rowlease.Usage, "0", "a")
		time.Sleep(2 * time.Second)
		before, _, ok := host.Elector.Held()
		if !ok {
			t.Fatal("the host does not hold the lease")
		}
		host.Elector.Abandon(before)
		if _, _, ok := host.Elector.Held(); ok {
			t.Error("the host may act under the refused token")
		}
		time.Sleep(2 * time.Second)
		if after, _, ok := host.Elector.Held(); !ok || after <= before {
			t.Errorf("the host holds the lease: %t, token %d after %d", ok, after, before)
		}
		host.Stop()
	})
}

// The token is refused while a renewal is in flight, whose response must not bring the
// token back.
func TestTokenRefusedDuringARenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := rowleasetest.Start(platformtest.NewRows(), rowlease.Usage, "0", "a")
		time.Sleep(2 * time.Second)
		// The next renewal begins within 0.6 s and its response takes 0.9 s.
		host.Rows.SlowWrites(rowlease.Table, 0, 900*time.Millisecond)
		time.Sleep(time.Second)
		refused, _, ok := host.Elector.Held()
		if !ok {
			t.Fatal("the host does not hold the lease")
		}
		host.Elector.Abandon(refused)
		for range 100 {
			if fence, _, ok := host.Elector.Held(); ok && fence <= refused {
				t.Fatalf("the host acts under token %d again", fence)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if _, _, ok := host.Elector.Held(); !ok {
			t.Error("the host does not hold the lease under a new token")
		}
		host.Stop()
	})
}

// An earlier process of the same host may still act, for example because it was not ended
// when the next one was started. The next one must not act meanwhile.
func TestRestartedHostWaitsForItsEarlierProcess(t *testing.T) {
	for _, test := range []struct {
		lease string
		// from and to are the least and the longest wait. The follower of a Candidate polls
		// for a second and more, which adds to the wait.
		from, to time.Duration
	}{
		{rowlease.Usage, rowlease.ActingTime(rowleasetest.Term), rowleasetest.Term * 3 / 2},
		{rowlease.Scaling, rowlease.ActingTime(rowleasetest.Term), rowleasetest.Term * 3 / 2},
		{rowlease.Weights, 0, time.Second},
	} {
		t.Run(test.lease, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := platformtest.NewRows()
				earlier := rowleasetest.Start(rows, test.lease, "0", "a")
				time.Sleep(2 * time.Second)
				if _, _, ok := earlier.Elector.Held(); !ok {
					t.Fatal("the first process does not hold the lease")
				}
				earlier.Rows.SetDown(true)
				next := rowleasetest.Start(rows, test.lease, "0", "b")
				began := time.Now()
				for time.Since(began) < 2*rowleasetest.Term {
					if _, _, ok := next.Elector.Held(); ok {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				_, _, ok := earlier.Elector.Held()
				if after := time.Since(began); after < test.from || after > test.to || ok && test.from > 0 {
					t.Errorf("the next process acts after %s, and the earlier one may act: %t", after, ok)
				}
				earlier.Stop()
				next.Stop()
			})
		})
	}
}

// The row of the lease is deleted. The duty must go on, after a term and under a higher token.
func TestDeletedRow(t *testing.T) {
	for _, number := range []int{1, 3} {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := platformtest.NewRows()
				hosts := make([]*rowleasetest.Candidate, number)
				for i := range hosts {
					hosts[i] = rowleasetest.Start(rows, rowlease.Usage, fmt.Sprint(i), "a")
					defer hosts[i].Stop()
				}
				w := &watchdog{t: t}
				for deletion := range 3 {
					time.Sleep(8 * time.Second)
					w.check(hosts)
					if time.Since(w.last) > 0 {
						t.Fatalf("no host holds the lease after %d deletions", deletion)
					}
					before, deletedAt := w.fence, time.Now()
					rows.Delete(platform.RowID{Table: rowlease.Table, Part: rowlease.Usage, Key: rowlease.Usage})
					for w.fence == before && time.Since(deletedAt) < 12*time.Second {
						time.Sleep(50 * time.Millisecond)
						w.check(hosts)
					}
					if after := time.Since(deletedAt); w.fence != before+1 || after < rowleasetest.Term {
						t.Errorf("token %d after %d, %s after the deletion", w.fence, before, after)
					}
				}
			})
		})
	}
}

// Each lease has its own row, so a host may hold one and not another.
func TestLeasesAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		usage := rowleasetest.Start(rows, rowlease.Usage, "0", "a")
		time.Sleep(time.Second)
		scaling := rowleasetest.Start(rows, rowlease.Scaling, "1", "b")
		time.Sleep(2 * time.Second)
		for _, h := range []*rowleasetest.Candidate{usage, scaling} {
			if _, _, ok := h.Elector.Held(); !ok {
				t.Errorf("host %s does not hold its lease", h.ID)
			}
			h.Stop()
		}
	})
}

// The response to a renewal arrives after the term, because the holder was suspended or
// the store was slow. It must not act then, as another host may have taken over.
func TestHolderSuspendedAtTheResponseToItsRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		first := rowleasetest.Start(rows, rowlease.Usage, "0", "a")
		time.Sleep(2 * time.Second)
		hosts := []*rowleasetest.Candidate{first, rowleasetest.Start(rows, rowlease.Usage, "1", "b")}
		time.Sleep(2 * time.Second)
		first.Rows.SlowWrites(rowlease.Table, 0, 6*time.Second)
		w := &watchdog{t: t}
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			w.check(hosts)
		}
		if w.holder != "1" {
			t.Errorf("host %q holds the lease, want the one that can renew it", w.holder)
		}
		for _, h := range hosts {
			h.Stop()
		}
	})
}

// The same while the feed is suspended, too, so that the holder does not know of a new one.
func TestHolderSuspendedWithItsFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := platformtest.NewRows().Client()
		elector := rowlease.NewElector(rowlease.Usage, "0", "a", rowleasetest.Term, client, nil, logr.Discard())
		elector.Synced(time.Hour, time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- elector.Run(ctx) }()
		time.Sleep(time.Second)
		if _, _, ok := elector.Held(); !ok {
			t.Fatal("the host does not hold the lease")
		}
		client.SlowWrites(rowlease.Table, 0, 6*time.Second)
		time.Sleep(rowleasetest.Term)
		for range 200 {
			if _, _, ok := elector.Held(); ok {
				t.Fatal("the host may act after a response that came after the term")
			}
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// Guards against a holder that takes the lease it yielded again at once, and against a
// lease that nobody holds when there is no other host.
func TestYieldedLeaseIsTakenByAnotherHost(t *testing.T) {
	for _, others := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			rows := platformtest.NewRows()
			first := rowleasetest.Start(rows, rowlease.Scaling, "0", "one")
			defer first.Stop()
			time.Sleep(2 * time.Second)
			var second *rowleasetest.Candidate
			if others {
				second = rowleasetest.Start(rows, rowlease.Scaling, "1", "one")
				defer second.Stop()
				time.Sleep(time.Second)
			}
			fence, _, held := first.Elector.Held()
			if !held {
				t.Fatal("the first host does not hold the lease")
			}
			first.Elector.Yield(fence+1, 10*time.Second)
			if _, _, held := first.Elector.Held(); !held {
				t.Error("the lease was yielded for another token")
			}
			// A renewal is on its way meanwhile.
			first.Rows.SlowWrites(rowlease.Table, 0, 300*time.Millisecond)
			time.Sleep(700 * time.Millisecond)
			first.Elector.Yield(fence, 10*time.Second)
			if _, _, held := first.Elector.Held(); held {
				t.Error("the host acts after it has yielded the lease")
			}
			time.Sleep(9 * time.Second)
			if _, _, held := first.Elector.Held(); held {
				t.Error("the host holds the lease again before the time has passed")
			}
			if others {
				if next, _, held := second.Elector.Held(); !held || next <= fence {
					t.Errorf("the other host holds the lease: %t, under token %d after %d", held, next, fence)
				}
				return
			}
			time.Sleep(2 * time.Second)
			if next, _, held := first.Elector.Held(); !held || next <= fence {
				t.Errorf("the only host holds the lease again: %t, under token %d after %d", held, next, fence)
			}
		})
	}
}
