package home

import (
	"bufio"
	"bytes"
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/claim"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// methodRequest is the peer call that forwards a request to the home of its key.
const methodRequest = "home.request"

const (
	// replyMargin is the time reserved for the reply to arrive before the caller's deadline.
	replyMargin = 50 * time.Millisecond
	// defaultTimeout is how long the home may take to reply to a request without a deadline.
	defaultTimeout = 30 * time.Second
)

// forwardedRequest is the payload of methodRequest.
type forwardedRequest struct {
	// ID is the request id.
	ID     string `msgpack:"i"`
	Tenant string `msgpack:"t"`
	// Deadline is the request's deadline on the home's monotonic clock, as the
	// time since the home started.
	Deadline time.Duration `msgpack:"d"`
	// HTTP is the request in HTTP/1.1 format, without credentials.
	HTTP []byte `msgpack:"h"`
}

// Client forwards requests to the homes of their keys.
type Client struct {
	exchange peer.Exchange
	registry *claim.Registry
	clocks   *clockCache
}

// NewClient returns a Client that finds the home of a key in registry.
func NewClient(exchange peer.Exchange, registry *claim.Registry) *Client {
	return &Client{exchange: exchange, registry: registry, clocks: newClockCache(exchange)}
}

// Forward forwards a request to the home of its key and writes the answer to
// r.Answer. If the home does not answer, the error is OutcomeUnknown: an earlier
// request with the same key may have run, even if this one did not.
func (c *Client) Forward(ctx context.Context, r *filter.Request) error {
	host, ok := c.registry.Home(r.Key.Key)
	if !ok {
		return outcomeUnknown(failure.New(failure.PeerUnreachable, failure.NotRun, "no host runs the incarnation %q", r.Key.Key.Home))
	}
	deadline, err := c.clocks.deadline(ctx, host, remainingTime(ctx))
	if err != nil {
		return outcomeUnknown(failure.As(err))
	}
	payload, err := encodeRequest(r, deadline)
	if err != nil {
		return err
	}
	reply, err := c.exchange.Call(ctx, host.ID, methodRequest, payload)
	if err != nil {
		e := failure.As(err)
		if e.Kind == failure.PeerUnreachable || e.Outcome == "" || ctx.Err() != nil {
			return outcomeUnknown(e)
		}
		return e
	}
	var answer claim.Answer
	if err := msgpack.Unmarshal(reply, &answer); err != nil {
		return failure.Wrap(err, failure.Internal, failure.Unknown, "the reply of host %q cannot be decoded", host.ID)
	}
	if !answer.Valid() {
		return failure.New(failure.Internal, failure.Unknown, "the reply of host %q is not a valid answer", host.ID)
	}
	answer.WriteTo(r.Answer)
	return nil
}

// outcomeUnknown returns the error of a request whose home did not answer.
func outcomeUnknown(cause *failure.Error) error {
	return failure.Wrap(cause, failure.OutcomeUnknown, failure.Unknown, "the only host that may run this idempotency key did not answer")
}

// remainingTime returns how long the home may take to reply to a request.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTimeout
	}
	return time.Until(deadline) - replyMargin
}

// encodeRequest returns the payload of methodRequest. It removes the credentials from r.
func encodeRequest(r *filter.Request, deadline time.Duration) ([]byte, error) {
	r.Inbound.Header.Del("Authorization")
	var raw bytes.Buffer
	w := bufio.NewWriter(&raw)
	if err := r.Inbound.Write(w); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "the request cannot be forwarded")
	}
	if err := w.Flush(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "the request cannot be forwarded")
	}
	payload, err := msgpack.Marshal(&forwardedRequest{
		ID:       r.ID,
		Tenant:   r.Tenant,
		Deadline: deadline,
		HTTP:     raw.Bytes(),
	})
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "the request cannot be forwarded")
	}
	return payload, nil
}
