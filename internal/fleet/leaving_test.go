package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// A replica that said that it leaves gets nothing more, whatever discovery shows of the
// same incarnation: ready again, gone and back, at another address.
func TestLeavingReplicaStaysLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(logr.Discard())
		ready := Replica{ID: "a", Service: "s", Address: "1", Slots: 4, Incarnation: 1}
		usable := func(what string, want bool) {
			t.Helper()
			if _, err := f.Reserve(Requirements{Service: "s"}); (err == nil) != want {
				t.Errorf("%s: usable %t, want %t", what, err == nil, want)
			}
		}
		f.Put(ready)
		f.MarkLeaving(Replica{ID: "a", Incarnation: 7})
		usable("another incarnation was marked", true)
		f.Release("a")
		f.MarkLeaving(ready)
		usable("marked", false)
		f.Put(ready)
		usable("ready in discovery", false)
		f.Remove("a")
		time.Sleep(missingGracePeriod + time.Second)
		f.Sweep()
		f.Put(ready)
		usable("gone and back", false)
		ready.Address = "2"
		f.Put(ready)
		usable("at another address", false)
		if r, ok := f.Get("a"); !ok || !r.Draining {
			t.Errorf("the replica is %+v", r)
		}
		ready.Incarnation = 2
		f.Put(ready)
		usable("the next incarnation", true)
		f.Sweep()
		if len(f.left) != 0 {
			t.Errorf("%d marks are left", len(f.left))
		}
	})
}

func TestLeavingMarksAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(logr.Discard())
		r := Replica{ID: "a", Service: "s", Address: "1", Slots: 4, Incarnation: 1}
		f.Put(r)
		f.MarkLeaving(r)
		time.Sleep(2 * leavingMarkTTL)
		f.Sweep()
		if len(f.left) != 1 {
			t.Error("the mark of a known replica is forgotten")
		}
		f.Remove("a")
		f.Sweep()
		time.Sleep(leavingMarkTTL + time.Second)
		f.Sweep()
		if len(f.left) != 0 {
			t.Error("the mark of a replica that is gone is kept")
		}
	})
}
