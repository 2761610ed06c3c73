package claim

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// methodOutcome is the peer call that returns the result of another host's claim.
const methodOutcome = "claim.outcome"

// replyMargin is the time reserved for the reply to arrive before the asking host's deadline.
const replyMargin = 100 * time.Millisecond

// defaultOutcomeWait is the wait for another host's claim if the request has no deadline.
const defaultOutcomeWait = 10 * time.Second

// outcomeRequest asks for the result of one of the receiver's claims.
type outcomeRequest struct {
	Nonce string `msgpack:"n"`
	// WaitMillis is how long to wait for a claim in progress, in milliseconds.
	WaitMillis int64 `msgpack:"w"`
}

// claimState is the state of a claim according to the process that made it.
type claimState string

const (
	// claimEnded means that the reply contains the result.
	claimEnded claimState = "ended"
	// claimRunning means that the claim did not end within the wait.
	claimRunning claimState = "running"
	// claimAbandoned means that the request did not run under the claim and never will.
	claimAbandoned claimState = "abandoned"
	// claimForgotten means that the process has no record of the claim.
	claimForgotten claimState = "forgotten"
)

// outcomeReply is the reply to an outcomeRequest.
type outcomeReply struct {
	State claimState `msgpack:"s"`
	// Result is set if State is claimEnded.
	Result *Result `msgpack:"v,omitempty"`
}

// queryHolder asks the process that made a claim for its result. abandoned is
// true if that process abandoned the claim; only then may another host take it
// over. Any other reply, or no reply for however long, does not permit that.
func (reg *Registry) queryHolder(ctx context.Context, claimed row) (res Result, abandoned bool) {
	reply, err := reg.requestOutcome(ctx, claimed)
	if err != nil {
		return unknownResult("the host that claimed the idempotency key cannot be asked"), false
	}
	switch reply.State {
	case claimAbandoned:
		return Result{}, true
	case claimEnded:
		return *reply.Result, false
	case claimRunning:
		return unknownResult("the request with this idempotency key still runs"), false
	case claimForgotten:
	}
	return unknownResult("the host that claimed the idempotency key no longer knows its outcome"), false
}

// requestOutcome gets the state of a claim from this process or from the host that made it.
func (reg *Registry) requestOutcome(ctx context.Context, claimed row) (outcomeReply, error) {
	request := outcomeRequest{Nonce: claimed.Nonce, WaitMillis: remainingTime(ctx).Milliseconds()}
	if claimed.Incarnation == reg.exchange.Self().Incarnation {
		return reg.outcome(ctx, request), nil
	}
	host, ok := findHost(reg.exchange, claimed.Incarnation)
	if !ok {
		return outcomeReply{}, failure.New(failure.PeerUnreachable, failure.NotRun, "the process of host %q that made the claim no longer runs", claimed.HostID)
	}
	payload, err := msgpack.Marshal(&request)
	if err != nil {
		return outcomeReply{}, failure.Wrap(err, failure.Internal, failure.NotRun, "the outcome request cannot be encoded")
	}
	encoded, err := reg.exchange.Call(ctx, host.ID, methodOutcome, payload)
	if err != nil {
		return outcomeReply{}, err
	}
	var reply outcomeReply
	if err := msgpack.Unmarshal(encoded, &reply); err != nil {
		return outcomeReply{}, failure.Wrap(err, failure.Internal, failure.Unknown, "the outcome reply of host %q cannot be decoded", host.ID)
	}
	if reply.State == claimEnded && reply.Result == nil {
		return outcomeReply{}, failure.New(failure.Internal, failure.Unknown, "the outcome reply of host %q has no result", host.ID)
	}
	return reply, nil
}

// handleOutcome is the peer.Handler of methodOutcome.
func (reg *Registry) handleOutcome(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var request outcomeRequest
	if err := msgpack.Unmarshal(payload, &request); err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the outcome request cannot be decoded")
	}
	reply := reg.outcome(ctx, request)
	return msgpack.Marshal(&reply)
}

// outcome waits for one of this process's claims to end and returns its state. The
// request of a claim that is reported as abandoned is not dispatched later, because
// Finish is the last step of a Claim.
func (reg *Registry) outcome(ctx context.Context, request outcomeRequest) outcomeReply {
	r := reg.records.findByNonce(request.Nonce)
	if r == nil {
		return outcomeReply{State: claimForgotten}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMillis)*time.Millisecond)
	defer cancel()
	res, err := r.wait(ctx)
	switch {
	case err != nil:
		return outcomeReply{State: claimRunning}
	case r.abandoned:
		return outcomeReply{State: claimAbandoned}
	}
	return outcomeReply{State: claimEnded, Result: &res}
}

// remainingTime returns how long another host may take to reply.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultOutcomeWait
	}
	return max(time.Until(deadline)-replyMargin, 0)
}

// findHost returns the host with an incarnation, and false if there is none.
func findHost(exchange peer.Exchange, incarnation string) (peer.Host, bool) {
	for _, h := range exchange.Hosts() {
		if h.Incarnation == incarnation {
			return h, true
		}
	}
	return peer.Host{}, false
}
