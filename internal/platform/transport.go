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
	maxConnections       = 64
	maxResponseBytes     = 16 << 20
	contentTypeJSON      = "application/json"
	minServerErrorStatus = 500
	minNonSuccessStatus  = 300
)

// effect tells whether a call changes the platform's state.
type effect bool

const (
	reads  effect = false
	writes effect = true
)

// transport calls the platform without retries and classifies errors.
type transport struct {
	client  *HTTPClient
	timeout time.Duration
}

func newTransport(s *settings.Settings) *transport {
	timeout := s.Platform.Timeout
	return &transport{
		client: NewHTTPClient(HTTPClientConfig{
			Address:        s.Platform.Address,
			Dial:           func(address string) (net.Conn, error) { return dialCounted(address, timeout) },
			MaxConnections: maxConnections,
			ConnectionWait: timeout,
			IdleTimeout:    s.Timing.IdleReuse,
			MaxAnswerBytes: maxResponseBytes,
		}),
		timeout: timeout,
	}
}

// call is a request to the platform.
type call struct {
	method      string
	path        string
	contentType string
	body        []byte
	effect      effect
}

// reply is a complete reply of the platform.
type reply struct {
	status int
	body   []byte
}

// do makes one attempt. A status of 500 or above is an error; other statuses are
// left to the caller.
func (t *transport) do(ctx context.Context, c call) (reply, error) {
	if err := ctx.Err(); err != nil {
		return reply{}, failure.Wrap(err, failure.StoreUnavailable, "", "call to %s was cancelled before it was sent", c.path)
	}
	status, body, err := t.client.Attempt(c.method, c.path, c.contentType, c.body, t.deadline(ctx))
	if err != nil {
		return reply{}, attemptError(err, c)
	}
	if status >= minServerErrorStatus {
		return reply{}, maybeSentError(nil, c, "platform answered %d to %s", status, c.path)
	}
	return reply{status: status, body: body}, nil
}

// deadline returns the earlier of the transport's timeout and the deadline of ctx.
func (t *transport) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(t.timeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		return end
	}
	return deadline
}

// attemptError returns the error of a call that got no complete reply.
func attemptError(err error, c call) error {
	if NotSent(err) {
		return failure.Wrap(err, failure.StoreUnavailable, "", "platform cannot be reached for %s", c.path)
	}
	return maybeSentError(err, c, "platform did not answer %s", c.path)
}

// maybeSentError returns the error of a call that may have reached the platform:
// StoreInDoubt for writes, StoreUnavailable for reads.
func maybeSentError(cause error, c call, format string, args ...any) error {
	kind := failure.StoreUnavailable
	if c.effect == writes {
		kind = failure.StoreInDoubt
	}
	if cause == nil {
		return failure.New(kind, "", format, args...)
	}
	return failure.Wrap(cause, kind, "", format, args...)
}

// postJSON posts request. Unless response is nil, it decodes a reply with a
// status below 300 into it.
func (t *transport) postJSON(ctx context.Context, path string, effect effect, request, response any) (reply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return reply{}, failure.Wrap(err, failure.Internal, "", "can't encode the request to %s", path)
	}
	c := call{method: http.MethodPost, path: path, contentType: contentTypeJSON, body: body, effect: effect}
	got, err := t.do(ctx, c)
	if err != nil {
		return reply{}, err
	}
	return got, decode(got, c, response)
}

// getJSON gets path and decodes the reply into response. A status of 300 or above
// is an error.
func (t *transport) getJSON(ctx context.Context, path string, response any) error {
	c := call{method: http.MethodGet, path: path, effect: reads}
	got, err := t.do(ctx, c)
	if err != nil {
		return err
	}
	if got.status >= minNonSuccessStatus {
		return statusError(got, c)
	}
	return decode(got, c, response)
}

func decode(got reply, c call, response any) error {
	if response == nil || got.status >= minNonSuccessStatus {
		return nil
	}
	if err := json.Unmarshal(got.body, response); err != nil {
		return maybeSentError(err, c, "platform's reply to %s can't be decoded", c.path)
	}
	return nil
}

// statusError returns the error for a status of 300 or above that the calling method
// does not handle itself.
func statusError(got reply, c call) error {
	if got.status == http.StatusNotFound {
		return failure.New(failure.NotFound, "", "platform does not have %s", c.path)
	}
	return failure.New(failure.Internal, "", "platform refused %s with status %d", c.path, got.status)
}
