package claim

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// methodOutcome asks a host how one of its claims ended.
const methodOutcome = "claim.outcome"

// replyMargin is left for the reply to travel back before the asking host's deadline.
const replyMargin = 100 * time.Millisecond

// defaultWait bounds the wait for another host's claim without a deadline.
const defaultWait = 10 * time.Second

// outcomeRequest names a claim of the asked host.
type outcomeRequest struct {
	Nonce string `msgpack:"n"`
	// WaitMillis is how long the asking host waits for a claim that still runs, in milliseconds.
	WaitMillis int64 `msgpack:"w"`
}

// claimState is what a host knows of its own claim.
type claimState string

const (
	claimEnded     claimState = "ended"
	claimRunning   claimState = "running"
	claimAbandoned claimState = "abandoned"
	claimForgotten claimState = "forgotten"
)

type outcomeReply struct {
	State   claimState `msgpack:"s"`
	Verdict *Verdict   `msgpack:"v,omitempty"`
}

// consult asks the holder of a claim how it ended. A claim that its holder
// gave up was never dispatched and never will be, so it may be taken over. No
// other answer, and no silence however long, permits that.
func (c *Registry) consult(ctx context.Context, claimed row) (v Verdict, abandoned bool) {
	reply, err := c.ask(ctx, claimed)
	if err != nil {
		return unknown("the host that claimed the idempotency key cannot be asked"), false
	}
	switch reply.State {
	case claimAbandoned:
		return Verdict{}, true
	case claimEnded:
		return *reply.Verdict, false
	case claimRunning:
		return unknown("the request with this idempotency key still runs"), false
	case claimForgotten:
	}
	return unknown("the host that claimed the idempotency key no longer knows its outcome"), false
}

func (c *Registry) ask(ctx context.Context, claimed row) (outcomeReply, error) {
	request := outcomeRequest{Nonce: claimed.Nonce, WaitMillis: remaining(ctx).Milliseconds()}
	if claimed.Incarnation == c.exchange.Self().Incarnation {
		return c.outcome(ctx, request), nil
	}
	host, ok := findHost(c.exchange, claimed.Incarnation)
	if !ok {
		return outcomeReply{}, failure.New(failure.PeerUnreachable, failure.NotRun, "host %q has gone", claimed.HostID)
	}
	payload, err := msgpack.Marshal(&request)
	if err != nil {
		return outcomeReply{}, failure.Wrap(err, failure.Internal, failure.NotRun, "a call cannot be encoded")
	}
	answer, err := c.exchange.Call(ctx, host.ID, methodOutcome, payload)
	if err != nil {
		return outcomeReply{}, err
	}
	var reply outcomeReply
	if err := msgpack.Unmarshal(answer, &reply); err != nil {
		return outcomeReply{}, failure.Wrap(err, failure.Internal, failure.Unknown, "an answer of host %q cannot be read", host.ID)
	}
	if reply.State == claimEnded && reply.Verdict == nil {
		return outcomeReply{}, failure.New(failure.Internal, failure.Unknown, "an answer of host %q has no verdict", host.ID)
	}
	return reply, nil
}

// answerOutcome is the peer.Handler of methodOutcome.
func (c *Registry) answerOutcome(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var request outcomeRequest
	if err := msgpack.Unmarshal(payload, &request); err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "a call cannot be read")
	}
	reply := c.outcome(ctx, request)
	return msgpack.Marshal(&reply)
}

// outcome waits for one of this process's claims to end. A claim that is
// reported as given up is never dispatched after: finish is the last step of a ticket.
func (c *Registry) outcome(ctx context.Context, request outcomeRequest) outcomeReply {
	r := c.book.claimOf(request.Nonce)
	if r == nil {
		return outcomeReply{State: claimForgotten}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMillis)*time.Millisecond)
	defer cancel()
	v, err := r.wait(ctx)
	switch {
	case err != nil:
		return outcomeReply{State: claimRunning}
	case r.abandoned:
		return outcomeReply{State: claimAbandoned}
	}
	return outcomeReply{State: claimEnded, Verdict: &v}
}

// remaining returns how long another host may take to answer.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultWait
	}
	return max(time.Until(deadline)-replyMargin, 0)
}

// findHost returns the host that runs as an incarnation.
func findHost(exchange peer.Exchange, incarnation string) (peer.Host, bool) {
	for _, h := range exchange.Hosts() {
		if h.Incarnation == incarnation {
			return h, true
		}
	}
	return peer.Host{}, false
}
