package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// loadDecayTime is the time constant of the exponential decay of a reported load.
	loadDecayTime = 700 * time.Millisecond
	// steadyLoadTime is the time constant of the average of the reported loads, and
	// steadyLoadDecayTime that of its decay. A single report of 50 to 500 ms of age says
	// more of the past than of the present: hosts that follow it overload replicas in
	// turn. The average shows what other hosts lastingly do at a replica.
	steadyLoadTime      = 3 * time.Second
	steadyLoadDecayTime = 2 * time.Second
	// latencyWeight is the weight of a new measurement in a replica's moving average.
	// An engine yields about a hundred measurements a second.
	latencyWeight = 0.1
	// latencyMaxAge is the age at which an average without new measurements is ignored.
	latencyMaxAge = 8 * time.Second
)

// Observations holds what a host has observed of the load and the speed of a replica.
// The zero value is a replica without observations.
type Observations struct {
	// otherInFlight is the number of requests in the last load report beyond those
	// of this host, and reportedAt the time of that report; zero without one.
	otherInFlight float64
	reportedAt    time.Time
	// steadyOthers is the average of otherInFlight.
	steadyOthers timedAverage
	// slowness is fed with the work times that the replica reports.
	slowness SlownessFilter
	// latency is the moving average of the measured latency in seconds, and latencyAt
	// the time of the last measurement. steadyLatency is the average over slownessTime.
	latency       float64
	latencyAt     time.Time
	steadyLatency sampledAverage
}

// timedAverage is an average in which a value counts for the time since the one before.
type timedAverage struct {
	value float64
	at    time.Time
}

func (a *timedAverage) observe(value float64, timeConstant time.Duration, now time.Time) {
	weight := 1.0
	if !a.at.IsZero() {
		weight = 1 - math.Exp(-max(0, now.Sub(a.at)).Seconds()/timeConstant.Seconds())
	}
	a.value += weight * (value - a.value)
	a.at = now
}

// sampledAverage is an average over slownessTime in which a sample counts for the time
// since the one before, but at most for sampleSpan.
type sampledAverage struct {
	// sum is the weighted sum of the samples, and weight the sum of their weights: the
	// share of the time of the average for which samples stand.
	sum, weight float64
	at          time.Time
}

// minSampledWeight is the smallest weight of an average that counts: samples stand for
// 1.5 s, more than two short spells. One sample after a silence, or in the first spell that
// is seen, must not show a long one.
const minSampledWeight = 0.45

func (a *sampledAverage) observe(value float64, now time.Time) {
	span := time.Duration(0) // The first sample stands for no time.
	if !a.at.IsZero() {
		span = max(0, now.Sub(a.at))
	}
	counted := min(span, sampleSpan)
	a.sum, a.weight = decay(a.sum, span), decay(a.weight, span)
	share := 1 - decay(1, counted)
	a.sum += share * value
	a.weight += share
	a.at = now
}

// value returns the average; ok is false if it has too few samples.
func (a *sampledAverage) value(now time.Time) (value float64, ok bool) {
	if a.weight == 0 || decay(a.weight, max(0, now.Sub(a.at)-sampleSpan)) < minSampledWeight {
		return 0, false
	}
	return a.sum / a.weight, true
}

// ObserveLoad records a load report: the number of requests of all hosts, of which own
// are this host's.
func (o *Observations) ObserveLoad(requests, own int, now time.Time) {
	o.otherInFlight, o.reportedAt = max(0, float64(requests-own)), now
	o.steadyOthers.observe(o.otherInFlight, steadyLoadTime, now)
}

// ObserveWorkTime records a reported work time, relative to the usual one.
func (o *Observations) ObserveWorkTime(workTime float64, now time.Time) {
	o.slowness.Observe(workTime, now)
}

// Slow reports whether the replica's machine is in a long slow spell by its work times.
func (o *Observations) Slow(now time.Time) bool { return o.slowness.Slowdown(now) > 1 }

// OtherInFlight returns the reported load of other hosts, decayed by its age.
func (o *Observations) OtherInFlight(now time.Time) float64 {
	if o.reportedAt.IsZero() {
		return 0
	}
	return o.otherInFlight * math.Exp(-float64(now.Sub(o.reportedAt))/float64(loadDecayTime))
}

// ReportAge returns the age of the last load report; zero without one.
func (o *Observations) ReportAge(now time.Time) time.Duration {
	if o.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(o.reportedAt)
}

// ObserveLatency records the time that the replica took for one unit of work.
func (o *Observations) ObserveLatency(took time.Duration, now time.Time) {
	if o.latency <= 0 || now.Sub(o.latencyAt) > latencyMaxAge {
		o.latency = took.Seconds()
	} else {
		o.latency += latencyWeight * (took.Seconds() - o.latency)
	}
	o.latencyAt = now
	o.steadyLatency.observe(took.Seconds(), now)
}

// Latencies are the median latencies of the replicas of a service, in seconds; zero if
// not known.
type Latencies struct{ recent, steady float64 }

// MedianLatencies returns the median latencies of the replicas with a recent measurement.
func MedianLatencies[T any](replicas []T, observations func(T) *Observations, now time.Time) Latencies {
	var recent, steady []float64
	for _, r := range replicas {
		o := observations(r)
		if o.hasLatency(now) {
			recent = append(recent, o.latency)
		}
		if value, ok := o.steadyLatency.value(now); ok {
			steady = append(steady, value)
		}
	}
	return Latencies{median(recent), median(steady)}
}

// median returns the median of values, which it sorts; zero if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func (o *Observations) hasLatency(now time.Time) bool {
	return o.latency > 0 && now.Sub(o.latencyAt) < latencyMaxAge
}

// Estimate is what a host expects of a replica from its observations.
type Estimate struct {
	// OtherInFlight is the estimated number of other hosts' requests in flight.
	OtherInFlight float64
	// OtherDrift is OtherInFlight less the number by the last report alone.
	OtherDrift float64
	// Slowdown is how many times longer work takes there than at the median replica; 1
	// if not known.
	Slowdown float64
}

// Estimate returns the estimate for a rollout or another request.
//
// Short slow spells don't count; see SlownessFilter. Neither do small differences of the
// measured latency: a plain service may get calls of 25 ms and of 200 ms, so that it shows
// which calls a host has sent rather than the replica's speed, and hosts that chose by it
// filled the apparently fastest replica first. The load of other hosts is an average over
// several reports, except for rollouts, which change the load of an engine for seconds.
//
// Rollouts at engines that don't report their work time are placed by the last measured
// latency, since events show the speed of an engine and nothing else tells a slow one.
func (o *Observations) Estimate(rollout bool, medians Latencies, now time.Time) Estimate {
	e := Estimate{OtherInFlight: o.OtherInFlight(now), Slowdown: 1}
	if rollout && !o.slowness.Known() {
		if o.hasLatency(now) && medians.recent > 0 {
			e.Slowdown = o.latency / medians.recent
		}
		return e
	}
	e.Slowdown = o.slowness.Slowdown(now)
	if latency, ok := o.steadyLatency.value(now); ok && medians.steady > 0 && latency >= slowFrom*medians.steady {
		e.Slowdown = max(e.Slowdown, latency/medians.steady)
	}
	if !rollout {
		last := e.OtherInFlight
		e.OtherInFlight = o.steadyOthers.value * math.Exp(-max(0, now.Sub(o.reportedAt)).Seconds()/steadyLoadDecayTime.Seconds())
		e.OtherDrift = e.OtherInFlight - last
	}
	return e
}
