package limit

import (
	"math"
	"time"
)

const (
	// windowLatencyMultiple is the shortest duration of a window, as a multiple
	// of the base latency.
	windowLatencyMultiple = 5
	// minWindow and maxWindow bound that duration.
	minWindow = 50 * time.Millisecond
	maxWindow = 500 * time.Millisecond
	// maxRelativeError is the relative standard error of the mean latency above
	// which a window is extended.
	maxRelativeError = 0.05
	// maxNoisyWindow is the longest duration of an extended window.
	maxNoisyWindow = 2 * time.Second
	// failureWindow is the time within which several failures count once.
	failureWindow = 500 * time.Millisecond
	// minWindowSamples is the smallest number of latencies in a window.
	minWindowSamples = 5
	// baseWindows is the number of recent windows of which the lowest mean is the base latency.
	baseWindows = 60
	// maxGrowRatio is the highest ratio of latency to base latency at which the limit grows.
	maxGrowRatio = 1.05
	// minShrinkRatio is the ratio of latency to base latency above which the limit shrinks.
	minShrinkRatio = 1.07
	// minShrinkFactor is the smallest factor of one decrease of the limit because of
	// latency or queueing.
	minShrinkFactor = 0.7
	// failureFactor is the factor by which a failure reduces the limit.
	failureFactor = 0.7
	// initialLimit is the limit of a new upstream, in requests. It is low so that
	// the base latency is measured before the upstream can be overloaded. Failures
	// do not reduce the limit below it.
	initialLimit = 4
	// slowStartFactor is the factor by which the limit grows until it first shrinks.
	slowStartFactor = 2
	// minIncrease is the smallest increase of the limit after that, in requests.
	minIncrease = 0.5
	// overloadReportAge is how long a report of a queue holds back the growth of the limit
	// if no other report follows.
	overloadReportAge = 5 * time.Second
	// recoveryShare is the share of the difference to the sustained limit by
	// which one increase raises the limit.
	recoveryShare = 0.25
)

// Adaptive is the concurrency limit of one upstream, in requests. Latencies are
// averaged over windows, and the limit is adjusted at the end of each. It is
// not safe for concurrent use.
type Adaptive struct {
	ceiling float64
	limit   float64
	// slowStart is true until the limit first shrinks.
	slowStart bool
	// slowed is true if the latency of the last window was above the base latency.
	slowed bool
	// sustained is the limit before recent failures, or the limit after the last
	// decrease because of latency.
	sustained float64

	windowStart time.Time // when the first latency of the window was recorded
	// latencySum and latencySquares are the sums of the window's latencies in
	// seconds and of their squares.
	latencySum     float64
	latencySquares float64
	samples        int // latencies in the window
	peakInFlight   int
	// windowAverages is a ring buffer of the means of past windows, each with its
	// standard error added.
	windowAverages [baseWindows]time.Duration
	windowCount    int // windows closed since ObserveOverload last discarded them
	// lastFailure is when a failure last counted.
	lastFailure time.Time
	// overloadedUntil is the time until which the upstream counts as overloaded by its
	// last report.
	overloadedUntil time.Time
}

// New returns a limit of at most ceiling, but at least one. It starts at
// initialLimit, or at ceiling if that is lower.
func New(ceiling int) *Adaptive {
	return &Adaptive{ceiling: float64(ceiling), limit: min(initialLimit, float64(ceiling)), slowStart: true}
}

// SetCeiling changes the upper bound.
func (a *Adaptive) SetCeiling(ceiling int) {
	a.ceiling = float64(ceiling)
	a.limit = min(a.limit, a.ceiling)
}

// Limit returns the number of requests that may be in flight, at least one.
func (a *Adaptive) Limit() int { return max(1, int(a.limit)) }

// BaseLatency returns the lowest of the recent windowAverages, taken as the latency
// of the upstream without a queue; zero before the first window and after
// ObserveOverload.
func (a *Adaptive) BaseLatency() time.Duration {
	base := time.Duration(0)
	for _, average := range a.windowAverages[:min(a.windowCount, baseWindows)] {
		if base == 0 || average < base {
			base = average
		}
	}
	return base
}

// ObserveLatency records the latency of an answer that arrived at now. inFlight
// is the number of requests in flight, including this one.
func (a *Adaptive) ObserveLatency(latency time.Duration, inFlight int, now time.Time) {
	if a.samples == 0 {
		a.windowStart = now
	}
	a.latencySum += latency.Seconds()
	a.latencySquares += latency.Seconds() * latency.Seconds()
	a.samples++
	a.peakInFlight = max(a.peakInFlight, inFlight)
	if a.samples >= minWindowSamples && now.Sub(a.windowStart) >= a.window() && (a.preciseEnough() || now.Sub(a.windowStart) >= maxNoisyWindow) {
		a.closeWindow(now)
	}
}

