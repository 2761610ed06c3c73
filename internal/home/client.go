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

// method passes a request on to the home of its key.
const method = "home.request"

const (
	// replyMargin is left for the answer to travel back before the caller's deadline.
	replyMargin = 50 * time.Millisecond
	// defaultWait bounds a request without a deadline.
	defaultWait = 30 * time.Second
)

// message is a request on its way to its home.
type message struct {
	ID     string `msgpack:"i"`
	Tenant string `msgpack:"t"`
	// Deadline is when the caller gives up, on the home's clock, since the home's start.
	Deadline time.Duration `msgpack:"d"`
	// HTTP is the request in HTTP/1.1 form, without credentials.
	HTTP []byte `msgpack:"h"`
}

// Client passes requests on.
type Client struct {
	exchange peer.Exchange
	claims   *claim.Registry
	clocks   *clocks
}

// NewClient returns a Client.
func NewClient(exchange peer.Exchange, claims *claim.Registry) *Client {
	return &Client{exchange: exchange, claims: claims, clocks: newClocks(exchange)}
}

// Forward has a request served by the home of its key. If the home cannot be
// reached, the request is not run, but whether an earlier one was is unknown.
func (c *Client) Forward(ctx context.Context, r *filter.Request) error {
	host, ok := c.claims.Home(r.Key.Key)
	if !ok {
		return unreachable(failure.New(failure.PeerUnreachable, failure.NotRun, "no host runs as %q", r.Key.Key.Home))
	}
	deadline, err := c.clocks.deadline(ctx, host, timeLeft(ctx))
	if err != nil {
		return unreachable(failure.As(err))
	}
	payload, err := encode(r, deadline)
	if err != nil {
		return err
	}
	reply, err := c.exchange.Call(ctx, host.ID, method, payload)
	if err != nil {
		e := failure.As(err)
		if e.Kind == failure.PeerUnreachable || e.Outcome == "" || ctx.Err() != nil {
			return unreachable(e)
		}
		return e
	}
	var answer claim.Answer
	if err := msgpack.Unmarshal(reply, &answer); err != nil {
		return failure.Wrap(err, failure.Internal, failure.Unknown, "the answer of host %q cannot be read", host.ID)
	}
	answer.WriteTo(r.Answer)
	return nil
}

func unreachable(cause *failure.Error) error {
	return failure.Wrap(cause, failure.OutcomeUnknown, failure.Unknown, "the only host that may run this idempotency key did not answer")
}

// timeLeft returns how long the home may work on a request.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultWait
	}
	return time.Until(deadline) - replyMargin
}

func encode(r *filter.Request, deadline time.Duration) ([]byte, error) {
	r.Inbound.Header.Del("Authorization")
	var raw bytes.Buffer
	w := bufio.NewWriter(&raw)
	if err := r.Inbound.Write(w); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "the request cannot be passed on")
	}
	if err := w.Flush(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "the request cannot be passed on")
	}
	payload, err := msgpack.Marshal(&message{
		ID:       r.ID,
		Tenant:   r.Tenant,
		Deadline: deadline,
		HTTP:     raw.Bytes(),
	})
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "the request cannot be passed on")
	}
	return payload, nil
}
