// Package measure is the filter that records each request in the metrics.
package measure

import (
	"context"
	"time"

	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/drain"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/observe"
	"github.com/sapphirehatch/sapphirehatch/internal/quarantine"
)

// Measure is the filter.
type Measure struct {
	filter.Base
	recorder *observe.Recorder
}

// New returns the filter with a recorder.
func New(recorder *observe.Recorder) *Measure { return &Measure{recorder: recorder} }

// Provision implements filter.Filter.
func (f *Measure) Provision(i do.Injector) (err error) {
	if f.recorder, err = do.Invoke[*observe.Recorder](i); err != nil {
		return err
	}
	registry, err := do.Invoke[*quarantine.Registry](i)
	if err != nil {
		return err
	}
	stop, err := do.Invoke[*drain.Drain](i)
	if err != nil {
		return err
	}
	f.recorder.Gauge("sapphirehatch_quarantined_requests", registry.Quarantined)
	f.recorder.Gauge("sapphirehatch_requests_in_flight", stop.InFlight)
	return nil
}

// Handle implements filter.Filter. A request forwarded by another host is
// recorded on that host.
func (f *Measure) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	err := next(ctx, r)
	if !r.Forwarded {
		f.recorder.Record(observe.Request{
			Tenant:     r.Tenant,
			Class:      r.Class,
			Arrived:    r.Arrived,
			Dispatched: r.Dispatched,
			FirstByte:  r.FirstByte,
			Ended:      time.Now(),
			Attempts:   r.Attempt,
			Err:        err,
		})
	}
	return err
}
