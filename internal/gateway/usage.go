package gateway

import "time"

// usageDelay is how long after the start of an attempt a request without an answer counts
// as running. A replica that does not run a request says so within milliseconds. The
// count of a window is read 4 s after its end, so an answer may be too late for it.
const usageDelay = 1500 * time.Millisecond

// count counts the request as usage, once. The start of the attempt is the best estimate
// for when the replica began to work.
func (f *forwardCall) count(at time.Time) {
	if f.counted || at.IsZero() {
		return
	}
	f.counted = true
	f.countUsage(f.call, at)
}

// firstBegun returns the earliest start of an attempt that a replica may have run or may
// be running; zero if there is none.
func (f *forwardCall) firstBegun() time.Time {
	first := f.mayHaveBegun
	for _, began := range f.running {
		if first.IsZero() || began.Before(first) {
			first = began
		}
	}
	return first
}

// usageTimer returns a timer that fires when the request counts as running; nil if it is not
// counted, or was counted already.
func (f *forwardCall) usageTimer() *time.Timer {
	first := f.firstBegun()
	if f.usage == nil || f.call.Team == "" || f.counted || first.IsZero() {
		return nil
	}
	return time.NewTimer(time.Until(first.Add(usageDelay)))
}
