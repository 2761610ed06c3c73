// Package telemetry records metrics of a host: durations of requests, attempts and
// store calls, and counts of events. Names and label values of the metrics are a
// fixed set, which limits the number of series.
package telemetry

import (
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// Recorder records the metrics of one host.
type Recorder struct{ set *metrics.Set }

// New returns a Recorder without metrics.
func New() *Recorder { return &Recorder{set: metrics.NewSet()} }

// Write writes all metrics in the Prometheus text format.
func (r *Recorder) Write(w io.Writer) { r.set.WritePrometheus(w) }

// Gauge adds a gauge. read is called whenever the metrics are written. name must be a constant.
func (r *Recorder) Gauge(name string, read func() float64) { r.set.GetOrCreateGauge(name, read) }

// Gauges adds gauges that are read together. read is called whenever the metrics are written, and calls set for
// each gauge. The names must be constants.
func (r *Recorder) Gauges(read func(set func(name string, value float64))) {
	r.set.RegisterMetricsWriter(func(w io.Writer) {
		read(func(name string, value float64) { metrics.WriteGaugeFloat64(w, name, value) })
	})
}

// Kind is the kind of a request, used as a label.
type Kind string

// Kinds of requests. Plain and Stream requests go to an upstream and return their
// answer at once or as events. Submit creates a job, Results reads its results,
// Body reads the request body of one of its rollouts and End ends it. Score and
// Rollout requests are sent by this host's own jobs.
const (
	Plain   Kind = "plain"
	Stream  Kind = "stream"
	Submit  Kind = "submit"
	Results Kind = "results"
	Body    Kind = "body"
	End     Kind = "end"
	Score   Kind = "score"
	Rollout Kind = "rollout"
)

// Request records the duration of an ended request of a caller, and its error if it was refused.
func (r *Recorder) Request(kind Kind, took time.Duration, err error) {
	label := `{kind="` + string(kind) + `"}`
	r.set.GetOrCreateHistogram("sapphirehatch_request_seconds" + label).Update(took.Seconds())
	if err != nil {
		e := failure.As(err)
		r.set.GetOrCreateCounter(`sapphirehatch_refusals_total{kind="` + string(kind) + `",type="` + string(e.Kind) + `",outcome="` + string(e.Outcome) + `"}`).Inc()
	}
}

// StoreCall records the duration and the outcome of a call of the row service. call is its name, such as "read".
func (r *Recorder) StoreCall(call string, took time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(failure.As(err).Kind)
	}
	r.set.GetOrCreateHistogram(`sapphirehatch_store_seconds{call="` + call + `"}`).Update(took.Seconds())
	r.set.GetOrCreateCounter(`sapphirehatch_store_calls_total{call="` + call + `",outcome="` + outcome + `"}`).Inc()
}

// QueueWait records how long a request waited on this host until a replica could accept it. A nil Recorder
// records nothing; this also holds for FirstByte, AttemptPhase and Event.
func (r *Recorder) QueueWait(kind Kind, took time.Duration) {
	if r == nil {
		return
	}
	r.set.GetOrCreateHistogram(`sapphirehatch_queue_seconds{kind="` + string(kind) + `"}`).Update(took.Seconds())
}

// FirstByte records the time from the start of an attempt to the first byte or event of its answer.
func (r *Recorder) FirstByte(kind Kind, took time.Duration) {
	if r == nil {
		return
	}
	r.set.GetOrCreateHistogram(`sapphirehatch_first_byte_seconds{kind="` + string(kind) + `"}`).Update(took.Seconds())
}

// AttemptPhase records the time from the start of an attempt to the end of a phase; "whole" is the entire attempt.
func (r *Recorder) AttemptPhase(phase string, took time.Duration) {
	if r == nil {
		return
	}
	r.set.GetOrCreateHistogram(`sapphirehatch_attempt_seconds{phase="` + phase + `"}`).Update(took.Seconds())
}

// Event counts an event, such as "job_accepted". name must be a constant.
func (r *Recorder) Event(name string) {
	if r == nil {
		return
	}
	r.set.GetOrCreateCounter(`sapphirehatch_events_total{event="` + strings.ReplaceAll(name, `"`, "") + `"}`).Inc()
}
