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
	"github.com/sapphirehatch/sapphirehatch/internal/logline"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/placement"
	"github.com/sapphirehatch/sapphirehatch/internal/quarantine"
	"github.com/sapphirehatch/sapphirehatch/internal/routes"
	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

// Exchanger sends a request to a replica and reads the whole answer.
type Exchanger interface {
	// Exchange makes one attempt within ctx. once is true for a request that must
	// not run more than once. Errors are *failure.Error: of kind QueueFull with
	// outcome NotRun if the replica refused the request without running it, of kind
	// UpstreamUnreachable with outcome NotRun if no byte was sent, and with outcome
	// Unknown otherwise.
	Exchange(ctx context.Context, target fleet.Replica, req *fasthttp.Request, resp *fasthttp.Response, once bool) error
}

// CrashGuard refuses requests that crash the replicas that run them; see quarantine.Guard.
type CrashGuard interface {
	// Admit returns an error of kind Quarantined and outcome NotRun if a request is refused.
	Admit(f quarantine.Fingerprint) error
	// Answered is called when a replica has run a request and answered it. Answers with an
	// error status don't count: they may be given before the request is run.
	Answered(f quarantine.Fingerprint)
	// Failed is called when an attempt has failed. It may wait shortly until it is known
	// whether the replica has crashed.
	Failed(ctx context.Context, id string, f quarantine.Fingerprint, r fleet.Replica, err error)
}

// UsageCounter counts the requests of each team; see usage.Counter.
type UsageCounter interface {
	// Began counts a request that began to run at a replica at a time.
	Began(team string, at time.Time)
}

// Gateway forwards requests. It is safe for concurrent use.
type Gateway struct {
	fleet     *fleet.Fleet
	guard     CrashGuard
	exchanger Exchanger
	// usage may be nil.
	usage  UsageCounter
	domain string
	events *telemetry.Recorder
	log    logr.Logger
}

// New returns a gateway of a host. domain is the failure domain of the host; events
// may be nil.
func New(f *fleet.Fleet, exchanger Exchanger, guard CrashGuard, domain string, events *telemetry.Recorder, log logr.Logger) *Gateway {
	return &Gateway{fleet: f, exchanger: exchanger, guard: guard, domain: domain, events: events, log: log}
}

// SetUsageCounter sets the counter of the teams' requests. Call it before the first request.
func (g *Gateway) SetUsageCounter(usage UsageCounter) { g.usage = usage }

// countUsage counts a request that began to run at a time, unless it is on a public route
// or scores a rollout.
func (g *Gateway) countUsage(call Call, at time.Time) {
	if g.usage != nil && call.Team != "" && call.Kind != telemetry.Score {
		g.usage.Began(call.Team, at)
	}
}

// Call is a request of a caller.
type Call struct {
	// ID identifies the request in logs, and selects the service of a split route.
	ID string
	// Kind is the class of the request in metrics.
	Kind telemetry.Kind
	// ConfigVersion is the version of the configuration that contains the route.
	ConfigVersion uint64
	// Team is the name of the caller's team; empty on public routes, for calls of this host,
	// and without teams.
	Team    string
	Route   *routes.Route
	Request *fasthttp.Request
	// Fingerprint identifies the content of the request at the CrashGuard. Zero exempts
	// the request, for example a call on behalf of a job, which stays owed.
	Fingerprint quarantine.Fingerprint
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
}

// attemptResult is the result of one attempt: an answer or an error.
type attemptResult struct {
	target fleet.Replica
	resp   *fasthttp.Response
	err    error
	began  time.Time
	took   time.Duration
}

// forwardCall is the state of a request that is being forwarded. avoid holds the IDs
// of the replicas at which an attempt was made.
type forwardCall struct {
	*Gateway
	call    Call
	service string
	avoid   map[string]bool
	// attempts is the number of attempts that a replica may have run, and inFlight the
	// number of those without a result yet. results receives their results.
	attempts int
	inFlight int
	results  chan attemptResult
	// unknown is true once a replica may have run the request.
	unknown bool
	// failures is the number of answers with status 500.
	failures int
	// lastFailure is the last answer with a status of 500 or higher.
	lastFailure *fasthttp.Response
	// answeredBy is the replica of the last answer.
	answeredBy string
	// estimate is the load by which the last replica was chosen.
	estimate   fleet.LoadEstimate
	attemptLog attemptLog
	// err is the error of the last failed attempt or reservation.
	err error
	// running holds the start of each attempt in flight, by replica.
	running map[string]time.Time
	// mayHaveBegun is the earliest start of an ended attempt that a replica may have run;
	// zero if there is none. counted is true once the request was counted as usage.
	mayHaveBegun time.Time
	counted      bool
}

