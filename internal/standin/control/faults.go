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

// KnownFault reports whether kind is a kind of fault that stand-ins support.
func KnownFault(kind standinapi.FaultKind) bool { return knownKinds[kind] }

// Faults is the set of active faults. Faults of different kinds can be active at
// the same time, and so can faults of one kind with different values of Match.
type Faults struct {
	mu     sync.Mutex
	active []standinapi.Fault
	// thawed is closed while FaultFreeze is not active.
	thawed chan struct{}
	// changed is closed and replaced at each change of the set.
	changed chan struct{}
}

// NewFaults returns an empty set.
func NewFaults() *Faults {
	thawed := make(chan struct{})
	close(thawed)
	return &Faults{thawed: thawed, changed: make(chan struct{})}
}

// Set switches a fault on or off. Switching a kind off with an empty Match ends
// all faults of that kind. The error of an unknown kind or a negative number is
// InvalidRequest.
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

// remove ends the active faults that fault replaces or switches off; f.mu is held.
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

// notify signals a change of the set and updates the thawed channel; f.mu is held.
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

// Active returns a copy of the active faults.
func (f *Faults) Active() []standinapi.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]standinapi.Fault(nil), f.active...)
}

// Changed returns a channel that is closed at the next change of the set.
func (f *Faults) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// find returns the index of the first fault of a kind that matches a request, or -1; f.mu is held.
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

// On reports whether a fault of the kind is active. It does not count as a use of the fault.
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

// Delay returns the delay of the first active fault of the kind, and whether there is one.
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

// Take returns the first fault of a kind that applies to a request, and counts
// one use of it. A fault ends after the number of uses in its Count.
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

// Thawed returns a channel that is closed when FaultFreeze ends. It is already
// closed if FaultFreeze is not active.
func (f *Faults) Thawed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.thawed
}

// WaitThawed blocks while FaultFreeze is active, at most until ctx ends.
func (f *Faults) WaitThawed(ctx context.Context) {
	select {
	case <-f.Thawed():
	case <-ctx.Done():
	}
}
