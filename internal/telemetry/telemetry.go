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

// Recorder records the metrics of one host. On a nil Recorder, QueueWait, FirstByte,
// AttemptPhase, ControlCall, Event and EventN do nothing: components that call them may run without metrics.
type Recorder struct{ set *metrics.Set }

// New returns a Recorder without metrics.
func New() *Recorder { return &Recorder{set: metrics.NewSet()} }

// Write writes all metrics in the Prometheus text format.
func (r *Recorder) Write(w io.Writer) { r.set.WritePrometheus(w) }

// Gauge adds a gauge. read is called whenever the metrics are written. name must be one of a fixed set.
func (r *Recorder) Gauge(name string, read func() float64) { r.set.GetOrCreateGauge(name, read) }

// Gauges adds gauges that are read together. read is called whenever the metrics are written, and calls set for
// each gauge. The names must be a fixed set.
func (r *Recorder) Gauges(read func(set func(name string, value float64))) {
	r.set.RegisterMetricsWriter(func(w io.Writer) {
		read(func(name string, value float64) { metrics.WriteGaugeFloat64(w, name, value) })
	})
}

// Kind is the kind of a request, used as a label.
type Kind string

// Kinds of requests.
const (
	// Plain requests go to an upstream and get one complete answer.
	Plain Kind = "plain"
	// Stream requests go to an upstream and get a stream of events.
	Stream Kind = "stream"
	// JobSubmit requests create a job.
	JobSubmit Kind = "submit"
	// JobResults requests read the results of a job.
	JobResults Kind = "results"
	// RolloutBody requests read the request body of one rollout of a job.
	RolloutBody Kind = "body"
	// JobEnd requests end a job.
	JobEnd Kind = "end"
	// Score requests are sent by this host to score rollouts.
	Score Kind = "score"
	// Rollout requests are sent by this host to run rollouts.
	Rollout Kind = "rollout"
)

// Request records the duration of a caller's request that has ended, and counts err, unless it is nil, by kind and
// outcome.
func (r *Recorder) Request(kind Kind, took time.Duration, err error) {
	label := `{kind="` + string(kind) + `"}`
	r.set.GetOrCreateHistogram("sapphirehatch_request_seconds" + label).Update(took.Seconds())
	if err != nil {
		e := failure.As(err)
		r.set.GetOrCreateCounter(`sapphirehatch_refusals_total{kind="` + string(kind) + `",type="` + string(e.Kind) + `",outcome="` + string(e.Outcome) + `"}`).Inc()
	}
}

// StoreCall records the duration and the outcome of a call to the row store. call is its name, such as "read".
func (r *Recorder) StoreCall(call string, took time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(failure.As(err).Kind)
	}
	r.set.GetOrCreateHistogram(`sapphirehatch_store_seconds{call="` + call + `"}`).Update(took.Seconds())
	r.set.GetOrCreateCounter(`sapphirehatch_store_calls_total{call="` + call + `",outcome="` + outcome + `"}`).Inc()
}

// ControlCall records the duration and the outcome of a call to the control API. call is its name, such as "usage".
func (r *Recorder) ControlCall(call string, took time.Duration, err error) {
	if r == nil {
		return
	}
	outcome := "ok"
	if err != nil {
		outcome = string(failure.As(err).Kind)
	}
	r.set.GetOrCreateHistogram(`sapphirehatch_control_seconds{call="` + call + `"}`).Update(took.Seconds())
	r.set.GetOrCreateCounter(`sapphirehatch_control_calls_total{call="` + call + `",outcome="` + outcome + `"}`).Inc()
}

// QueueWait records how long a request waited on this host until an upstream could accept it.
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

// AttemptPhase records the time from the start of an attempt to the end of one of its phases. The only phase recorded
// is "whole", the entire attempt.
func (r *Recorder) AttemptPhase(phase string, took time.Duration) {
	if r == nil {
		return
	}
	r.set.GetOrCreateHistogram(`sapphirehatch_attempt_seconds{phase="` + phase + `"}`).Update(took.Seconds())
}

// Event counts an event, such as "job_accepted". name must be one of a fixed set. Quotes in it are removed, because
// they would end the label value.
func (r *Recorder) Event(name string) { r.EventN(name, 1) }

// EventN is like Event, for n events at once.
func (r *Recorder) EventN(name string, n int64) {
	if r == nil {
		return
	}
	r.set.GetOrCreateCounter(`sapphirehatch_events_total{event="` + strings.ReplaceAll(name, `"`, "") + `"}`).AddInt64(n)
}