// Report is a summary of the attempts at a request.
type Report struct {
	// Attempts is the number of attempts that a replica may have run.
	Attempts int
	// Failures is the number of answers with status 500.
	Failures int
}

// Handle forwards a request and copies the answer of a replica to resp. The error
// is a *failure.Error; its outcome is NotRun only if no replica has run the request
// or will run it.
func (g *Gateway) Handle(ctx context.Context, call Call, resp *fasthttp.Response) (Report, error) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(-deadlineMargin))
	defer cancel()
	f := &forwardCall{
		Gateway: g, call: call, service: call.Route.ServiceFor(call.ID), avoid: map[string]bool{},
		results: make(chan attemptResult, max(1, call.Route.MaxAttempts)+1), attemptLog: attemptLog{began: began},
		running: map[string]time.Time{},
	}
	g.fleet.BeginRequest(f.service)
	defer g.fleet.EndRequest(f.service)
	answer, err := f.run(ctx)
	// An attempt may have run although a later one was answered with an error status.
	f.count(f.firstBegun())
	if err != nil {
		e := failure.As(err)
		g.events.Event("request_failed")
		logline.WithTeam(g.log, call.Team).Info("request failed", "id", call.ID, "route", call.Route.Name, "service", f.service, "kind", e.Kind,
			"outcome", e.Outcome, "sent", f.attempts, "retry_after", e.RetryAfter, "configuration", call.ConfigVersion, "trail", f.attemptLog.String(), "error", e.Error())
		return f.report(), e
	}
	logline.WithTeam(g.log, call.Team).Info("request answered", append([]any{
		"id", call.ID, "route", call.Route.Name, "service", f.service, "replica", f.answeredBy,
		"status", answer.StatusCode(), "sent", f.attempts, "took", time.Since(began), "configuration", call.ConfigVersion, "trail", f.attemptLog.String(),
	}, f.estimate.LogFields()...)...)
	moveAnswer(answer, resp)
	fasthttp.ReleaseResponse(answer)
	return f.report(), nil
}

// copiedBodyBytes is the largest body of an answer that is copied. Copying a small body lets
// the HTTP library reuse its buffer; of a larger one there is only one copy in memory.
const copiedBodyBytes = 64 << 10

// shareRequest makes to a request with the header of from and the same body, which neither may
// change.
func shareRequest(from, to *fasthttp.Request) {
	from.Header.CopyTo(&to.Header)
	to.SetBodyRaw(from.Body())
}

// moveAnswer moves an answer to the response to the caller.
func moveAnswer(from, to *fasthttp.Response) {
	body := from.Body()
	if len(body) <= copiedBodyBytes {
		from.CopyTo(to)
		return
	}
	from.SwapBody(nil)
	from.CopyTo(to)
	to.SetBodyRaw(body)
}

// report returns the summary of the attempts made so far.
func (f *forwardCall) report() Report { return Report{Attempts: f.attempts, Failures: f.failures} }

