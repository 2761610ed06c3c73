// Package crashguard is the filter that reports crashes of upstreams to the
// quarantine registry. It runs suspects, which are requests that may have caused
// crashes, as trials, and refuses quarantined requests.
package crashguard

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/quarantine"
)

// trialRetryInterval is the wait before a suspect requests a trial again after
// all upstreams were taken by other trials.
const trialRetryInterval = 50 * time.Millisecond

// Prober detects crashes of upstreams.
type Prober interface {
	// Crashed reports whether the process behind an upstream has ended.
	Crashed(ctx context.Context, u membership.Upstream) bool
}

// CrashGuard is the filter. It comes after the retry filter and handles each
// attempt separately.
type CrashGuard struct {
	registry *quarantine.Registry
	prober   Prober
}

// New returns the filter for a host's registry.
func New(registry *quarantine.Registry, prober Prober) *CrashGuard {
	return &CrashGuard{registry: registry, prober: prober}
}

// Provision implements filter.Filter.
func (f *CrashGuard) Provision(i do.Injector) (err error) {
	if f.registry, err = do.Invoke[*quarantine.Registry](i); err != nil {
		return err
	}
	f.prober, err = do.Invoke[*quarantine.Prober](i)
	return err
}

// Validate implements filter.Filter.
func (f *CrashGuard) Validate() error { return nil }

// Handle implements filter.Filter.
func (f *CrashGuard) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	fingerprint := quarantine.FingerprintOf(r.Pool, r.Inbound)
	state, crashed := f.registry.State(fingerprint)
	switch state {
	case quarantine.Quarantined:
		return failure.New(failure.Quarantined, failure.NotRun, "upstreams crashed when they ran this request")
	case quarantine.Suspect:
		r.Avoid = append(r.Avoid, crashed...)
		return f.runTrial(ctx, r, fingerprint, next)
	case quarantine.Clean:
	}
	err := next(ctx, r)
	f.recordOutcome(ctx, r, fingerprint, false, err)
	return err
}

// runTrial runs a suspect on an upstream on which no other suspect runs. Until it
// gets a trial there, it asks again every trialRetryInterval. If the request is no
// longer a suspect by then, runTrial passes it to Handle.
func (f *CrashGuard) runTrial(ctx context.Context, r *filter.Request, fingerprint quarantine.Fingerprint, next filter.Handler) error {
	avoid := r.Avoid
	reset := func() { r.Avoid, r.Alone, r.Accept = avoid, false, nil }
	defer reset()
	r.Alone = true
	var endTrial func()
	declined := ""
	r.Accept = func(upstreamID string) bool {
		endTrial = f.registry.BeginTrial(ctx, upstreamID, r.AttemptTimeout)
		if endTrial == nil {
			declined = upstreamID
		}
		return endTrial != nil
	}
	for {
		err := next(ctx, r)
		if endTrial != nil {
			f.recordOutcome(ctx, r, fingerprint, true, err)
			endTrial()
			return err
		}
		if !errors.Is(err, filter.ErrNotAccepted) {
			return err
		}
		if !slices.Contains(r.Avoid, declined) {
			r.Avoid = slices.Concat(r.Avoid, []string{declined})
			continue
		}
		// The router picks an avoided upstream only if no others are left.
		select {
		case <-time.After(trialRetryInterval):
			r.Avoid = avoid
		case <-ctx.Done():
			return failure.New(failure.DeadlineExceeded, failure.NotRun, "no upstream was free for a trial of the request within the deadline")
		}
		if state, _ := f.registry.State(fingerprint); state != quarantine.Suspect {
			reset()
			return f.Handle(ctx, r, next)
		}
	}
}

// recordOutcome records the end of an attempt in the registry.
func (f *CrashGuard) recordOutcome(ctx context.Context, r *filter.Request, fingerprint quarantine.Fingerprint, trial bool, err error) {
	if err == nil {
		f.registry.RecordSuccess(fingerprint)
		return
	}
	if !quarantine.ConnectionBroke(err) || !f.prober.Crashed(ctx, r.Upstream) {
		return
	}
	r.Crashed = true
	f.registry.RecordCrash(ctx, fingerprint, r.Upstream, trial)
}
