package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/placement"
)

// withFleet runs a test with a fleet of engines "a", "b" and "c" of four slots each.
func withFleet(t *testing.T, test func(t *testing.T, f *Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := New(logr.Discard())
		for _, id := range []string{"a", "b", "c"} {
			f.Put(Replica{ID: id, Service: "s", Address: id, Slots: 4, Models: map[string]uint64{"m": 1}})
		}
		test(t, f)
	})
}

// reserveAll reserves slots until none is free and returns their number by replica.
func reserveAll(f *Fleet, want Requirements) map[string]int {
	got := map[string]int{}
	for {
		r, err := f.Reserve(want)
		if err != nil {
			return got
		}
		got[r.ID]++
	}
}

func TestReservationsFillTheSlots(t *testing.T) {
	withFleet(t, func(t *testing.T, f *Fleet) {
		got := reserveAll(f, Requirements{Service: "s"})
		if got["a"] != 4 || got["b"] != 4 || got["c"] != 4 {
			t.Errorf("reservations are %v", got)
		}
		f.Release("b")
		if r, err := f.Reserve(Requirements{Service: "s"}); err != nil || r.ID != "b" {
			t.Errorf("the released slot was not used: %v, %v", r.ID, err)
		}
		if _, err := f.Reserve(Requirements{Service: "other"}); !failure.IsKind(err, failure.NoUpstream) {
			t.Errorf("Reserve for a service without replicas returned %v", err)
		}
	})
}

func TestMissingReplicaIsUsedLastAndBriefly(t *testing.T) {
	withFleet(t, func(t *testing.T, f *Fleet) {
		f.Remove("a")
		if r, _ := f.Reserve(Requirements{Service: "s"}); r.ID == "a" {
			t.Error("a missing replica was preferred")
		}
		f.Remove("b")
		f.Remove("c")
		if _, err := f.Reserve(Requirements{Service: "s"}); err != nil {
			t.Errorf("right after all replicas disappeared: %v", err)
		}
		time.Sleep(missingGracePeriod + time.Millisecond)
		if _, err := f.Reserve(Requirements{Service: "s"}); !failure.IsKind(err, failure.NoUpstream) {
			t.Errorf("a replica was used %s after it disappeared: %v", missingGracePeriod, err)
		}
		f.Put(Replica{ID: "a", Service: "s", Address: "a", Slots: 4})
		if r, err := f.Reserve(Requirements{Service: "s"}); err != nil || r.ID != "a" {
			t.Errorf("a replica that reappeared was not used: %v", err)
		}
	})
}

func TestMissingDrainingReplicaIsNotUsed(t *testing.T) {
	withFleet(t, func(t *testing.T, f *Fleet) {
		f.Put(Replica{ID: "a", Service: "s", Address: "a", Draining: true})
		f.Remove("a")
		if len(f.List("s")) != 2 {
			t.Errorf("replicas are %v", f.List("s"))
		}
	})
}

func TestRestartedReplicaLosesObservations(t *testing.T) {
	withFleet(t, func(t *testing.T, f *Fleet) {
		for range 8 {
			f.RecordFailure("a")
		}
		f.ObserveVersion("a", "m", 9)
		f.Put(Replica{ID: "a", Service: "s", Address: "a", Slots: 4, Incarnation: 2, Models: map[string]uint64{"m": 1}})
		if r, _ := f.Get("a"); r.Models["m"] != 1 {
			t.Errorf("version is %d", r.Models["m"])
		}
		if got := reserveAll(f, Requirements{Service: "s"}); got["a"] != 4 {
			t.Errorf("reservations are %v", got)
		}
	})
}

func TestRefusalAffectsOneModelOnly(t *testing.T) {
	withFleet(t, func(t *testing.T, f *Fleet) {
		f.RecordRefusal("a", "m")
		if got := reserveAll(f, Requirements{Service: "s", Model: "m"}); got["a"] != 0 {
			t.Errorf("reservations for the model are %v", got)
		}
		if got := reserveAll(f, Requirements{Service: "s", Model: "n"}); got["a"] != 4 {
			t.Errorf("reservations for another model are %v", got)
		}
		f.PauseModel("b", "m", time.Hour)
		f.ObserveVersion("b", "m", 2)
		f.Release("b")
		if r, err := f.Reserve(Requirements{Service: "s", Model: "m", Request: placement.Request{MinVersion: 2}}); err != nil || r.ID != "b" {
			t.Errorf("an engine that finished its weight load is still paused: %v", err)
		}
	})
}

