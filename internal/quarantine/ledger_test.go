package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
)

const ledgerTerm = 10 * time.Minute

// ledgerHost is a ledger with its connection to the store.
type ledgerHost struct {
	*Ledger
	client *platformtest.RowsClient
	stop   context.CancelFunc
}

// startLedger runs the ledger of a host.
func startLedger(t *testing.T, store *platformtest.Rows, host string) ledgerHost {
	t.Helper()
	client := store.Client()
	l := NewLedger(host, client, ledgerTerm, logr.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = l.Run(ctx) }()
	go func() {
		_ = follow.New(l.FollowConfig(nil), client, l, logr.Discard()).Run(ctx)
	}()
	time.Sleep(100 * time.Millisecond)
	return ledgerHost{Ledger: l, client: client, stop: cancel}
}

func expectRefused(t *testing.T, what string, f Fingerprint, want bool, hosts ...ledgerHost) {
	t.Helper()
	for i, h := range hosts {
		if _, refused := h.Refused(f); refused != want {
			t.Errorf("%s: host %d refuses: %t, want %t", what, i, refused, want)
		}
	}
}

// Three hosts see one crash each. All refuse the request within a second, also after each
// of them was replaced, until the term has passed.
func TestLedgerOutlivesHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewRows()
		hosts := []ledgerHost{startLedger(t, store, "a"), startLedger(t, store, "b"), startLedger(t, store, "c")}
		for i, h := range hosts {
			expectRefused(t, fmt.Sprintf("after %d crashes", i), 7, false, hosts...)
			h.RecordCrash("x", 7, fmt.Sprintf("replica-%d@1", i))
			time.Sleep(time.Second)
		}
		expectRefused(t, "after three crashes", 7, true, hosts...)
		expectRefused(t, "another request", 8, false, hosts...)
		for i := range hosts {
			hosts[i].stop()
			hosts[i] = startLedger(t, store, fmt.Sprintf("new-%d", i))
		}
		expectRefused(t, "after new hosts", 7, true, hosts...)
		left, _ := hosts[0].Refused(7)
		time.Sleep(left - time.Second)
		expectRefused(t, "before the end of the term", 7, true, hosts...)
		time.Sleep(2 * time.Second)
		expectRefused(t, "after the term", 7, false, hosts...)
		time.Sleep(maxDeletionDelay + 5*time.Second)
		if n := store.Count(""); n != 0 {
			t.Errorf("%d rows are left after the term", n)
		}
	})
}

// The same process counts once, however many attempts broke off there.
func TestOneCrashCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewRows()
		a, b := startLedger(t, store, "a"), startLedger(t, store, "b")
		for range 4 {
			a.RecordCrash("x", 7, "replica@1")
			b.RecordCrash("y", 7, "replica@1")
		}
		time.Sleep(time.Second)
		expectRefused(t, "one process", 7, false, a, b)
		a.RecordCrash("x", 7, "replica@2")
		b.RecordCrash("y", 7, "replica@3")
		time.Sleep(time.Second)
		expectRefused(t, "three incarnations", 7, true, a, b)
	})
}

func TestCrashesDuringAStoreOutageAreToldAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewRows()
		a, b := startLedger(t, store, "a"), startLedger(t, store, "b")
		a.client.SetDown(true)
		for i := range 3 {
			a.RecordCrash("x", 7, fmt.Sprintf("replica-%d@1", i))
		}
		time.Sleep(20 * time.Second)
		expectRefused(t, "during the outage", 7, true, a)
		expectRefused(t, "during the outage", 7, false, b)
		a.client.SetDown(false)
		time.Sleep(2 * time.Second)
		expectRefused(t, "after the outage", 7, true, a, b)
		store.DropHistory()
		time.Sleep(2 * time.Second)
		expectRefused(t, "after the history was dropped", 7, true, a, b)
	})
}

