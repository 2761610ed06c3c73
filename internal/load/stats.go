package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	maxHistogramMicros         = int64(10 * time.Minute / time.Microsecond)
	histogramSignificantDigits = 3
	percent50                  = 50
	percent90                  = 90
	percent99                  = 99
	percent999                 = 99.9
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHistogramMicros, histogramSignificantDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxHistogramMicros))
}

// Quantiles summarises a histogram of times. All fields but Count are in
// milliseconds.
type Quantiles struct {
	Count  int64   `json:"count"`
	Mean   float64 `json:"mean_ms"`
	P50    float64 `json:"p50_ms"`
	P90    float64 `json:"p90_ms"`
	P99    float64 `json:"p99_ms"`
	P999   float64 `json:"p999_ms"`
	Max    float64 `json:"max_ms"`
	StdDev float64 `json:"stddev_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const microsPerMilli = 1000
	milli := func(micros float64) float64 { return micros / microsPerMilli }
	return Quantiles{
		Count:  h.TotalCount(),
		Mean:   milli(h.Mean()),
		P50:    milli(float64(h.ValueAtPercentile(percent50))),
		P90:    milli(float64(h.ValueAtPercentile(percent90))),
		P99:    milli(float64(h.ValueAtPercentile(percent99))),
		P999:   milli(float64(h.ValueAtPercentile(percent999))),
		Max:    milli(float64(h.Max())),
		StdDev: milli(h.StdDev()),
	}
}

// quantilesOrNil returns nil for an empty histogram.
func quantilesOrNil(h *hdrhistogram.Histogram) *Quantiles {
	if h.TotalCount() == 0 {
		return nil
	}
	q := quantiles(h)
	return &q
}

// callerStats collects the requests of one caller. Requests scheduled before
// measuredFrom are counted, but left out of the histograms.
type callerStats struct {
	caller       Caller
	measuredFrom time.Time

	mu              sync.Mutex
	total           *hdrhistogram.Histogram
	firstByte       *hdrhistogram.Histogram
	unanswered      *hdrhistogram.Histogram
	sent            int
	overrun         int
	attempts        int
	outcomes        map[requestOutcome]int
	refusals        map[failure.Kind]int
	requests        []*request
	lastAnswer      time.Time
	longestGap      time.Duration
	longestGapStart time.Time
}

func newCallerStats(caller Caller, start, measuredFrom time.Time) *callerStats {
	return &callerStats{
		caller: caller, measuredFrom: measuredFrom, total: newHistogram(), firstByte: newHistogram(), unanswered: newHistogram(),
		outcomes: map[requestOutcome]int{}, refusals: map[failure.Kind]int{}, lastAnswer: start.Add(caller.Start),
	}
}

// add records a request that is done.
func (t *callerStats) add(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests = append(t.requests, r)
	t.sent++
	t.attempts += r.attempts
	t.outcomes[r.outcome]++
	for kind, n := range r.refusals {
		t.refusals[kind] += n
	}
	if r.outcome != outcomeAnswered {
		if !r.scheduled.Before(t.measuredFrom) {
			recordDuration(t.unanswered, r.done.Sub(r.scheduled))
		}
		return
	}
	if r.done.After(t.lastAnswer) {
		if gap := r.done.Sub(t.lastAnswer); gap > t.longestGap {
			t.longestGap, t.longestGapStart = gap, t.lastAnswer
		}
		t.lastAnswer = r.done
	}
	if r.scheduled.Before(t.measuredFrom) {
		return
	}
	recordDuration(t.total, r.done.Sub(r.scheduled))
	if !r.firstByte.IsZero() {
		recordDuration(t.firstByte, r.firstByte.Sub(r.scheduled))
	}
}

func (t *callerStats) addOverrun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overrun++
}
