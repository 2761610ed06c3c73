package observe

import (
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	// maxTenants is the maximum number of tenants with their own metrics.
	maxTenants = 200
	// otherTenant is the label of all tenants beyond maxTenants.
	otherTenant = "other"
	// noTenant is the label of requests that were refused before their tenant was known.
	noTenant = "none"
	// noClass is the label of requests that were refused before their class was known.
	noClass = "none"
)

// Request is a request that has ended.
type Request struct {
	Tenant string
	Class  deployment.Class
	// Arrived, Dispatched and FirstByte are as in filter.Request; zero if the request did not get that far.
	Arrived, Dispatched, FirstByte, Ended time.Time
	// Attempts is the number of dispatches to an upstream.
	Attempts int
	// Err is the error of a refused request; nil if the caller received the complete answer.
	Err error
}

// series are the metrics of one tenant and class.
type series struct {
	queue, firstByte, total *metrics.Histogram
	retries                 *metrics.Counter
}

type seriesKey struct {
	tenant string
	class  deployment.Class
}

// Recorder records requests in a set of metrics.
type Recorder struct {
	set *metrics.Set

	mu sync.Mutex
	// tenants holds the tenants with their own metrics.
	tenants map[string]bool
	series  map[seriesKey]*series
}

// NewRecorder returns a Recorder that adds its metrics to set.
func NewRecorder(set *metrics.Set) *Recorder {
	return &Recorder{set: set, tenants: make(map[string]bool), series: make(map[seriesKey]*series)}
}

// Record records an ended request.
func (r *Recorder) Record(req Request) {
	s := r.seriesFor(req.Tenant, req.Class)
	s.total.Update(req.Ended.Sub(req.Arrived).Seconds())
	if !req.Dispatched.IsZero() {
		s.queue.Update(req.Dispatched.Sub(req.Arrived).Seconds())
	}
	if !req.FirstByte.IsZero() {
		s.firstByte.Update(req.FirstByte.Sub(req.Arrived).Seconds())
	}
	if req.Attempts > 1 {
		s.retries.Add(req.Attempts - 1)
	}
	if req.Err != nil {
		e := failure.As(req.Err)
		r.set.GetOrCreateCounter(`sapphirehatch_refusals_total{type="` + string(e.Kind) + `",outcome="` + string(e.Outcome) + `"}`).Inc()
	}
}

// Gauge adds a gauge. read is called whenever the metrics are written.
func (r *Recorder) Gauge(name string, read func() int) {
	r.set.GetOrCreateGauge(name, func() float64 { return float64(read()) })
}

func (r *Recorder) seriesFor(tenant string, class deployment.Class) *series {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := seriesKey{tenant: r.tenantLabel(tenant), class: class}
	s, ok := r.series[key]
	if !ok {
		s = r.newSeries(key)
		r.series[key] = s
	}
	return s
}

// tenantLabel returns the tenant's label value, of which there is a limited number. The caller holds mu.
func (r *Recorder) tenantLabel(tenant string) string {
	switch {
	case tenant == "":
		return noTenant
	case r.tenants[tenant]:
		return tenant
	case len(r.tenants) >= maxTenants:
		return otherTenant
	}
	r.tenants[tenant] = true
	return tenant
}

func (r *Recorder) newSeries(key seriesKey) *series {
	class := string(key.class)
	if class == "" {
		class = noClass
	}
	labels := "{tenant=" + strconv.Quote(key.tenant) + ",class=" + strconv.Quote(class) + "}"
	return &series{
		queue:     r.set.GetOrCreateHistogram("sapphirehatch_request_queue_seconds" + labels),
		firstByte: r.set.GetOrCreateHistogram("sapphirehatch_request_first_byte_seconds" + labels),
		total:     r.set.GetOrCreateHistogram("sapphirehatch_request_seconds" + labels),
		retries:   r.set.GetOrCreateCounter("sapphirehatch_retries_total" + labels),
	}
}
