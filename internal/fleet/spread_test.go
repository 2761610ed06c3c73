package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/placement"
)

// Guards against a spread that shows chance, old reports or replicas that get no requests.
func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(logr.Discard())
		for _, id := range []string{"a", "b", "c"} {
			f.Put(Replica{ID: id, Service: "s", Address: id, Slots: 20})
		}
		f.Put(Replica{ID: "d", Service: "s", Address: "d", Slots: 20, Draining: true})
		if got := f.Spread(); got != (Spread{}) {
			t.Errorf("spread without requests is %+v", got)
		}
		for id, running := range map[string]int{"a": 6, "b": 2, "c": 1, "d": 90} {
			f.ObserveLoad(id, LoadReport{Running: running, Slots: 20, WorkTime: 100})
		}
		if got := f.Spread(); got.Load != 2 || got.Sent != 0 || got.Slow != 0 {
			t.Errorf("spread of 6, 2 and 1 is %+v, want a load of 2", got)
		}
		for range 30 {
			if _, err := f.Reserve(Requirements{Service: "s"}); err != nil {
				t.Fatal(err)
			}
		}
		f.Put(Replica{ID: "e", Service: "engines", Address: "e", Models: map[string]uint64{"m": 1}})
		f.Put(Replica{ID: "f", Service: "engines", Address: "f", Models: map[string]uint64{"m": 1}})
		for range 30 {
			if _, err := f.Reserve(Requirements{Service: "engines", Request: placement.Request{ExcludeID: "f"}}); err != nil {
				t.Fatal(err)
			}
		}
		if got := f.Spread(); got.Sent < 1 || got.Sent >= 2 {
			t.Errorf("spread after 30 requests is %+v", got)
		}
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			f.ObserveLoad("b", LoadReport{Running: 1, Slots: 20, WorkTime: 250})
		}
		if got := f.Spread(); got.Slow != 1 {
			t.Errorf("slow replicas after a spell of 4 s: %d, want 1", got.Slow)
		}
		time.Sleep(2 * spreadMaxAge)
		if got := f.Spread(); got != (Spread{}) {
			t.Errorf("spread after a silence is %+v", got)
		}
	})
}
