package gateway

import (
	"cmp"
	"context"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/placement"
	"github.com/sapphirehatch/sapphirehatch/internal/routes"
	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

// Exchanger sends one request to one replica and reads the whole answer.
type Exchanger interface {
	// Exchange makes one attempt within ctx. Errors are *failure.Error: QueueFull
	// with outcome NotRun if the replica said that it did not run the request,
	// UpstreamUnreachable with outcome NotRun if no byte was sent, and outcome
	// Unknown otherwise. once asks for a request that can't be repeated.
	Exchange(ctx context.Context, target fleet.Replica, req *fasthttp.Request, resp *fasthttp.Response, once bool) error
}

// Gateway forwards requests.
type Gateway struct {
	fleet     *fleet.Fleet
	exchanger Exchanger
	domain    string
	events    *telemetry.Recorder
	log       logr.Logger
}

// New returns a gateway of a host in a failure domain. events may be nil.
func New(f *fleet.Fleet, exchanger Exchanger, domain string, events *telemetry.Recorder, log logr.Logger) *Gateway {
	return &Gateway{fleet: f, exchanger: exchanger, domain: domain, events: events, log: log}
}

// Call is one request.
type Call struct {
	// ID names the request in logs.
	ID string
	// Kind is the request's class in metrics.
	Kind telemetry.Kind
	// ConfigVersion is the version of the configuration that the route is of.
	ConfigVersion uint64
	Route         *routes.Route
	Request       *fasthttp.Request
	// Deadline is when the caller's wait ends.
	Deadline time.Time
}

// attemptResult is what one attempt brought.
type attemptResult struct {
	target fleet.Replica
	resp   *fasthttp.Response
	err    error
	took   time.Duration
}

// forwardCall is one call on its way.
type forwardCall struct {
	*Gateway
	call     Call
	service  string
	avoid    map[string]bool
	attempts int
	inFlight int
	results  chan attemptResult
	// unknown is true once a replica may have run the request.
	unknown bool
	// failures counts the answers of status 500.
	failures int
	// lastFailure is the latest answer with a failure of a replica's own.
	lastFailure *fasthttp.Response
	// answeredBy is the replica of the latest answer.
	answeredBy string
	// estimate is what the latest replica was chosen by.
	estimate   fleet.LoadEstimate
	attemptLog attemptLog
	err        error
}

// Report says what a call took.
type Report struct {
	// Attempts is the number of replicas that may have run the request.
	Attempts int
	// Failures is the number of their answers that the request failed, status 500.
	Failures int
}

// Handle forwards a request and fills resp with a replica's answer. The error is
// a *failure.Error with outcome NotRun only if no replica ran the request or will.
func (g *Gateway) Handle(ctx context.Context, call Call, resp *fasthttp.Response) (Report, error) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(-deadlineMargin))
	defer cancel()
	f := &forwardCall{
		Gateway: g, call: call, service: call.Route.ServiceFor(call.ID), avoid: map[string]bool{},
		results: make(chan attemptResult, max(1, call.Route.MaxAttempts)+1), attemptLog: attemptLog{began: began},
	}
	answer, err := f.run(ctx)
	if err != nil {
		e := failure.As(err)
		g.events.Event("request_failed")
		g.log.Info("request failed", "id", call.ID, "route", call.Route.Name, "service", f.service, "kind", e.Kind,
			"outcome", e.Outcome, "sent", f.attempts, "retry_after", e.RetryAfter, "configuration", call.ConfigVersion, "trail", f.attemptLog.String(), "error", e.Error())
		return f.report(), e
	}
	g.log.Info("request answered", append([]any{
		"id", call.ID, "route", call.Route.Name, "service", f.service, "replica", f.answeredBy,
		"status", answer.StatusCode(), "sent", f.attempts, "took", time.Since(began), "configuration", call.ConfigVersion, "trail", f.attemptLog.String(),
	}, f.estimate.LogFields()...)...)
	answer.CopyTo(resp)
	fasthttp.ReleaseResponse(answer)
	return f.report(), nil
}

func (f *forwardCall) report() Report { return Report{Attempts: f.attempts, Failures: f.failures} }

// run sends attempts until one brings an answer.
func (f *forwardCall) run(ctx context.Context) (*fasthttp.Response, error) {
	giveUp := time.Now().Add(slotTimeout(f.call.Route))
	for {
		if f.inFlight == 0 && !f.startAttempt(ctx) {
			if f.exhausted() {
				return f.finalResult(ctx)
			}
			if !f.waitForSlot(ctx, giveUp) {
				return f.finalResult(ctx)
			}
			continue
		}
		if answer := f.waitForAttempt(ctx); answer != nil {
			return answer, nil
		}
		if ctx.Err() != nil {
			return f.finalResult(ctx)
		}
	}
}

// exhausted reports whether no further attempt is allowed.
func (f *forwardCall) exhausted() bool {
	if f.attempts == 0 {
		return false
	}
	return f.attempts >= max(1, f.call.Route.MaxAttempts) || f.unknown && f.call.Route.Kind != routes.Idempotent
}

