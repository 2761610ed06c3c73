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

// inFleet runs a test over engines "a", "b" and "c" of four slots each.
func inFleet(t *testing.T, test func(t *testing.T, f *Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := New(logr.Discard())
		for _, id := range []string{"a", "b", "c"} {
			f.Put(Replica{ID: id, Service: "s", Address: id, Slots: 4, Models: map[string]uint64{"m": 1}})
		}
		test(t, f)
	})
}

// places reserves until no place is left and returns the reservations by replica.
func places(f *Fleet, want Want) map[string]int {
	got := map[string]int{}
	for {
		r, err := f.Reserve(want)
		if err != nil {
			return got
		}
		got[r.ID]++
	}
}

func TestReservationsFillThePlaces(t *testing.T) {
	inFleet(t, func(t *testing.T, f *Fleet) {
		got := places(f, Want{Service: "s"})
		if got["a"] != 4 || got["b"] != 4 || got["c"] != 4 {
			t.Errorf("places are %v", got)
		}
		f.Release("b")
		if r, err := f.Reserve(Want{Service: "s"}); err != nil || r.ID != "b" {
			t.Errorf("the place that became free was not used: %v, %v", r.ID, err)
		}
		if _, err := f.Reserve(Want{Service: "other"}); !failure.IsKind(err, failure.NoUpstream) {
			t.Errorf("a service without replicas ended with %v", err)
		}
	})
}

func TestVanishedReplicaIsUsedLastAndNotForLong(t *testing.T) {
	inFleet(t, func(t *testing.T, f *Fleet) {
		f.Remove("a")
		if r, _ := f.Reserve(Want{Service: "s"}); r.ID == "a" {
			t.Error("a vanished replica was preferred")
		}
		f.Remove("b")
		f.Remove("c")
		if _, err := f.Reserve(Want{Service: "s"}); err != nil {
			t.Errorf("right after the loss of all entries: %v", err)
		}
		time.Sleep(missingGrace + time.Millisecond)
		if _, err := f.Reserve(Want{Service: "s"}); !failure.IsKind(err, failure.NoUpstream) {
			t.Errorf("a replica was used %s after it vanished: %v", missingGrace, err)
		}
		f.Put(Replica{ID: "a", Service: "s", Address: "a", Slots: 4})
		if r, err := f.Reserve(Want{Service: "s"}); err != nil || r.ID != "a" {
			t.Errorf("a replica that came back is not used: %v", err)
		}
	})
}

func TestDrainingReplicaThatVanishesIsGoneAtOnce(t *testing.T) {
	inFleet(t, func(t *testing.T, f *Fleet) {
		f.Put(Replica{ID: "a", Service: "s", Address: "a", Draining: true})
		f.Remove("a")
		if len(f.List("s")) != 2 {
			t.Errorf("replicas are %v", f.List("s"))
		}
	})
}

func TestRestartedReplicaHasNoPast(t *testing.T) {
	inFleet(t, func(t *testing.T, f *Fleet) {
		for range 8 {
			f.Failed("a")
		}
		f.ObserveVersion("a", "m", 9)
		f.Put(Replica{ID: "a", Service: "s", Address: "a", Slots: 4, Incarnation: 2, Models: map[string]uint64{"m": 1}})
		if r, _ := f.Get("a"); r.Models["m"] != 1 {
			t.Errorf("version is %d", r.Models["m"])
		}
		if got := places(f, Want{Service: "s"}); got["a"] != 4 {
			t.Errorf("places are %v", got)
		}
	})
}

func TestRefusalOfOneModelLeavesTheOthers(t *testing.T) {
	inFleet(t, func(t *testing.T, f *Fleet) {
		f.Refused("a", "m")
		if got := places(f, Want{Service: "s", Model: "m"}); got["a"] != 0 {
			t.Errorf("places for the model are %v", got)
		}
		if got := places(f, Want{Service: "s", Model: "n"}); got["a"] != 4 {
			t.Errorf("places for another model are %v", got)
		}
		f.PauseModel("b", "m", time.Hour)
		f.ObserveVersion("b", "m", 2)
		f.Release("b")
		if r, err := f.Reserve(Want{Service: "s", Model: "m", Request: placement.Request{MinVersion: 2}}); err != nil || r.ID != "b" {
			t.Errorf("an engine whose load has ended is still paused: %v", err)
		}
	})
}

