package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/placement"
	"github.com/sapphirehatch/sapphirehatch/internal/ratelimit"
)

// limitedFleet returns a fleet of two replicas that name a limit of 2 a second, of which
// this host has a half.
func limitedFleet() *Fleet {
	f := New(logr.Discard())
	f.SetShareSource(func(string, string) ratelimit.Share { return ratelimit.Share{Fraction: 0.5} })
	for _, id := range []string{"a", "b"} {
		f.Put(Replica{ID: id, Service: "s", Address: id, Slots: 8})
		f.ObserveLimit(id, 2, true)
	}
	return f
}

// sentIn returns how many requests can be sent in a time, with a try each 20 ms.
func sentIn(f *Fleet, length time.Duration) int {
	sent := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r, err := f.Reserve(Requirements{Service: "s", Request: placement.Request{AllowQueue: true}}); err == nil {
			f.Release(r.ID)
			sent++
		}
	}
	return sent
}

func TestNamedLimitsBoundWhatIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := limitedFleet()
		if n := sentIn(f, 20*time.Second); n < 36 || n > 48 {
			t.Errorf("%d requests in 20 s at 1 a second and replica, want about 40 and a burst", n)
		}
		_, err := f.Reserve(Requirements{Service: "s", Request: placement.Request{AllowQueue: true}})
		for err == nil {
			_, err = f.Reserve(Requirements{Service: "s", Request: placement.Request{AllowQueue: true}})
		}
		if e := failure.As(err); e.Kind != failure.QueueFull || e.RetryAfter <= 0 || e.RetryAfter > time.Second {
			t.Errorf("error without a token: %v, retry after %s", err, e.RetryAfter)
		}
		// Another answer that was on its way names no limit, and does not end it.
		f.ObserveLimit("a", 2, true)
		f.ObserveLimit("a", 0, false)
		if n := sentIn(f, 2*time.Second); n > 8 {
			t.Errorf("%d requests in 2 s after an answer that was overtaken", n)
		}
		time.Sleep(limitTTL)
		f.ObserveLimit("a", 0, false)
		if n := sentIn(f, 2*time.Second); n != 100 {
			t.Errorf("%d of 100 requests sent after the end of a limit", n)
		}
	})
}

// A replica that takes nothing gets a request now and then, from which its hosts learn
// when that ends.
func TestLimitOfZeroIsALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := limitedFleet()
		f.ObserveLimit("a", 0, true)
		f.ObserveLimit("b", 0, true)
		// A share of a half at the lowest rate is one request in 40 s and replica.
		if n := sentIn(f, 4*time.Minute); n < 8 || n > 16 {
			t.Errorf("%d requests in 4 min to two replicas that take nothing", n)
		}
	})
}

// A replica that starts again under its id has no limit until it names one.
func TestNamedLimitEndsWithTheIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := limitedFleet()
		f.Put(Replica{ID: "a", Service: "s", Address: "a", Slots: 8, Incarnation: 2})
		if n := sentIn(f, 2*time.Second); n != 100 {
			t.Errorf("%d of 100 requests sent to a new incarnation", n)
		}
	})
}

// The demand is announced while a replica names a limit and this host has used its service
// in the last seconds; what waits and what was refused counts.
func TestDemandIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := limitedFleet()
		if d := f.Demand(); len(d) != 0 {
			t.Errorf("demand of an unused service: %v", d)
		}
		for range 40 {
			f.RecordUnmet("s")
			time.Sleep(100 * time.Millisecond)
		}
		if d := f.Demand()["s"]; d < 9 || d > 11 {
			t.Errorf("demand is %v, want about 10 a second", d)
		}
		f.RecordWaiting(map[string]int{"s": 30})
		if d := f.Demand()["s"]; d < 39 {
			t.Errorf("demand is %v with 30 that wait", d)
		}
		f.RecordWaiting(nil)
		time.Sleep(idleDemandAfter + time.Second)
		if d := f.Demand(); len(d) != 0 {
			t.Errorf("demand of an idle service: %v", d)
		}
	})
}
