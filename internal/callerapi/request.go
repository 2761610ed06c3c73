package callerapi

import (
	"bufio"
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/callergone"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/intake"
	"github.com/sapphirehatch/sapphirehatch/internal/ring"
)

// streamBufferEvents is the number of events buffered for a caller that reads slowly.
const streamBufferEvents = 64

// serveRequest runs the filter chain for a request. It returns false if the response
// is a stream, which ends the request by itself.
func (s *Server) serveRequest(ctx *fasthttp.RequestCtx, id string) bool {
	doc := s.source.Current()
	if doc == nil {
		writeRequestError(ctx, failure.New(failure.NotReady, failure.NotRun, "this host has no deployment document yet"))
		return true
	}
	timeout, err := s.requestTimeout(&ctx.Request.Header)
	if err != nil {
		writeRequestError(ctx, failure.As(err))
		return true
	}
	r := &filter.Request{
		ID:       id,
		Arrived:  time.Now(),
		Document: doc,
		Inbound:  new(fasthttp.Request),
		Answer:   new(fasthttp.Response),
	}
	conn := ctx.Conn()
	r.CallerGone = func() bool { return callergone.Closed(conn) }
	// There is only one copy of the body.
	body := ctx.Request.Body()
	ctx.Request.SetBodyRaw(nil)
	ctx.Request.CopyTo(r.Inbound)
	r.Inbound.SetBodyRaw(body)
	r.Inbound.Header.SetNoDefaultContentType(true)
	// The upstream gets the path unchanged: an escaped slash is not a path separator.
	r.Inbound.URI().DisablePathNormalizing = true
	reqCtx, cancel := context.WithTimeout(intake.WithAccount(s.drain.Context(), intake.AccountOfRequest(ctx)), timeout)
	if string(ctx.Path()) == engineapi.PathChat {
		return s.serveStreamable(ctx, reqCtx, cancel, r)
	}
	defer cancel()
	s.finish(ctx, r, s.handler(reqCtx, r))
	return true
}

// finish writes the buffered response, or the error if err is not nil. An outcome that
// holds for all requests with the same idempotency key is sent unchanged.
func (s *Server) finish(ctx *fasthttp.RequestCtx, r *filter.Request, err error) {
	if err != nil {
		e := failure.As(err)
		s.log.V(1).Info("request refused", "request", r.ID, "tenant", r.Tenant, "pool", r.Pool, "type", e.Kind, "outcome", e.Outcome, "error", e.Error())
		if r.KeyOutcomeKnown {
			WriteError(&ctx.Response, e)
			return
		}
		writeRequestError(ctx, e)
		return
	}
	for name, value := range r.Answer.Header.All() {
		if !isReservedHeader(string(name)) {
			ctx.Response.Header.AddBytesKV(name, value)
		}
	}
	ctx.SetStatusCode(r.Answer.StatusCode())
	ctx.SetContentTypeBytes(r.Answer.Header.ContentType())
	// No other request uses this body, so it is not copied.
	ctx.Response.SetBodyRaw(r.Answer.Body())
	if length := r.Answer.Header.ContentLength(); ctx.IsHead() && length > 0 {
		ctx.Response.Header.SetContentLength(length)
	}
}

// isReservedHeader reports whether a response header of the upstream is not passed on:
// this server sets it itself, or it applies only to the upstream's connection.
func isReservedHeader(name string) bool {
	switch name {
	case engineapi.HeaderRequestID, entryapi.HeaderHost, entryapi.HeaderOutcome, "Content-Length", "Content-Type", "Date", "Server":
		return true
	case "Connection", "Keep-Alive", "Proxy-Connection", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// eventStream is a filter.Stream that queues events between the filter chain and the
// goroutine that writes to the caller's connection.
type eventStream struct {
	ctx     context.Context
	events  *ring.Ring[[]byte]
	started atomic.Bool
}

// Send implements filter.Stream. It blocks while the queue is full.
func (e *eventStream) Send(data []byte) error {
	if err := e.ctx.Err(); err != nil {
		return err
	}
	e.started.Store(true)
	return e.events.Push(e.ctx, data)
}

// Started implements filter.Stream.
func (e *eventStream) Started() bool { return e.started.Load() }

// chainResult is the result of the filter chain.
type chainResult struct{ err error }

// serveStreamable runs the filter chain in its own goroutine. The response becomes a
// stream when the chain sends the first event, and is buffered if it sends none. It
// returns false if the response is a stream.
func (s *Server) serveStreamable(ctx *fasthttp.RequestCtx, reqCtx context.Context, cancel context.CancelFunc, r *filter.Request) bool {
	stream := &eventStream{ctx: reqCtx, events: ring.New[[]byte](streamBufferEvents)}
	r.Stream = stream
	done := make(chan chainResult, 1)
	go func() { done <- chainResult{s.handler(reqCtx, r)} }()
	select {
	case result := <-done:
		if !stream.Started() {
			cancel()
			s.finish(ctx, r, result.err)
			return true
		}
		done <- result
		s.startStream(ctx, nil, stream, done, cancel)
	case first := <-stream.events.Items():
		s.startStream(ctx, first, stream, done, cancel)
	}
	return false
}

// startStream makes the response a stream of the chain's events, which ends when done
// delivers the chain's result. It then ends the request's count in the drain.
func (s *Server) startStream(ctx *fasthttp.RequestCtx, first []byte, stream *eventStream, done <-chan chainResult, cancel context.CancelFunc) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.drain.End()
		defer cancel()
		if err := copyEvents(w, first, stream, done); err != nil {
			// The caller has disconnected: cancel the chain and wait for its result.
			cancel()
			<-done
		}
	})
}

// copyEvents writes events until the chain has ended. An error means that the caller
// has disconnected while the chain is still running.
func copyEvents(w *bufio.Writer, first []byte, stream *eventStream, done <-chan chainResult) error {
	if first != nil {
		if err := writeEvent(w, "", first); err != nil {
			return err
		}
	}
	for {
		select {
		case data := <-stream.events.Items():
			if err := writeEvent(w, "", data); err != nil {
				return err
			}
		case result := <-done:
			writeRemaining(w, stream, result.err)
			return nil
		}
	}
}

// writeRemaining writes the events that are still queued after the chain has ended.
// If the chain failed, it adds an error event, without which a truncated stream would
// look complete.
func writeRemaining(w *bufio.Writer, stream *eventStream, chainErr error) {
	for stream.events.Len() > 0 {
		if err := writeEvent(w, "", <-stream.events.Items()); err != nil {
			return
		}
	}
	if chainErr != nil {
		// A write error means that the caller has disconnected.
		_ = writeEvent(w, "error", encodeError(failure.As(chainErr)))
	}
}

// writeEvent writes one server-sent event and flushes it. An empty event name is left out.
func writeEvent(w *bufio.Writer, event string, data []byte) error {
	if event != "" {
		if _, err := w.WriteString("event: " + event + "\n"); err != nil {
			return err
		}
	}
	if _, err := w.WriteString("data: "); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	if _, err := w.WriteString("\n\n"); err != nil {
		return err
	}
	return w.Flush()
}
