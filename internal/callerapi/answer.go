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

// refuse answers with a failure. What is not run of a request with an
// idempotency key may have run when the key was used before, at this host or another.
func refuse(ctx *fasthttp.RequestCtx, e *failure.Error) {
	keyed := len(ctx.Request.Header.Peek(entryapi.HeaderIdempotencyKey)) > 0
	if keyed && e.Outcome == failure.NotRun && !neverRuns(e.Kind) {
		unsure := *e
		unsure.Outcome = failure.Unknown
		e = &unsure
	}
	WriteError(&ctx.Response, e)
}

// neverRuns reports whether a request that fails so cannot have run at an earlier use of its key.
func neverRuns(kind failure.Kind) bool {
	switch kind {
	case failure.InvalidRequest, failure.Unauthorized, failure.BodyTooLarge, failure.KeyReused:
		return true
	}
	return false
}

// WriteError fills an answer with a failure: its JSON, its status and its outcome header.
func WriteError(resp *fasthttp.Response, e *failure.Error) {
	if e.Outcome == "" {
		unknown := *e
		unknown.Outcome = failure.Unknown
		e = &unknown
	}
	resp.ResetBody()
	resp.SetStatusCode(e.Status())
	resp.Header.Set(entryapi.HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		resp.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	resp.Header.SetContentType(contentTypeJSON)
	resp.SetBody(encode(e))
}

// encode returns the JSON of a failure, which always can be encoded.
func encode(e *failure.Error) []byte {
	body, err := json.Marshal(e)
	if err != nil {
		return []byte(`{"type":"internal","outcome":"unknown"}`)
	}
	return body
}

func (s *Server) serveEntry(ctx *fasthttp.RequestCtx) {
	if s.health != nil && s.health.State() == health.Isolated {
		refuse(ctx, failure.As(health.Isolated.Refusal()))
		return
	}
	answer, err := s.entry.Select(string(ctx.QueryArgs().Peek("failure_domain")), time.Now())
	if err != nil {
		refuse(ctx, failure.As(err))
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		refuse(ctx, failure.As(err))
		return
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(body)
}

func byteLimit(n int) string { return strconv.Itoa(n) + " bytes" }

// serverLog passes the HTTP library's own messages to the log.
type serverLog struct{ log logr.Logger }

// Printf implements fasthttp.Logger.
func (l serverLog) Printf(format string, args ...any) {
	l.log.V(1).Info("http server message", "message", fmt.Sprintf(format, args...))
}
