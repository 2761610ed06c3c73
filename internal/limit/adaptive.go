package limit

import (
	"math"
	"time"
)

const (
	// windowLatencyMultiple is the length of a window, as a multiple of the base latency.
	windowLatencyMultiple = 5
	// Bounds of the length of a window.
	minWindow = 50 * time.Millisecond
	maxWindow  = 500 * time.Millisecond
	// maxRelativeError is the standard error, as a share of the average, at which a window may end.
	maxRelativeError = 0.05
	// maxNoisyWindow ends a window that does not get there.
	maxNoisyWindow = 2 * time.Second
	// failureWindow is the time in which failures count once.
	failureWindow = 500 * time.Millisecond
	// minWindowSamples is the number of answers that end a window.
	minWindowSamples = 5
	// baseWindows is the number of windows from which the base latency is taken.
	baseWindows = 60
	// maxGrowRatio is the ratio of latency to base latency up to which a used-up limit grows.
	maxGrowRatio = 1.05
	// minShrinkRatio is the ratio above which the limit shrinks.
	minShrinkRatio = 1.1
	// minShrinkFactor bounds one decrease after slow answers.
	minShrinkFactor = 0.7
	// failureFactor is the decrease after a failure.
	failureFactor = 0.7
	// initialLimit is the limit before anything is known of the upstream. It stands
	// for an upstream that keeps pace, so the base latency is learned there.
	initialLimit = 4
	// slowStartFactor is the growth of a used-up limit until it first shrinks.
	slowStartFactor = 2
	// minIncrease is the least increase of a used-up limit after that.
	minIncrease = 0.5
	// recoveryShare is the share of the way back to the limit before failures that one increase covers.
	recoveryShare = 0.25
)

// Adaptive is the limit of one upstream. It is not safe for concurrent use.
type Adaptive struct {
	ceiling float64
	limit   float64
	// slowStart is true until the limit first shrinks.
	slowStart bool
	// sustained is the limit that the upstream bore before it failed.
	sustained float64

	windowStart time.Time
	// latencySum and squares are of the window's latencies, in seconds.
	latencySum      float64
	latencySquares  float64
	samples  int
	peakInFlight     int
	windowAverages [baseWindows]time.Duration
	windowCount  int
	// lastFailure is when a failure last shrank the limit.
	lastFailure time.Time
}

// New returns a limit that never exceeds ceiling. It starts well below, so that
// the base latency is learned before the upstream can be overloaded.
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

// BaseLatency returns the latency of the upstream when it keeps pace; zero before the first window.
func (a *Adaptive) BaseLatency() time.Duration {
	base := time.Duration(0)
	for _, average := range a.windowAverages[:min(a.windowCount, baseWindows)] {
		if base == 0 || average < base {
			base = average
		}
	}
	return base
}

// ObserveLatency takes the latency of an answer that came at now. inFlight is the
// number of requests in flight, this one included.
func (a *Adaptive) ObserveLatency(latency time.Duration, inFlight int, now time.Time) {
	if a.samples == 0 {
		a.windowStart = now
	}
	a.latencySum += latency.Seconds()
	a.latencySquares += latency.Seconds() * latency.Seconds()
	a.samples++
	a.peakInFlight = max(a.peakInFlight, inFlight)
	if a.samples >= minWindowSamples && now.Sub(a.windowStart) >= a.window() && (a.preciseEnough() || now.Sub(a.windowStart) >= maxNoisyWindow) {
		a.closeWindow()
	}
}

// window returns the least time over which latencies are averaged.
func (a *Adaptive) window() time.Duration {
	return min(maxWindow, max(minWindow, windowLatencyMultiple*a.BaseLatency()))
}

// average returns the window's average latency and its standard error, in seconds.
func (a *Adaptive) average() (average, deviation float64) {
	n := float64(a.samples)
	average = a.latencySum / n
	variance := max(0, a.latencySquares/n-average*average)
	return average, math.Sqrt(variance / n)
}

// preciseEnough reports whether the window's average can be told from a slowdown.
func (a *Adaptive) preciseEnough() bool {
	average, deviation := a.average()
	return deviation <= maxRelativeError*average
}

// closeWindow adjusts the limit to the window's average latency. What may be
// chance counts neither as a slowdown nor as a lower base.
func (a *Adaptive) closeWindow() {
	average, deviation := a.average()
	base := a.BaseLatency().Seconds()
	a.windowAverages[a.windowCount%baseWindows] = seconds(average + deviation)
	a.windowCount++
	slowed := average - deviation
	switch {
	case base > 0 && slowed > minShrinkRatio*base:
		a.shrink(max(minShrinkFactor, maxGrowRatio*base/slowed))
		a.sustained = a.limit
	case base > 0 && slowed > maxGrowRatio*base:
	case float64(a.peakInFlight) >= a.limit-1:
		a.grow()
	}
	a.latencySum, a.latencySquares, a.samples, a.peakInFlight = 0, 0, 0, 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ObserveFailure takes a failure at now. Failures that come together count once. They
// leave the limit at its start, since they show no slowdown and the limit must
// not be slow to return when they end.
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

// ObserveQueue takes a report that the upstream itself lets requests wait. Busy
// says whether more wait than keep it occupied. inFlight is as for Answered.
func (a *Adaptive) ObserveQueue(busy bool, inFlight int) {
	if busy {
		a.shrink(minShrinkFactor)
		return
	}
	if float64(inFlight) >= a.limit-1 {
		a.grow()
	}
}

// ObserveOverload takes a report that the upstream has more requests, from all hosts,
// than it runs at once. The answers so far tell nothing of its latency without a queue.
func (a *Adaptive) ObserveOverload(slots, requests int) {
	a.shrink(max(minShrinkFactor, float64(slots)/float64(requests)))
	a.windowCount = 0
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