func TestReportedLoadDecays(t *testing.T) {
	withFleet(t, func(t *testing.T, f *Fleet) {
		f.ObserveLoad("a", LoadReport{Running: 4, Waiting: 2, Slots: 4})
		if got := reserveAll(f, Requirements{Service: "s"}); got["a"] != 0 {
			t.Errorf("reservations are %v", got)
		}
		time.Sleep(10 * time.Second)
		if got := reserveAll(f, Requirements{Service: "s"}); got["a"] == 0 {
			t.Error("an old load report still blocks an engine")
		}
	})
}

// Guards against overfull engines: the owners of two models place a burst each at
// the same moment, without knowledge of each other.
func TestOwnersOfTwoModelsUseDifferentEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := map[string]int{}
		for _, model := range []string{"m", "n"} {
			f := New(logr.Discard())
			for i := range 20 {
				f.Put(Replica{ID: fmt.Sprintf("e%02d", i), Service: "s", Address: "x", Slots: 6, Models: map[string]uint64{"m": 1, "n": 1}})
			}
			for range 50 {
				r, err := f.Reserve(Requirements{Service: "s", Model: model})
				if err != nil {
					t.Fatal(err)
				}
				sent[r.ID]++
			}
		}
		for id, n := range sent {
			if n > 6 {
				t.Errorf("engine %s got %d rollouts for 6 slots", id, n)
			}
		}
	})
}

func TestSlowdownIsRelativeToPeers(t *testing.T) {
	withFleet(t, func(t *testing.T, f *Fleet) {
		for range 100 {
			f.ObserveLatency("a", 140*time.Millisecond)
			f.ObserveLatency("b", 40*time.Millisecond)
			f.ObserveLatency("c", 40*time.Millisecond)
		}
		if p := f.Slowdown("a"); p < 3 || p > 4 {
			t.Errorf("slowdown of the slow engine is %.2f", p)
		}
		rollout := Requirements{Service: "s", Request: placement.Request{LimitUnanswered: true}}
		for range 50 {
			if id, _, _ := f.Peek(rollout); id == "a" {
				t.Fatal("the slow engine was preferred for a rollout")
			}
		}
		// For other requests measurements must stand for some time, since those of one moment
		// may be of one short slow spell.
		for range 20 {
			time.Sleep(140 * time.Millisecond)
			f.ObserveLatency("a", 140*time.Millisecond)
			f.ObserveLatency("b", 40*time.Millisecond)
			f.ObserveLatency("c", 40*time.Millisecond)
		}
		if p := f.Slowdown("a"); p < 3 || p > 4 {
			t.Errorf("slowdown of the slow engine after 3 s is %.2f", p)
		}
		for range 50 {
			if id, _, _ := f.Peek(Requirements{Service: "s"}); id == "a" {
				t.Fatal("the slow replica was preferred for a request")
			}
		}
	})
}

// Guards against needless wake-ups: an engine sends about a hundred events a second,
// and only changes that may free a slot must wake the waiting requests.
func TestChangedIsClosedOnlyIfASlotMayBeFree(t *testing.T) {
	tests := []struct {
		name       string
		change     func(f *Fleet)
		wantClosed bool
	}{
		{"a slot is released", func(f *Fleet) { f.Release("a") }, true},
		{"an event arrives", func(f *Fleet) { f.ObserveLatency("a", time.Second) }, false},
		{"an event of the known version", func(f *Fleet) { f.ObserveVersion("a", "m", 1) }, false},
		{"an event of a new version", func(f *Fleet) { f.ObserveVersion("a", "m", 2) }, true},
		{"a refusal", func(f *Fleet) { f.RecordRefusal("a", "m") }, false},
		{"a failure", func(f *Fleet) { f.RecordFailure("a") }, false},
		{"an answer of a healthy replica", func(f *Fleet) { f.RecordSuccess("a") }, false},
		{"an answer after a failure", func(f *Fleet) { f.RecordFailure("b"); f.RecordSuccess("b") }, true},
		{"the same entry again", func(f *Fleet) {
			f.Put(Replica{ID: "a", Service: "s", Address: "a", Slots: 4, Models: map[string]uint64{"m": 1}})
		}, false},
		{"an entry with a new version", func(f *Fleet) {
			f.Put(Replica{ID: "a", Service: "s", Address: "a", Slots: 4, Models: map[string]uint64{"m": 2}})
		}, true},
		{"a report of more load", func(f *Fleet) { f.ObserveLoad("a", LoadReport{Running: 3, Waiting: 0, Slots: 4}) }, false},
		{"a report of less load", func(f *Fleet) {
			f.ObserveLoad("a", LoadReport{Running: 3, Waiting: 0, Slots: 4})
			f.ObserveLoad("a", LoadReport{Running: 1, Waiting: 0, Slots: 4})
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *Fleet) {
				changed := f.Changed()
				test.change(f)
				select {
				case <-changed:
					if !test.wantClosed {
						t.Error("the channel was closed")
					}
				default:
					if test.wantClosed {
						t.Error("the channel was not closed")
					}
				}
			})
		})
	}
}