// A request that is answered did not crash the replicas that ended while it ran there.
func TestAnswerClearsARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewRows()
		a, b := startLedger(t, store, "a"), startLedger(t, store, "b")
		a.RecordCrash("x", 7, "replica-1@1")
		a.RecordCrash("x", 7, "replica-2@1")
		time.Sleep(time.Second)
		b.RecordAnswer(7)
		time.Sleep(time.Second)
		if n := store.Count(""); n != 0 {
			t.Errorf("%d rows are left after an answer", n)
		}
		for i := range 3 {
			a.RecordCrash("x", 7, fmt.Sprintf("replica-%d@2", i))
		}
		time.Sleep(time.Second)
		expectRefused(t, "answered a moment ago", 7, false, a, b)
		// An answer long ago does not clear what happens now.
		time.Sleep(3 * answeredFor)
		for i := range 3 {
			a.RecordCrash("x", 7, fmt.Sprintf("replica-%d@3", i))
		}
		time.Sleep(time.Second)
		expectRefused(t, "answered long ago", 7, true, a, b)
	})
}

// Load pattern: three requests crash each replica that runs them, and are sent again at
// all hosts each 200 ms, while the replicas crash for other reasons as well. 200 sound
// requests, of which each host sends some content again and again, are in flight beside
// them. A crash blames all that was in flight at the replica. None of the three gets more
// than three further runs; no sound request is refused.
func TestCrashStormBesideSoundRequests(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playCrashStorm(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func playCrashStorm(t *testing.T, random *rand.Rand) {
	const (
		replicas = 6
		hostsN   = 6
		crashing = 3
		sound    = 200
		step     = 200 * time.Millisecond
		steps    = 150
	)
	store := platformtest.NewRows()
	hosts := make([]ledgerHost, 0, hostsN)
	for n := range hostsN {
		hosts = append(hosts, startLedger(t, store, fmt.Sprintf("h%d", n)))
	}
	incarnation := make([]int, replicas)
	thirdCrash := map[Fingerprint]time.Time{}
	crashes, lateRuns := map[Fingerprint]int{}, map[Fingerprint]int{}
	type attempt struct {
		host ledgerHost
		f    Fingerprint
	}
	for range steps {
		inFlight := make([][]attempt, replicas)
		crashed := make([]bool, replicas)
		place := func(f Fingerprint) (int, bool) {
			h := hosts[random.IntN(hostsN)]
			if _, refused := h.Refused(f); refused {
				return 0, false
			}
			r := random.IntN(replicas)
			inFlight[r] = append(inFlight[r], attempt{h, f})
			return r, true
		}
		for n := range crashing {
			f := Fingerprint(1000 + n)
			r, sent := place(f)
			if !sent {
				continue
			}
			crashed[r] = true
			crashes[f]++
			if at, ok := thirdCrash[f]; ok && time.Since(at) > time.Second {
				lateRuns[f]++
			}
			if crashes[f] == crashesToRefuse {
				thirdCrash[f] = time.Now()
			}
		}
		for range 20 {
			f := Fingerprint(1 + random.IntN(sound))
			if _, sent := place(f); !sent {
				t.Errorf("sound request %d is refused", f)
			}
		}
		if random.IntN(10) == 0 {
			crashed[random.IntN(replicas)] = true
		}
		for r := range replicas {
			for _, a := range inFlight[r] {
				if crashed[r] {
					a.host.RecordCrash("x", a.f, fmt.Sprintf("r%d@%d", r, incarnation[r]))
				} else {
					a.host.RecordAnswer(a.f)
				}
			}
			if crashed[r] {
				incarnation[r]++
			}
		}
		time.Sleep(step)
	}
	for n := range crashing {
		f := Fingerprint(1000 + n)
		if crashes[f] < crashesToRefuse || lateRuns[f] > 3 {
			t.Errorf("request %d crashed replicas %d times, %d of them later than a second after the third", f, crashes[f], lateRuns[f])
		}
	}
}

func TestFullLedgerKeepsRefusedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startLedger(t, platformtest.NewRows(), "a")
		for i := range crashesToRefuse {
			a.RecordCrash("x", 7, fmt.Sprintf("replica-%d@1", i))
		}
		for n := range maxTrackedRequests + 200 {
			a.RecordCrash("y", Fingerprint(100+n), "replica@2")
		}
		expectRefused(t, "among many records", 7, true, a)
		if n := len(a.crashes); n > maxTrackedRequests {
			t.Errorf("%d requests are tracked, want at most %d", n, maxTrackedRequests)
		}
		for i := range crashesToRefuse {
			a.RecordCrash("x", 8, fmt.Sprintf("replica-%d@3", i))
		}
		expectRefused(t, "a new one among many records", 8, true, a)
	})
}