// run makes attempts until one yields an answer for the caller, no further attempt
// is allowed, no slot becomes free in time, or ctx ends.
func (f *forwardCall) run(ctx context.Context) (*fasthttp.Response, error) {
	giveUp := time.Now().Add(slotTimeout(f.call.Route))
	for {
		if f.inFlight == 0 && !f.startAttempt(ctx) {
			if f.exhausted() || failure.IsKind(f.err, failure.Quarantined) {
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

// startAttempt starts an attempt. It reports false if none is allowed or no replica
// can take the request now.
func (f *forwardCall) startAttempt(ctx context.Context) bool {
	if f.exhausted() {
		return false
	}
	if err := f.guard.Admit(f.call.Fingerprint); err != nil {
		f.err = err
		return false
	}
	want := fleet.Requirements{Service: f.service, Request: placement.Request{Domain: f.domain, Avoid: f.avoid, AllowQueue: true}}
	target, err := f.fleet.Reserve(want)
	if err != nil {
		f.err = err
		return false
	}
	if len(f.avoid) == 0 {
		f.events.QueueWait(f.call.Kind, time.Since(f.attemptLog.began))
	}
	f.attempts++
	f.inFlight++
	f.avoid[target.ID] = true
	f.estimate = target.Estimate
	f.attemptLog.begin(target.ID)
	began := time.Now()
	f.running[target.ID] = began
	req := fasthttp.AcquireRequest()
	shareRequest(f.call.Request, req)
	go func() {
		defer fasthttp.ReleaseRequest(req)
		resp := fasthttp.AcquireResponse()
		traced := telemetry.WithFirstByteHook(ctx, func() { f.events.FirstByte(f.call.Kind, time.Since(began)) })
		err := f.exchanger.Exchange(traced, target, req, resp, f.call.Route.Kind != routes.Idempotent)
		f.fleet.Release(target.ID)
		switch {
		case err == nil && resp.StatusCode() < fasthttp.StatusBadRequest:
			f.guard.Answered(f.call.Fingerprint)
		case err != nil:
			f.guard.Failed(ctx, f.call.ID, f.call.Fingerprint, target, err)
		}
		f.results <- attemptResult{target: target, resp: resp, err: err, began: began, took: time.Since(began)}
	}()
	return true
}

// waitForAttempt waits until an attempt ends, or starts a hedged attempt after the
// hedge delay. It returns the answer for the caller, or nil if there is none yet.
func (f *forwardCall) waitForAttempt(ctx context.Context) *fasthttp.Response {
	var hedge <-chan time.Time
	if wait := hedgeDelay(f.call.Route, f.attempts); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		hedge = timer.C
	}
	var counting <-chan time.Time
	if timer := f.usageTimer(); timer != nil {
		defer timer.Stop()
		counting = timer.C
	}
	for {
		select {
		case result := <-f.results:
			return f.handleResult(ctx, result)
		case <-counting:
			f.count(f.firstBegun())
			continue
		case <-hedge:
			if f.startAttempt(ctx) {
				f.events.Event("second_replica_asked")
				f.log.Info("second replica asked", append([]any{"id", f.call.ID, "sent", f.attempts, "waited", time.Since(f.attemptLog.began)}, f.estimate.LogFields()...)...)
			}
		case <-ctx.Done():
		}
		return nil
	}
}

// handleResult records the end of an attempt. It returns the answer for the caller,
// or nil if there is none yet.
func (f *forwardCall) handleResult(ctx context.Context, result attemptResult) *fasthttp.Response {
	f.inFlight--
	delete(f.running, result.target.ID)
	if result.err == nil {
		if status := result.resp.StatusCode(); status < fasthttp.StatusBadRequest || status == fasthttp.StatusInternalServerError {
			f.count(result.began)
		}
		f.fleet.RecordSuccess(result.target.ID)
		f.fleet.ObserveLatency(result.target.ID, result.took)
		f.events.AttemptPhase("whole", result.took)
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
	if e.Outcome != failure.NotRun && (f.mayHaveBegun.IsZero() || result.began.Before(f.mayHaveBegun)) {
		f.mayHaveBegun = result.began
	}
	f.attemptEnded(&f.attemptLog, f.call.ID, result.target, result.took, e)
	switch {
	case ctx.Err() != nil:
		f.unknown = f.unknown || e.Outcome != failure.NotRun
	case e.Outcome == failure.NotRun:
		// The replica did not run the request, so the attempt does not count.
		f.attempts--
		f.recordFailure(result.target.ID, e)
	default:
		f.unknown = true
		f.recordFailure(result.target.ID, e)
	}
	return nil
}

// attemptEnded records a failed attempt in the attempt log of the request and in
// the host's log, there with additional keys and values.
func (g *Gateway) attemptEnded(t *attemptLog, id string, target fleet.Replica, took time.Duration, e *failure.Error, more ...any) {
	t.end(target.ID, string(e.Kind))
	g.log.Info("attempt ended", append([]any{
		"id", id, "replica", target.ID, "kind", e.Kind, "outcome", e.Outcome, "took", took, "error", e.Error(),
	}, append(more, target.Estimate.LogFields()...)...)...)
}

// recordFailure reports a failed attempt to the fleet, which starts the replica's
// backoff.
func (g *Gateway) recordFailure(id string, e *failure.Error) {
	if e.Kind == failure.Overloaded {
		// This host had no memory for the answer.
		return
	}
	if e.Kind == failure.QueueFull {
		g.fleet.RecordRefusal(id, "")
		return
	}
	g.fleet.RecordFailure(id)
}

// retryAfterOf returns the time after which a reservation that failed with err may
// succeed; zero if not known.
func retryAfterOf(err error) time.Duration {
	if err == nil {
		return 0
	}
	return failure.As(err).RetryAfter
}

// waitForSlot waits until the next try to reserve a slot. It reports false if no slot
// becomes free before giveUp or ctx has ended.
func (f *forwardCall) waitForSlot(ctx context.Context, giveUp time.Time) bool {
	left := time.Until(giveUp)
	if left <= 0 || retryAfterOf(f.err) > left {
		return false
	}
	return pause.For(ctx, min(left, slotRetryInterval))
}

// finalResult returns the result of a request without a successful answer: the last
// failure of a replica, or an error.
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
	case failure.IsKind(f.err, failure.Quarantined):
		return nil, f.err
	}
	f.fleet.RecordUnmet(f.service)
	return nil, failure.Wrap(cmp.Or(f.err, ctx.Err()), failure.QueueFull, failure.NotRun, "no replica of service %s accepted the request", f.service).
		WithRetryAfter(max(busyRetryAfter, retryAfterOf(f.err)))
}
