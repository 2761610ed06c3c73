package routing

import (
	"math"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
)

const (
	// reportDecay is the time constant with which the weight of a load report
	// decays: a report of this age has the weight 1/e.
	reportDecay = 5 * time.Second
	// historySamples is the number of samples kept of this host's requests in flight.
	historySamples = 64
)

// sample is the number of this host's requests in flight at a point in time.
type sample struct {
	at       time.Time
	inFlight int
}

// loadEstimate estimates a replica's load from its last load report and the
// requests that this host has sent since.
type loadEstimate struct {
	report     engineapi.LoadReport
	reportedAt time.Time // when the replica made the report; zero before the first
	// history is a ring buffer; next is the number of samples recorded.
	history [historySamples]sample
	next    int
}

// record adds a sample of this host's requests in flight.
func (e *loadEstimate) record(inFlight int, now time.Time) {
	e.history[e.next%historySamples] = sample{at: now, inFlight: inFlight}
	e.next++
}

// setReport stores a report that was received at now.
func (e *loadEstimate) setReport(report engineapi.LoadReport, now time.Time) {
	e.report = report
	e.reportedAt = now.Add(-time.Duration(report.AgeMillis) * time.Millisecond)
}

// utilization returns the estimated number of requests on the replica divided
// by its slots. slots is used if the replica reports none.
func (e *loadEstimate) utilization(inFlight, slots int, now time.Time) float64 {
	if e.report.Slots > 0 {
		slots = e.report.Slots
	}
	return e.requests(inFlight, now) / float64(max(1, slots))
}

// requests returns the estimated number of requests on the replica. The
// requests of other hosts are known from the report only, and weigh less as the
// report ages.
func (e *loadEstimate) requests(inFlight int, now time.Time) float64 {
	if e.reportedAt.IsZero() {
		return float64(inFlight)
	}
	others := e.report.Running + e.report.Waiting - e.inFlightAt(e.reportedAt)
	weight := math.Exp(-float64(now.Sub(e.reportedAt)) / float64(reportDecay))
	return float64(inFlight) + weight*float64(max(0, others))
}

// inFlightAt returns the number of this host's requests in flight at a past time,
// by the last sample that is not later; zero if no sample is old enough.
func (e *loadEstimate) inFlightAt(at time.Time) int {
	newest := min(e.next, historySamples)
	for i := 1; i <= newest; i++ {
		s := e.history[(e.next-i)%historySamples]
		if !s.at.After(at) {
			return s.inFlight
		}
	}
	return 0
}
