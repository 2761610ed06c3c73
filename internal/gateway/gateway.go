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

// outcome is what one attempt brought.
type outcome struct {
	target fleet.Replica
	resp   *fasthttp.Response
	err    error
	took   time.Duration
}

// forward is one call on its way.
type forward struct {
	*Gateway
	call    Call
	service string
	avoid   map[string]bool
	sent    int
	flying  int
	ends    chan outcome
	// unknown is true once a replica may have run the request.
	unknown bool
	// failures counts the answers of status 500.
	failures int
	// last is the latest answer with a failure of a replica's own.
	last *fasthttp.Response
	// answeredBy is the replica of the latest answer.
	answeredBy string
	// basis is what the latest replica was chosen by.
	basis fleet.Basis
	trail trail
	err   error
}

// Report says what a call took.
type Report struct {
	// Sent is the number of replicas that may have run the request.
	Sent int
	// Failures is the number of their answers that the request failed, status 500.
	Failures int
}

// Handle forwards a request and fills resp with a replica's answer. The error is
// a *failure.Error with outcome NotRun only if no replica ran the request or will.
func (g *Gateway) Handle(ctx context.Context, call Call, resp *fasthttp.Response) (Report, error) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(-answerMargin))
	defer cancel()
	f := &forward{
		Gateway: g, call: call, service: call.Route.ServiceFor(call.ID), avoid: map[string]bool{},
		ends: make(chan outcome, max(1, call.Route.MaxAttempts)+1), trail: trail{began: began},
	}
	answer, err := f.run(ctx)
	if err != nil {
		e := failure.As(err)
		g.events.Event("request_failed")
		g.log.Info("request failed", "id", call.ID, "route", call.Route.Name, "service", f.service, "kind", e.Kind,
			"outcome", e.Outcome, "sent", f.sent, "retry_after", e.RetryAfter, "configuration", call.ConfigVersion, "trail", f.trail.String(), "error", e.Error())
		return f.report(), e
	}
	g.log.Info("request answered", append([]any{
		"id", call.ID, "route", call.Route.Name, "service", f.service, "replica", f.answeredBy,
		"status", answer.StatusCode(), "sent", f.sent, "took", time.Since(began), "configuration", call.ConfigVersion, "trail", f.trail.String(),
	}, f.basis.Fields()...)...)
	answer.CopyTo(resp)
	fasthttp.ReleaseResponse(answer)
	return f.report(), nil
}

func (f *forward) report() Report { return Report{Sent: f.sent, Failures: f.failures} }

// run sends attempts until one brings an answer.
func (f *forward) run(ctx context.Context) (*fasthttp.Response, error) {
	giveUp := time.Now().Add(placeWait(f.call.Route))
	for {
		if f.flying == 0 && !f.next(ctx) {
			if f.done() {
				return f.result(ctx)
			}
			if !f.waitForPlace(ctx, giveUp) {
				return f.result(ctx)
			}
			continue
		}
		if answer := f.await(ctx); answer != nil {
			return answer, nil
		}
		if ctx.Err() != nil {
			return f.result(ctx)
		}
	}
}

// done reports whether no further attempt is allowed.
func (f *forward) done() bool {
	if f.sent == 0 {
		return false
	}
	return f.sent >= max(1, f.call.Route.MaxAttempts) || f.unknown && f.call.Route.Kind != routes.Idempotent
}

// next starts an attempt; it reports false if none is allowed or possible now.
func (f *forward) next(ctx context.Context) bool {
	if f.done() {
		return false
	}
	want := fleet.Want{Service: f.service, Request: placement.Request{Domain: f.domain, Avoid: f.avoid, Queue: true}}
	target, err := f.fleet.Reserve(want)
	if err != nil {
		f.err = err
		return false
	}
	if len(f.avoid) == 0 {
		f.events.Queue(f.call.Kind, time.Since(f.trail.began))
	}
	f.sent++
	f.flying++
	f.avoid[target.ID] = true
	f.basis = target.Basis
	f.trail.begin(target.ID)
	req := fasthttp.AcquireRequest()
	f.call.Request.CopyTo(req)
	go func() {
		defer fasthttp.ReleaseRequest(req)
		resp := fasthttp.AcquireResponse()
		began := time.Now()
		traced := telemetry.WithFirstByte(ctx, func() { f.events.FirstByte(f.call.Kind, time.Since(began)) })
		err := f.exchanger.Exchange(traced, target, req, resp, f.call.Route.Kind != routes.Idempotent)
		f.fleet.Release(target.ID)
		f.ends <- outcome{target: target, resp: resp, err: err, took: time.Since(began)}
	}()
	return true
}