// window returns the shortest duration of the current window.
func (a *Adaptive) window() time.Duration {
	return min(maxWindow, max(minWindow, windowLatencyMultiple*a.BaseLatency()))
}

// average returns the window's mean latency and its standard error, in seconds.
func (a *Adaptive) average() (average, standardError float64) {
	n := float64(a.samples)
	average = a.latencySum / n
	variance := max(0, a.latencySquares/n-average*average)
	return average, math.Sqrt(variance / n)
}

// preciseEnough reports whether the window's mean is precise enough to detect a
// change of latency.
func (a *Adaptive) preciseEnough() bool {
	average, standardError := a.average()
	return standardError <= maxRelativeError*average
}

// closeWindow adjusts the limit to the window's mean latency and starts a new
// window. A difference within the standard error counts neither as a slowdown
// nor as a lower base latency. While the upstream counts as overloaded the limit does not
// grow: the base latency then includes the wait in its queue.
func (a *Adaptive) closeWindow(now time.Time) {
	average, standardError := a.average()
	base := a.BaseLatency().Seconds()
	a.windowAverages[a.windowCount%baseWindows] = seconds(average + standardError)
	a.windowCount++
	lowest := average - standardError
	a.slowed = base > 0 && lowest > maxGrowRatio*base
	switch {
	case base > 0 && lowest > minShrinkRatio*base:
		a.shrink(max(minShrinkFactor, maxGrowRatio*base/lowest))
		a.sustained = a.limit
	case a.slowed || now.Before(a.overloadedUntil):
	case float64(a.peakInFlight) >= a.limit-1:
		a.grow()
	}
	a.latencySum, a.latencySquares, a.samples, a.peakInFlight = 0, 0, 0, 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ObserveFailure records a failed request at now. Failures within failureWindow
// count once. They don't reduce the limit below initialLimit: a failure is no
// sign of a slowdown, and the limit must recover quickly afterwards.
func (a *Adaptive) ObserveFailure(now time.Time) {
	if now.Sub(a.lastFailure) < failureWindow {
		return
	}
	a.lastFailure = now
	a.sustained = max(a.sustained, a.limit)
	if a.limit > initialLimit {
		a.shrink(max(failureFactor, initialLimit/a.limit))
	}
}

// ObserveQueue adjusts the limit to the upstream's report of its own queue. busy
// is true if the queue is longer than needed to keep the upstream occupied.
// inFlight is the number of requests in flight from this host.
func (a *Adaptive) ObserveQueue(busy bool, inFlight int) {
	if busy {
		a.shrink(minShrinkFactor)
		return
	}
	if float64(inFlight) >= a.limit-1 {
		a.grow()
	}
}

// ObserveOverload shrinks the limit after a report that the upstream has more
// requests, from all hosts, than it runs at once. It discards the base latency,
// which may include the time in the upstream's queue. The limit does not grow until
// ObserveNoOverload is called, or overloadReportAge after now.
func (a *Adaptive) ObserveOverload(slots, requests int, now time.Time) {
	a.overloadedUntil = now.Add(overloadReportAge)
	a.shrink(max(minShrinkFactor, float64(slots)/float64(requests)))
	a.windowCount = 0
}

// ObserveNoOverload lets the limit grow again after a report without a long queue.
func (a *Adaptive) ObserveNoOverload() { a.overloadedUntil = time.Time{} }

// ObserveSpare raises the limit after a report that the upstream has free slots and no
// queue, and runs running requests, if inFlight requests of this host use up the limit
// and the last window was not slowed. A limit that failures have reduced would otherwise
// hold back requests from an idle upstream for as long as the windows take to raise it.
// This host takes the share of the free slots that it has of the running requests,
// because the other hosts see the same slots.
func (a *Adaptive) ObserveSpare(free, running, inFlight int) {
	if free <= 0 || a.slowed || inFlight < a.Limit() {
		return
	}
	share := min(1, float64(inFlight)/float64(max(1, running)))
	a.limit = min(a.ceiling, a.limit+share*float64(free))
}

func (a *Adaptive) grow() {
	next := a.limit + max(minIncrease, recoveryShare*(a.sustained-a.limit))
	if a.slowStart {
		next = slowStartFactor * a.limit
	}
	a.limit = min(a.ceiling, next)
}

func (a *Adaptive) shrink(factor float64) {
	a.slowStart = false
	a.limit = max(1, a.limit*factor)
}