func TestReportedLoadFades(t *testing.T) {
	inFleet(t, func(t *testing.T, f *Fleet) {
		f.ObserveLoad("a", 4, 2, 4)
		if got := places(f, Want{Service: "s"}); got["a"] != 0 {
			t.Errorf("places are %v", got)
		}
		time.Sleep(10 * time.Second)
		if got := places(f, Want{Service: "s"}); got["a"] == 0 {
			t.Error("an old report keeps an engine closed")
		}
	})
}

// Owners of two models place a burst each at the same moment, without knowledge of each other.
func TestOwnersOfTwoModelsStartApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := map[string]int{}
		for _, model := range []string{"m", "n"} {
			f := New(logr.Discard())
			for i := range 20 {
				f.Put(Replica{ID: fmt.Sprintf("e%02d", i), Service: "s", Address: "x", Slots: 6, Models: map[string]uint64{"m": 1, "n": 1}})
			}
			for range 50 {
				r, err := f.Reserve(Want{Service: "s", Model: model})
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

func TestPaceIsRelativeToPeers(t *testing.T) {
	inFleet(t, func(t *testing.T, f *Fleet) {
		for range 100 {
			f.Paced("a", 140*time.Millisecond)
			f.Paced("b", 40*time.Millisecond)
			f.Paced("c", 40*time.Millisecond)
		}
		if p := f.Pace("a"); p < 3 || p > 4 {
			t.Errorf("pace of the slow one is %.2f", p)
		}
		if id, _, _ := f.Peek(Want{Service: "s"}); id == "a" {
			t.Error("the slow one is preferred")
		}
	})
}

// Events of streams come by the hundred a second; only what may free a place
// wakes those that wait for one.
func TestOnlyWhatMayFreeAPlaceWakes(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *Fleet)
		wakes  bool
	}{
		{"a place becomes free", func(f *Fleet) { f.Release("a") }, true},
		{"an event arrives", func(f *Fleet) { f.Paced("a", time.Second) }, false},
		{"an event of the known version", func(f *Fleet) { f.ObserveVersion("a", "m", 1) }, false},
		{"an event of a new version", func(f *Fleet) { f.ObserveVersion("a", "m", 2) }, true},
		{"a refusal", func(f *Fleet) { f.Refused("a", "m") }, false},
		{"a failure", func(f *Fleet) { f.Failed("a") }, false},
		{"an answer of a healthy replica", func(f *Fleet) { f.Succeeded("a") }, false},
		{"an answer after a failure", func(f *Fleet) { f.Failed("b"); f.Succeeded("b") }, true},
		{"the same entry again", func(f *Fleet) {
			f.Put(Replica{ID: "a", Service: "s", Address: "a", Slots: 4, Models: map[string]uint64{"m": 1}})
		}, false},
		{"an entry with a new version", func(f *Fleet) {
			f.Put(Replica{ID: "a", Service: "s", Address: "a", Slots: 4, Models: map[string]uint64{"m": 2}})
		}, true},
		{"a report of more load", func(f *Fleet) { f.ObserveLoad("a", 3, 0, 4) }, false},
		{"a report of less load", func(f *Fleet) { f.ObserveLoad("a", 3, 0, 4); f.ObserveLoad("a", 1, 0, 4) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *Fleet) {
				changed := f.Changed()
				test.change(f)
				select {
				case <-changed:
					if !test.wakes {
						t.Error("it wakes")
					}
				default:
					if test.wakes {
						t.Error("it does not wake")
					}
				}
			})
		})
	}
}