// await waits for an end of an attempt, or until another replica should be asked
// too. It returns the answer to give, or nil.
func (f *forward) await(ctx context.Context) *fasthttp.Response {
	var hedge <-chan time.Time
	if wait := patience(f.call.Route, f.sent); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		hedge = timer.C
	}
	select {
	case end := <-f.ends:
		return f.take(ctx, end)
	case <-hedge:
		if f.next(ctx) {
			f.events.Event("second_replica_asked")
			f.log.Info("second replica asked", append([]any{"id", f.call.ID, "sent", f.sent, "waited", time.Since(f.trail.began)}, f.basis.Fields()...)...)
		}
	case <-ctx.Done():
	}
	return nil
}

// take judges the end of an attempt.
func (f *forward) take(ctx context.Context, end outcome) *fasthttp.Response {
	f.flying--
	if end.err == nil {
		f.fleet.Succeeded(end.target.ID)
		f.fleet.Paced(end.target.ID, end.took)
		f.events.Exchange("whole", end.took)
		f.answeredBy = end.target.ID
		f.trail.end(end.target.ID, strconv.Itoa(end.resp.StatusCode()))
		f.unknown = true
		if end.resp.StatusCode() == fasthttp.StatusInternalServerError {
			f.failures++
		}
		if end.resp.StatusCode() < fasthttp.StatusInternalServerError || f.done() && f.flying == 0 {
			return end.resp
		}
		f.last = end.resp
		f.log.Info("replica answered with a failure", "id", f.call.ID, "replica", end.target.ID, "status", end.resp.StatusCode())
		return nil
	}
	f.err = end.err
	f.events.Event("attempt_failed")
	e := failure.As(end.err)
	f.attemptEnded(&f.trail, f.call.ID, end.target, end.took, e)
	switch {
	case ctx.Err() != nil:
		f.unknown = f.unknown || e.Outcome != failure.NotRun
	case e.Outcome == failure.NotRun:
		// The replica did not run it, so the attempt does not count.
		f.sent--
		f.leaveAlone(end.target.ID, e)
	default:
		f.unknown = true
		f.leaveAlone(end.target.ID, e)
	}
	return nil
}

// attemptEnded records the failure of a call's attempt in its trail and the log,
// with more keys and values.
func (g *Gateway) attemptEnded(t *trail, id string, target fleet.Replica, took time.Duration, e *failure.Error, more ...any) {
	t.end(target.ID, string(e.Kind))
	g.log.Info("attempt ended", append([]any{
		"id", id, "replica", target.ID, "kind", e.Kind, "outcome", e.Outcome, "took", took, "error", e.Error(),
	}, append(more, target.Basis.Fields()...)...)...)
}

// leaveAlone records the failure of an attempt at a replica.
func (g *Gateway) leaveAlone(id string, e *failure.Error) {
	if e.Kind == failure.QueueFull {
		g.fleet.Refused(id, "")
		return
	}
	g.fleet.Failed(id)
}

// waitForPlace waits for a change among the replicas; it reports false if the wait is over.
func (f *forward) waitForPlace(ctx context.Context, giveUp time.Time) bool {
	left := time.Until(giveUp)
	if left <= 0 {
		return false
	}
	return pause.For(ctx, min(left, placePause))
}

// result is the end of a call that brought no success.
func (f *forward) result(ctx context.Context) (*fasthttp.Response, error) {
	switch {
	case f.last != nil:
		return f.last, nil
	case f.flying > 0 || f.unknown:
		kind := failure.UpstreamFailed
		if ctx.Err() != nil {
			kind = failure.DeadlineExceeded
		}
		return nil, failure.Wrap(cmp.Or(f.err, ctx.Err()), kind, failure.Unknown, "no replica of %s answered", f.service)
	}
	return nil, failure.Wrap(cmp.Or(f.err, ctx.Err()), failure.QueueFull, failure.NotRun, "no replica of %s took the request", f.service).WithRetryAfter(retrySoon)
}
