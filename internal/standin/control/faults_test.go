package control

import (
	"testing"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

func TestTakeAppliesMatchAndCount(t *testing.T) {
	f := NewFaults()
	fault := standinapi.Fault{Kind: standinapi.FaultReplyLost, On: true, Match: "flue-7", Count: 2}
	if err := f.Set(fault); err != nil {
		t.Fatal(err)
	}
	uses := 0
	for range 5 {
		if _, ok := f.Take(standinapi.FaultReplyLost, "/book", []byte("other")); ok {
			t.Fatal("fault applied to a request that does not match")
		}
		if _, ok := f.Take(standinapi.FaultReplyLost, "/book", []byte("for flue-7")); ok {
			uses++
		}
	}
	if uses != 2 {
		t.Fatalf("fault applied %d times, want 2", uses)
	}
}

func TestFaultsAreActiveSideBySide(t *testing.T) {
	f := NewFaults()
	for _, fault := range []standinapi.Fault{
		{Kind: standinapi.FaultSlow, On: true, Match: "a", DelayMillis: 1},
		{Kind: standinapi.FaultSlow, On: true, Match: "b", DelayMillis: 2},
		{Kind: standinapi.FaultFreeze, On: true},
	} {
		if err := f.Set(fault); err != nil {
			t.Fatal(err)
		}
	}
	if got, _ := f.Take(standinapi.FaultSlow, "/b", nil); got.DelayMillis != 2 {
		t.Errorf("delay %d ms for /b, want 2", got.DelayMillis)
	}
	select {
	case <-f.Thawed():
		t.Error("Thawed is closed while FaultFreeze is active")
	default:
	}
	for _, kind := range []standinapi.FaultKind{standinapi.FaultSlow, standinapi.FaultFreeze} {
		if err := f.Set(standinapi.Fault{Kind: kind}); err != nil {
			t.Fatal(err)
		}
	}
	<-f.Thawed()
	if left := f.Active(); len(left) != 0 {
		t.Errorf("still active: %v", left)
	}
}

func TestSetRejectsInvalidFaults(t *testing.T) {
	for _, fault := range []standinapi.Fault{{Kind: "melt", On: true}, {Kind: standinapi.FaultSlow, DelayMillis: -1}} {
		if err := NewFaults().Set(fault); !failure.IsKind(err, failure.InvalidRequest) {
			t.Errorf("%+v: error %v, want an invalid request", fault, err)
		}
	}
}
