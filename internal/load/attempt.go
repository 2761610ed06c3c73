package load

import (
	"encoding/json"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	dialTimeout         = time.Second
	maxIdleConnDuration = time.Second
	maxConnsPerHost     = 16384
	maxAnswerBytes      = 64 << 20
	statusClassSize     = 100
	statusOKClass       = 2
)

// attemptResult is the result of one attempt of a request.
type attemptResult struct {
	answered bool
	// mismatch describes how the answer differs from the expected one; empty if it does not.
	mismatch string
	// outcome and kind classify a failed attempt.
	outcome failure.Outcome
	kind    failure.Kind
	// refused is true if an answer refused the request, and false if no answer came.
	refused bool
	// wait is the time before a retry that the answer states; zero if none.
	wait time.Duration
	// firstByte is when the first event of a stream arrived.
	firstByte time.Time
}

// Kinds of failures that the caller detects itself.
const (
	kindNoConnection     failure.Kind = "no_connection"
	kindNoAnswer         failure.Kind = "no_answer"
	kindBrokenAnswer     failure.Kind = "broken_answer"
	kindUnexpectedStatus failure.Kind = "unexpected_status"
)

// readTimeoutConn fails a read that receives nothing within timeout.
type readTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements net.Conn.
func (c readTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// newHTTPClient returns a client that does not retry. timeout bounds each read
// of a response.
func newHTTPClient(timeout time.Duration) *fasthttp.Client {
	return &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			c, err := fasthttp.DialTimeout(address, dialTimeout)
			if err != nil {
				return nil, err
			}
			return readTimeoutConn{Conn: c, timeout: timeout}, nil
		},
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       maxIdleConnDuration,
		MaxConnsPerHost:           maxConnsPerHost,
		MaxResponseBodySize:       maxAnswerBytes,
		NoDefaultUserAgentHeader:  true,
	}
}

// classifyError classifies an attempt that got no answer. A failed dial did not
// run; after any other error the outcome is unknown.
func classifyError(err error) attemptResult {
	var op *net.OpError
	if errors.Is(err, fasthttp.ErrDialTimeout) || (errors.As(err, &op) && op.Op == "dial") {
		return attemptResult{outcome: failure.NotRun, kind: kindNoConnection}
	}
	return attemptResult{outcome: failure.Unknown, kind: kindNoAnswer}
}

// parseRefusal parses a non-2xx response. The outcome header overrides the
// outcome in the body.
func parseRefusal(resp *fasthttp.Response) attemptResult {
	result := parseRefusalBody(resp.Body())
	if outcome := string(resp.Header.Peek(entryapi.HeaderOutcome)); outcome != "" {
		result.outcome = failure.Outcome(outcome)
	}
	return result
}

// parseRefusalBody parses a failure.Error in JSON. Without a stated outcome the
// request may have run.
func parseRefusalBody(body []byte) attemptResult {
	var e failure.Error
	if err := json.Unmarshal(body, &e); err != nil || e.Kind == "" {
		return attemptResult{refused: true, outcome: failure.Unknown, kind: kindUnexpectedStatus}
	}
	if e.Outcome == "" {
		e.Outcome = failure.Unknown
	}
	return attemptResult{refused: true, outcome: e.Outcome, kind: e.Kind, wait: e.RetryAfter}
}

func succeeded(resp *fasthttp.Response) bool {
	return resp.StatusCode()/statusClassSize == statusOKClass
}

// permanent reports whether a retry of the same request must fail in the same way.
func (r attemptResult) permanent() bool {
	switch r.kind {
	case failure.InvalidRequest, failure.Unauthorized, failure.Forbidden, failure.NotFound, failure.BodyTooLarge,
		failure.KeyReused, failure.KeyExpired, failure.Quarantined:
		return true
	}
	return false
}

// setHostHeaders sets the headers of every request to a host: the tenant's token
// and the time left until the caller's deadline.
func setHostHeaders(req *fasthttp.Request, caller Caller, left time.Duration) {
	if caller.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+caller.Token)
	}
	req.Header.Set(entryapi.HeaderDeadline, left.Round(time.Millisecond).String())
}

func joinURL(address, path string) string { return "http://" + address + strings.TrimSuffix(path, "/") }
