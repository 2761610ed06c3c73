package callerapi

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/health"
)

const contentTypeJSON = "application/json"

// writeRequestError writes the error of a request. If the request has an
// idempotency key, the outcome not-run becomes unknown, because an earlier request
// with the same key may have run, on this host or another. The exceptions are
// errors that rule out an earlier run; see excludesEarlierRun.
func writeRequestError(ctx *fasthttp.RequestCtx, e *failure.Error) {
	keyed := len(ctx.Request.Header.Peek(entryapi.HeaderIdempotencyKey)) > 0
	if keyed && e.Outcome == failure.NotRun && !excludesEarlierRun(e.Kind) {
		unsettled := *e
		unsettled.Outcome = failure.Unknown
		e = &unsettled
	}
	WriteError(&ctx.Response, e)
}

// excludesEarlierRun reports whether a request that fails with kind cannot have run
// under the same idempotency key before.
func excludesEarlierRun(kind failure.Kind) bool {
	switch kind {
	case failure.InvalidRequest, failure.Unauthorized, failure.BodyTooLarge, failure.HeaderTooLarge, failure.KeyReused:
		return true
	}
	return false
}

// WriteError makes resp the answer to a request that failed with e: status, headers and
// JSON body. An empty outcome is sent as unknown.
func WriteError(resp *fasthttp.Response, e *failure.Error) {
	if e.Outcome == "" {
		unknown := *e
		unknown.Outcome = failure.Unknown
		e = &unknown
	}
	resp.ResetBody()
	resp.SetStatusCode(statusOf(e))
	resp.Header.Set(entryapi.HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		resp.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	resp.Header.SetContentType(contentTypeJSON)
	resp.SetBody(encodeError(e))
}

// statusOf returns the status of an error. A request whose answer did not fit into memory has
// run or may have run, so it gets 504. Other errors keep the status of their kind, beside
// which the outcome header says what is known.
func statusOf(e *failure.Error) int {
	if e.Kind == failure.Overloaded && e.Outcome != failure.NotRun {
		return fasthttp.StatusGatewayTimeout
	}
	return e.Status()
}

// encodeError returns the JSON of an error, or a generic error if e cannot be encoded.
func encodeError(e *failure.Error) []byte {
	body, err := json.Marshal(e)
	if err != nil {
		return []byte(`{"type":"internal","outcome":"unknown"}`)
	}
	return body
}

// serveEntry answers with the hosts that a caller should use. An isolated host refuses,
// because its view of the hosts may be out of date.
func (s *Server) serveEntry(ctx *fasthttp.RequestCtx) {
	if s.health != nil && s.health.State() == health.Isolated {
		writeRequestError(ctx, failure.As(health.Isolated.Refusal()))
		return
	}
	answer, err := s.entry.Select(string(ctx.QueryArgs().Peek("failure_domain")), time.Now())
	if err != nil {
		writeRequestError(ctx, failure.As(err))
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		writeRequestError(ctx, failure.As(err))
		return
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(body)
}

func formatBytes(n int) string { return strconv.Itoa(n) + " bytes" }

// httpLogger writes the messages of the HTTP library to the log, at debug level.
type httpLogger struct{ log logr.Logger }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) {
	l.log.V(1).Info("http server message", "message", fmt.Sprintf(format, args...))
}
