package control

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// serve calls the handler and applies the faults that affect responses.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	end := s.Begin()
	defer end()
	path, body := string(ctx.Path()), ctx.PostBody()
	slow, isSlow := s.faults.Take(standinapi.FaultSlow, path, body)
	_, isLost := s.faults.Take(standinapi.FaultReplyLost, path, body)
	cut, isCut := s.faults.Take(standinapi.FaultTruncateResponse, path, body)
	_, isWrong := s.faults.Take(standinapi.FaultWrongRequestID, path, body)
	s.setResponseID(ctx, isWrong)
	if _, refused := s.faults.Take(standinapi.FaultUnavailable, path, body); refused {
		refuse(ctx, failure.New(failure.UpstreamFailed, failure.NotRun, "the fault \"unavailable\" is active").WithField("path"))
		// The status of UpstreamFailed is 502, but this fault simulates a 503.
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	} else {
		s.handler(ctx)
	}
	s.faults.WaitThawed(s.runCtx)
	if isSlow {
		s.pause(time.Duration(slow.DelayMillis) * time.Millisecond)
	}
	c, ok := ctx.Conn().(*conn)
	if !ok {
		return
	}
	if isCut {
		c.cutBodyAfter(cut.Bytes)
	}
	if isLost || s.runCtx.Err() != nil {
		_ = c.closeConn()
	}
}

// pause waits for d, or until the stand-in stops.
func (s *Server) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.runCtx.Done():
	}
}

// responseIDKey is the key of the user value that holds the wrong request id of FaultWrongRequestID.
const responseIDKey = "answer-id"

// setResponseID sets the request id of the response. If wrong is true, this is the
// id of the previous request, or "another-request" if there is none or it is the same.
func (s *Server) setResponseID(ctx *fasthttp.RequestCtx, wrong bool) {
	id := string(ctx.Request.Header.Peek(engineapi.HeaderRequestID))
	s.mu.Lock()
	last := s.lastID
	if id != "" {
		s.lastID = id
	}
	s.mu.Unlock()
	if wrong {
		if last == "" || last == id {
			last = "another-request"
		}
		ctx.SetUserValue(responseIDKey, last)
		id = last
	}
	if id != "" {
		ctx.Response.Header.Set(engineapi.HeaderRequestID, id)
	}
}

// ResponseID returns the request id for the response: id itself, or another one if FaultWrongRequestID applies.
func ResponseID(ctx *fasthttp.RequestCtx, id string) string {
	if other, ok := ctx.UserValue(responseIDKey).(string); ok {
		return other
	}
	return id
}

// ClientGone returns a channel that is closed when the client closes the
// connection. It is nil for connections without fault injection.
func ClientGone(ctx *fasthttp.RequestCtx) <-chan struct{} {
	if c, ok := ctx.Conn().(*conn); ok {
		return c.gone
	}
	return nil
}

// RefuseIfLeaving refuses a request if the stand-in is leaving, and reports whether it did.
func (s *Server) RefuseIfLeaving(ctx *fasthttp.RequestCtx) bool {
	if !s.Leaving() {
		return false
	}
	ctx.Response.Header.Set(engineapi.HeaderUpstreamState, engineapi.UpstreamStateLeaving)
	refuse(ctx, failure.New(failure.Draining, failure.NotRun, "the upstream is leaving and accepts no new requests"))
	return true
}

// StartExecution waits while FaultFreeze is active, then logs that the execution of
// a request starts. It returns false if the stand-in has stopped or FaultCrashOnMatch
// stops it now. The handler must then return without executing the request.
func (s *Server) StartExecution(entry standinapi.LogEntry, body []byte) bool {
	s.faults.WaitThawed(s.runCtx)
	if s.runCtx.Err() != nil {
		return false
	}
	s.log.Add(entry)
	if _, crash := s.faults.Take(standinapi.FaultCrashOnMatch, entry.Path, body); crash {
		s.crash(failure.New(failure.UpstreamFailed, failure.Unknown, "stand-in crashed on request %s", entry.RequestID))
		return false
	}
	return true
}
