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
	steadyLoadTime      = 2 * time.Second
	steadyLoadDecayTime = 4 * time.Second
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
	steadyLatency timedAverage
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
	o.steadyLatency.observe(took.Seconds(), slownessTime, now)
}

// Latencies are the median latencies of the replicas of a service, in seconds; zero if
// not known.
type Latencies struct{ recent, steady float64 }

// MedianLatencies returns the median latencies of the replicas with a recent measurement.
func MedianLatencies[T any](replicas []T, observations func(T) *Observations, now time.Time) Latencies {
	var recent, steady []float64
	for _, r := range replicas {
		if o := observations(r); o.hasLatency(now) {
			recent, steady = append(recent, o.latency), append(steady, o.steadyLatency.value)
		}
	}
	if len(recent) == 0 {
		return Latencies{}
	}
	slices.Sort(recent)
	slices.Sort(steady)
	return Latencies{recent[len(recent)/2], steady[len(steady)/2]}
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
	measured := o.hasLatency(now) && medians.recent > 0
	if rollout && !o.slowness.Known() {
		if measured {
			e.Slowdown = o.latency / medians.recent
		}
		return e
	}
	e.Slowdown = o.slowness.Slowdown(now)
	if measured {
		if steady := o.steadyLatency.value / medians.steady; steady >= slowFrom {
			e.Slowdown = max(e.Slowdown, steady)
		}
	}
	if !rollout {
		last := e.OtherInFlight
		e.OtherInFlight = o.steadyOthers.value * math.Exp(-max(0, now.Sub(o.reportedAt)).Seconds()/steadyLoadDecayTime.Seconds())
		e.OtherDrift = e.OtherInFlight - last
	}
	return e
}
