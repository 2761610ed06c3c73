package filter

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/claim"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

// ErrNotAccepted is the failure of an attempt whose upstream was turned down.
var ErrNotAccepted = failure.New(failure.NoUpstream, failure.NotRun, "the upstream was turned down")

// Stream passes events of a streamed answer on to the caller.
type Stream interface {
	// Send writes one server-sent event's data. An error means that the caller has gone.
	Send(data []byte) error
	// Started reports whether any event was sent.
	Started() bool
}

// Request is one request on its way through the chain. One goroutine at a time uses it.
type Request struct {
	// ID identifies the request on this host, at the upstream and in the answer.
	ID string
	// Arrived is when the whole request had been read.
	Arrived time.Time
	// Document is the deployment document that the whole request is served by.
	Document *deployment.Document
	// Inbound is the caller's request. It belongs to the Request.
	Inbound *fasthttp.Request
	// Answer is filled with a buffered answer.
	Answer *fasthttp.Response
	// Stream is set while the answer may be streamed.
	Stream Stream
	// CallerGone, if set, reports whether the caller has closed its connection.
	CallerGone func() bool
	// Forwarded is true for a request that another host, which has authenticated and counted it, passed on.
	Forwarded bool

	// Tenant is the authenticated caller.
	Tenant string
	// Pool is the section that serves the request.
	Pool string
	// Kind is the kind of the pool's replicas.
	Kind  platform.MemberKind
	Class deployment.Class
	// Idempotent says whether the request may be dispatched more than once.
	Idempotent bool
	// AttemptTimeout bounds one attempt.
	AttemptTimeout time.Duration
	// Key is the request's use of an idempotency key; nil without one.
	Key *claim.Request
	// KeyOutcomeKnown is true once refusals are true of every use of the key, not of this request alone.
	KeyOutcomeKnown bool
	// Chat is the parsed body of a completion; nil otherwise.
	Chat *engineapi.ChatRequest

	// DispatchBy is the time on the monotonic clock after which no byte may be sent to an upstream; zero if there is none.
	DispatchBy time.Time
	// Avoid lists the upstreams of earlier attempts.
	Avoid []string
	// Alone asks for an upstream without other requests.
	Alone bool
	// Accept, if set, may turn down the upstream that was picked; the attempt then fails with ErrNotAccepted.
	Accept func(upstreamID string) bool
	// Crashed is true once an upstream crashed under the request.
	Crashed bool
	// Attempt counts dispatches, from 1.
	Attempt int
	// Upstream is the upstream of the last attempt.
	Upstream membership.Upstream
	// Partial is what earlier attempts at a completion have generated.
	Partial upstream.Generation

	// Queued is when the request joined its class's queue; Dispatched is when the first attempt began; FirstByte is when the first part of the answer was there.
	Queued     time.Time
	Dispatched time.Time
	FirstByte  time.Time

	leaveQueue func()
}

// OnDispatch sets the function that DispatchStarted calls once.
func (r *Request) OnDispatch(leave func()) { r.leaveQueue = leave }

// DispatchStarted records that the request has a place on an upstream and no longer waits.
func (r *Request) DispatchStarted(now time.Time) {
	if r.Dispatched.IsZero() {
		r.Dispatched = now
	}
	r.LeaveQueue()
}

// LeaveQueue ends the wait in the class queue. Further calls have no effect.
func (r *Request) LeaveQueue() {
	if r.leaveQueue != nil {
		r.leaveQueue()
		r.leaveQueue = nil
	}
}
