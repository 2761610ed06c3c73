// Package telemetry counts and times what a host does. The names of series and
// the values of their labels are fixed here, so that their number is bounded.
package telemetry

import (
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// Recorder records events of one host.
type Recorder struct{ set *metrics.Set }

// New returns a recorder.
func New() *Recorder { return &Recorder{set: metrics.NewSet()} }

// Write writes all series as text.
func (r *Recorder) Write(w io.Writer) { r.set.WritePrometheus(w) }

// Gauge adds a series that is read when the text is written. name must be a constant of the program.
func (r *Recorder) Gauge(name string, read func() float64) { r.set.GetOrCreateGauge(name, read) }

// Gauges adds series that are read together when the text is written. Their names must be constants of the program.
func (r *Recorder) Gauges(read func(set func(name string, value float64))) {
	r.set.RegisterMetricsWriter(func(w io.Writer) {
		read(func(name string, value float64) { metrics.WriteGaugeFloat64(w, name, value) })
	})
}

// Kind is what a caller asked for.
type Kind string

// Kinds of requests. Score and Rollout are those of this host's own jobs.
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

// Request records an ended request of a caller; err is its refusal, or nil.
func (r *Recorder) Request(kind Kind, took time.Duration, err error) {
	label := `{kind="` + string(kind) + `"}`
	r.set.GetOrCreateHistogram("sapphirehatch_request_seconds" + label).Update(took.Seconds())
	if err != nil {
		e := failure.As(err)
		r.set.GetOrCreateCounter(`sapphirehatch_refusals_total{kind="` + string(kind) + `",type="` + string(e.Kind) + `",outcome="` + string(e.Outcome) + `"}`).Inc()
	}
}

// StoreCall records a call of the row service.
func (r *Recorder) StoreCall(call string, took time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(failure.As(err).Kind)
	}
	r.set.GetOrCreateHistogram(`sapphirehatch_store_seconds{call="` + call + `"}`).Update(took.Seconds())
	r.set.GetOrCreateCounter(`sapphirehatch_store_calls_total{call="` + call + `",outcome="` + outcome + `"}`).Inc()
}

// QueueWait records how long a request waited on this host for a place at a replica.
func (r *Recorder) QueueWait(kind Kind, took time.Duration) {
	if r == nil {
		return
	}
	r.set.GetOrCreateHistogram(`sapphirehatch_queue_seconds{kind="` + string(kind) + `"}`).Update(took.Seconds())
}

// FirstByte records the time from an attempt's start to the first byte of its answer, or its first event.
func (r *Recorder) FirstByte(kind Kind, took time.Duration) {
	if r == nil {
		return
	}
	r.set.GetOrCreateHistogram(`sapphirehatch_first_byte_seconds{kind="` + string(kind) + `"}`).Update(took.Seconds())
}

// AttemptPhase records an attempt at a replica up to a phase, such as "first_event" or "whole".
func (r *Recorder) AttemptPhase(phase string, took time.Duration) {
	if r == nil {
		return
	}
	r.set.GetOrCreateHistogram(`sapphirehatch_attempt_seconds{phase="` + phase + `"}`).Update(took.Seconds())
}

// Event counts something that happened, such as "job_accepted". name must be a constant of the program.
func (r *Recorder) Event(name string) {
	if r == nil {
		return
	}
	r.set.GetOrCreateCounter(`sapphirehatch_events_total{event="` + strings.ReplaceAll(name, `"`, "") + `"}`).Inc()
}