// startAttempt starts an attempt; it reports false if none is allowed or possible now.
func (f *forwardCall) startAttempt(ctx context.Context) bool {
	if f.exhausted() {
		return false
	}
	want := fleet.Requirements{Service: f.service, Request: placement.Request{Domain: f.domain, Avoid: f.avoid, AllowQueue: true}}
	target, err := f.fleet.Reserve(want)
	if err != nil {
		f.err = err
		return false
	}
	if len(f.avoid) == 0 {
		f.events.Queue(f.call.Kind, time.Since(f.attemptLog.began))
	}
	f.attempts++
	f.inFlight++
	f.avoid[target.ID] = true
	f.estimate = target.Estimate
	f.attemptLog.begin(target.ID)
	req := fasthttp.AcquireRequest()
	f.call.Request.CopyTo(req)
	go func() {
		defer fasthttp.ReleaseRequest(req)
		resp := fasthttp.AcquireResponse()
		began := time.Now()
		traced := telemetry.WithFirstByte(ctx, func() { f.events.FirstByte(f.call.Kind, time.Since(began)) })
		err := f.exchanger.Exchange(traced, target, req, resp, f.call.Route.Kind != routes.Idempotent)
		f.fleet.Release(target.ID)
		f.results <- attemptResult{target: target, resp: resp, err: err, took: time.Since(began)}
	}()
	return true
}

// waitForAttempt waits for an end of an attempt, or until another replica should be asked
// too. It returns the answer to give, or nil.
func (f *forwardCall) waitForAttempt(ctx context.Context) *fasthttp.Response {
	var hedge <-chan time.Time
	if wait := hedgeDelay(f.call.Route, f.attempts); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		hedge = timer.C
	}
	select {
	case result := <-f.results:
		return f.handleResult(ctx, result)
	case <-hedge:
		if f.startAttempt(ctx) {
			f.events.Event("second_replica_asked")
			f.log.Info("second replica asked", append([]any{"id", f.call.ID, "sent", f.attempts, "waited", time.Since(f.attemptLog.began)}, f.estimate.LogFields()...)...)
		}
	case <-ctx.Done():
	}
	return nil
}

// handleResult judges the end of an attempt.
func (f *forwardCall) handleResult(ctx context.Context, result attemptResult) *fasthttp.Response {
	f.inFlight--
	if result.err == nil {
		f.fleet.RecordSuccess(result.target.ID)
		f.fleet.ObserveLatency(result.target.ID, result.took)
		f.events.Exchange("whole", result.took)
		f.answeredBy = result.target.ID
		f.attemptLog.end(result.target.ID, strconv.Itoa(result.resp.StatusCode()))
		f.unknown = true
		if result.resp.StatusCode() == fasthttp.StatusInternalServerError {
			f.failures++
		}
		if result.resp.StatusCode() < fasthttp.StatusInternalServerError || f.exhausted() && f.inFlight == 0 {
			return result.resp
		}
		f.lastFailure = result.resp
		f.log.Info("replica answered with a failure", "id", f.call.ID, "replica", result.target.ID, "status", result.resp.StatusCode())
		return nil
	}
	f.err = result.err
	f.events.Event("attempt_failed")
	e := failure.As(result.err)
	f.attemptEnded(&f.attemptLog, f.call.ID, result.target, result.took, e)
	switch {
	case ctx.Err() != nil:
		f.unknown = f.unknown || e.Outcome != failure.NotRun
	case e.Outcome == failure.NotRun:
		// The replica did not run it, so the attempt does not count.
		f.attempts--
		f.recordFailure(result.target.ID, e)
	default:
		f.unknown = true
		f.recordFailure(result.target.ID, e)
	}
	return nil
}

// attemptEnded records the failure of a call's attempt in its trail and the log,
// with more keys and values.
func (g *Gateway) attemptEnded(t *attemptLog, id string, target fleet.Replica, took time.Duration, e *failure.Error, more ...any) {
	t.end(target.ID, string(e.Kind))
	g.log.Info("attempt ended", append([]any{
		"id", id, "replica", target.ID, "kind", e.Kind, "outcome", e.Outcome, "took", took, "error", e.Error(),
	}, append(more, target.Estimate.LogFields()...)...)...)
}

// recordFailure records the failure of an attempt at a replica.
func (g *Gateway) recordFailure(id string, e *failure.Error) {
	if e.Kind == failure.QueueFull {
		g.fleet.RecordRefusal(id, "")
		return
	}
	g.fleet.RecordFailure(id)
}

// waitForSlot waits for a change among the replicas; it reports false if the wait is over.
func (f *forwardCall) waitForSlot(ctx context.Context, giveUp time.Time) bool {
	left := time.Until(giveUp)
	if left <= 0 {
		return false
	}
	return pause.For(ctx, min(left, slotRetryInterval))
}

// finalResult is the end of a call that brought no success.
func (f *forwardCall) finalResult(ctx context.Context) (*fasthttp.Response, error) {
	switch {
	case f.lastFailure != nil:
		return f.lastFailure, nil
	case f.inFlight > 0 || f.unknown:
		kind := failure.UpstreamFailed
		if ctx.Err() != nil {
			kind = failure.DeadlineExceeded
		}
		return nil, failure.Wrap(cmp.Or(f.err, ctx.Err()), kind, failure.Unknown, "no replica of %s answered", f.service)
	}
	return nil, failure.Wrap(cmp.Or(f.err, ctx.Err()), failure.QueueFull, failure.NotRun, "no replica of %s took the request", f.service).WithRetryAfter(busyRetryAfter)
}
