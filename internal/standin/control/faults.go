package control

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

var knownKinds = map[standinapi.FaultKind]bool{
	standinapi.FaultDown: true, standinapi.FaultSlow: true, standinapi.FaultReplyLost: true, standinapi.FaultFreeze: true,
	standinapi.FaultCrashOnMatch: true, standinapi.FaultSilentConnections: true, standinapi.FaultWeightLoadFailure: true, standinapi.FaultIgnoreFencing: true,
	standinapi.FaultTruncateResponse: true, standinapi.FaultWrongRequestID: true, standinapi.FaultResetConnection: true, standinapi.FaultLeaving: true,
	standinapi.FaultReportLag: true, standinapi.FaultUnavailable: true,
}

// KnownFault reports whether stand-ins know a kind of fault.
func KnownFault(kind standinapi.FaultKind) bool { return knownKinds[kind] }

// Faults holds the faults that are on. Faults of different kinds, and of one
// kind with different matches, are on side by side.
type Faults struct {
	mu      sync.Mutex
	active  []standinapi.Fault
	thawed  chan struct{} // closed while not frozen
	changed chan struct{} // closed and replaced at each switch
}

// NewFaults returns a set with no fault on.
func NewFaults() *Faults {
	thawed := make(chan struct{})
	close(thawed)
	return &Faults{thawed: thawed, changed: make(chan struct{})}
}

// Set switches a fault. Switching a kind off with an empty match ends all faults of the kind.
func (f *Faults) Set(fault standinapi.Fault) error {
	if !knownKinds[fault.Kind] {
		return failure.New(failure.InvalidRequest, failure.NotRun, "fault kind %q is not known", fault.Kind).WithField("kind")
	}
	if fault.DelayMillis < 0 || fault.Count < 0 || fault.Bytes < 0 {
		return failure.New(failure.InvalidRequest, failure.NotRun, "delay_ms, count and bytes of a fault must not be negative")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(fault)
	if fault.On {
		f.active = append(f.active, fault)
	}
	f.notify()
	return nil
}

func (f *Faults) remove(fault standinapi.Fault) {
	kept := f.active[:0]
	for _, a := range f.active {
		same := a.Kind == fault.Kind && (a.Match == fault.Match || (!fault.On && fault.Match == ""))
		if !same {
			kept = append(kept, a)
		}
	}
	f.active = kept
}

// notify closes the change channel and keeps the freeze gate in step; f.mu is held.
func (f *Faults) notify() {
	frozen := f.find(standinapi.FaultFreeze, "", nil) >= 0
	select {
	case <-f.thawed:
		if frozen {
			f.thawed = make(chan struct{})
		}
	default:
		if !frozen {
			close(f.thawed)
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// Active returns the faults that are on.
func (f *Faults) Active() []standinapi.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]standinapi.Fault(nil), f.active...)
}

// Changed returns a channel that is closed at the next switch.
func (f *Faults) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// find returns the index of the first fault of a kind that matches, or -1; f.mu is held.
func (f *Faults) find(kind standinapi.FaultKind, path string, body []byte) int {
	for i, a := range f.active {
		if a.Kind != kind {
			continue
		}
		if a.Match == "" || strings.Contains(path, a.Match) || strings.Contains(string(body), a.Match) {
			return i
		}
	}
	return -1
}

// On reports whether a fault of the kind is on, without using it up.
func (f *Faults) On(kind standinapi.FaultKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.active {
		if a.Kind == kind {
			return true
		}
	}
	return false
}

// Delay returns the delay of an active fault of the kind, and whether one is on.
func (f *Faults) Delay(kind standinapi.FaultKind) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.active {
		if a.Kind == kind {
			return time.Duration(a.DelayMillis) * time.Millisecond, true
		}
	}
	return 0, false
}

// Take returns the fault of a kind that applies to a request, and counts the use.
func (f *Faults) Take(kind standinapi.FaultKind, path string, body []byte) (standinapi.Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.find(kind, path, body)
	if i < 0 {
		return standinapi.Fault{}, false
	}
	fault := f.active[i]
	if fault.Count == 1 {
		f.active = append(f.active[:i:i], f.active[i+1:]...)
		f.notify()
	} else if fault.Count > 1 {
		f.active[i].Count--
	}
	return fault, true
}

// Thawed returns a channel that is closed while the stand-in is not frozen.
func (f *Faults) Thawed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.thawed
}

// WaitThawed blocks while the stand-in is frozen, at most until ctx ends.
func (f *Faults) WaitThawed(ctx context.Context) {
	select {
	case <-f.Thawed():
	case <-ctx.Done():
	}
}