// Guards against a refusal that shortened a longer pause: an engine that loads weights, or that
// failed again and again, got requests every 150 ms.
func TestRefusalDoesNotShortenALongerPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(logr.Discard())
		f.Put(Replica{ID: "r", Service: "s", Address: "a", Slots: 4, Models: map[string]uint64{"m": 1}})
		plain, model := Requirements{Service: "s"}, Requirements{Service: "s", Model: "m"}
		f.PauseModel("r", "m", 2*time.Second)
		f.RecordRefusal("r", "m")
		time.Sleep(time.Second)
		if _, err := f.Reserve(model); err == nil {
			t.Error("the replica got a request of the model during its pause")
		}
		time.Sleep(time.Second)
		if _, err := f.Reserve(model); err != nil {
			t.Errorf("after the pause: %v", err)
		}
		for range 4 {
			f.RecordFailure("r")
		}
		f.RecordRefusal("r", "")
		time.Sleep(time.Second)
		if _, err := f.Reserve(plain); err == nil {
			t.Error("the replica got a request during its backoff")
		}
	})
}

// Guards against a work time that is lost when a later report has none, or that keeps
// the age of the load instead of its own.
func TestWorkTimeHasItsOwnAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(logr.Discard())
		f.Put(Replica{ID: "r", Service: "s", Address: "a", Slots: 4})
		f.ObserveLoad("r", LoadReport{Slots: 4, WorkTime: 250})
		time.Sleep(200 * time.Millisecond)
		f.ObserveLoad("r", LoadReport{Slots: 4})
		time.Sleep(50 * time.Millisecond)
		r, err := f.Reserve(Requirements{Service: "s"})
		if err != nil {
			t.Fatal(err)
		}
		e := r.Estimate
		if e.WorkTime != 250 || e.WorkTimeAge != 250*time.Millisecond || e.ReportAge != 50*time.Millisecond {
			t.Errorf("estimate is %+v", e)
		}
		f.Put(Replica{ID: "r", Service: "s", Address: "a", Slots: 4, Incarnation: 2})
		if r, _ = f.Reserve(Requirements{Service: "s"}); r.Estimate.WorkTime != 0 {
			t.Errorf("a restarted replica has the work time %g of its predecessor", r.Estimate.WorkTime)
		}
	})
}

// Guards against tokens that are not returned, which would close an engine for good, and
// against a release for a restarted engine that makes room which the new one does not have.
func TestTokensAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(logr.Discard())
		f.Put(Replica{ID: "r", Service: "s", Address: "a", Slots: 6})
		want := Requirements{Service: "s", Request: placement.Request{Tokens: 400, TokenCapacity: 1000}}
		for round := range 3 {
			if got := reserveAll(f, want); got["r"] != 2 {
				t.Errorf("round %d: %d reservations of 400 tokens, want 2 of 1000", round, got["r"])
			}
			for range 2 {
				f.ReleaseTokens("r", 400)
				f.Release("r")
			}
		}
		f.ReleaseTokens("r", 400)
		if got := reserveAll(f, want); got["r"] != 2 {
			t.Errorf("%d reservations after a superfluous release, want 2", got["r"])
		}
	})
}
