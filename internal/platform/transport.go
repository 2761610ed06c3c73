package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

const (
	maxConnections     = 64
	maxResponseBytes   = 16 << 20
	contentTypeJSON    = "application/json"
	statusClassServer  = 500
	statusClassSuccess = 300
)

// effect says whether a call changes the platform's state.
type effect bool

const (
	reads  effect = false
	writes effect = true
)

// transport makes single attempts against the platform and classifies their failures.
type transport struct {
	attempter *Attempter
	timeout   time.Duration
}

func newTransport(s *settings.Settings) *transport {
	timeout := s.Platform.Timeout
	return &transport{
		attempter: NewAttempter(AttemptConfig{
			Address:        s.Platform.Address,
			Dial:           func(address string) (net.Conn, error) { return dialCounted(address, timeout) },
			Connections:    maxConnections,
			ConnectionWait: timeout,
			Idle:           s.Timing.IdleReuse,
			AnswerBytes:    maxResponseBytes,
		}),
		timeout: timeout,
	}
}

// call is one request to the platform.
type call struct {
	method      string
	path        string
	contentType string
	body        []byte
	effect      effect
}

// reply is the platform's whole answer.
type reply struct {
	status int
	body   []byte
}

// do makes one attempt. An answer of status 5xx is an error, other answers are the caller's to judge.
func (t *transport) do(ctx context.Context, c call) (reply, error) {
	if err := ctx.Err(); err != nil {
		return reply{}, failure.Wrap(err, failure.StoreUnavailable, "", "call to %s was given up before it was sent", c.path)
	}
	status, body, err := t.attempter.Attempt(c.method, c.path, c.contentType, c.body, t.deadline(ctx))
	if err != nil {
		return reply{}, classify(err, c)
	}
	if status >= statusClassServer {
		return reply{}, unclear(nil, c, "platform answered %d to %s", status, c.path)
	}
	return reply{status: status, body: body}, nil
}

func (t *transport) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(t.timeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		return end
	}
	return deadline
}

func classify(err error, c call) error {
	if NotSent(err) {
		return failure.Wrap(err, failure.StoreUnavailable, "", "platform cannot be reached for %s", c.path)
	}
	return unclear(err, c, "platform gave no answer to %s", c.path)
}

// unclear returns the error of a call that may have reached the platform.
func unclear(cause error, c call, format string, args ...any) error {
	kind := failure.StoreUnavailable
	if c.effect == writes {
		kind = failure.StoreInDoubt
	}
	if cause == nil {
		return failure.New(kind, "", format, args...)
	}
	return failure.Wrap(cause, kind, "", format, args...)
}

// postJSON posts request and decodes an answer of status 2xx into response, if response is not nil.
func (t *transport) postJSON(ctx context.Context, path string, effect effect, request, response any) (reply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return reply{}, failure.Wrap(err, failure.Internal, "", "request to %s cannot be encoded", path)
	}
	c := call{method: http.MethodPost, path: path, contentType: contentTypeJSON, body: body, effect: effect}
	answer, err := t.do(ctx, c)
	if err != nil {
		return reply{}, err
	}
	return answer, decode(answer, c, response)
}

// getJSON gets path and decodes the answer into response.
func (t *transport) getJSON(ctx context.Context, path string, response any) error {
	c := call{method: http.MethodGet, path: path, effect: reads}
	answer, err := t.do(ctx, c)
	if err != nil {
		return err
	}
	if answer.status >= statusClassSuccess {
		return refused(answer, c)
	}
	return decode(answer, c, response)
}

func decode(answer reply, c call, response any) error {
	if response == nil || answer.status >= statusClassSuccess {
		return nil
	}
	if err := json.Unmarshal(answer.body, response); err != nil {
		return unclear(err, c, "platform's answer to %s cannot be read", c.path)
	}
	return nil
}

// refused is the error of an answer of status 4xx that has no meaning of its own.
func refused(answer reply, c call) error {
	if answer.status == http.StatusNotFound {
		return failure.New(failure.NotFound, "", "platform has no %s", c.path)
	}
	return failure.New(failure.Internal, "", "platform refused %s with status %d", c.path, answer.status)
}
