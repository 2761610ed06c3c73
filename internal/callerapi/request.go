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
	"github.com/sapphirehatch/sapphirehatch/internal/ring"
)

// streamRing is the number of events that may wait for a slow caller.
const streamRing = 64

// serveRequest passes a request through the chain and reports whether it has ended.
func (s *Server) serveRequest(ctx *fasthttp.RequestCtx, id string) bool {
	doc := s.source.Current()
	if doc == nil {
		refuse(ctx, failure.New(failure.NotReady, failure.NotRun, "this host has no deployment document yet"))
		return true
	}
	wait, err := s.deadline(&ctx.Request.Header)
	if err != nil {
		refuse(ctx, failure.As(err))
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
	ctx.Request.CopyTo(r.Inbound)
	r.Inbound.Header.SetNoDefaultContentType(true)
	// The upstream gets the path as the caller wrote it: an escaped slash is no separator.
	r.Inbound.URI().DisablePathNormalizing = true
	reqCtx, cancel := context.WithTimeout(context.Background(), wait)
	if string(ctx.Path()) == engineapi.PathChat {
		return s.serveStreamable(ctx, reqCtx, cancel, r)
	}
	defer cancel()
	s.finish(ctx, r, s.handler(reqCtx, r))
	return true
}

// finish writes a buffered answer or a refusal.
func (s *Server) finish(ctx *fasthttp.RequestCtx, r *filter.Request, err error) {
	if err != nil {
		e := failure.As(err)
		s.log.V(1).Info("request refused", "request", r.ID, "tenant", r.Tenant, "pool", r.Pool, "type", e.Kind, "outcome", e.Outcome, "error", e.Error())
		if r.KeyOutcomeKnown {
			WriteError(&ctx.Response, e)
			return
		}
		refuse(ctx, e)
		return
	}
	for name, value := range r.Answer.Header.All() {
		if !isOwnHeader(string(name)) {
			ctx.Response.Header.AddBytesKV(name, value)
		}
	}
	ctx.SetStatusCode(r.Answer.StatusCode())
	ctx.SetContentTypeBytes(r.Answer.Header.ContentType())
	// The answer belongs to this request alone, so that a large body need not be copied.
	ctx.Response.SetBodyRaw(r.Answer.Body())
	if length := r.Answer.Header.ContentLength(); ctx.IsHead() && length > 0 {
		ctx.Response.Header.SetContentLength(length)
	}
}

// isOwnHeader reports whether this server sets an answer's header itself, or
// whether it concerns the upstream's connection alone.
func isOwnHeader(name string) bool {
	switch name {
	case engineapi.HeaderRequestID, entryapi.HeaderHost, entryapi.HeaderOutcome, "Content-Length", "Content-Type", "Date", "Server":
		return true
	case "Connection", "Keep-Alive", "Proxy-Connection", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// eventStream carries events from the chain to the caller's connection.
type eventStream struct {
	ctx     context.Context
	events  *ring.Ring[[]byte]
	started atomic.Bool
}

// Send implements filter.Stream.
func (e *eventStream) Send(data []byte) error {
	if err := e.ctx.Err(); err != nil {
		return err
	}
	e.started.Store(true)
	return e.events.Push(e.ctx, data)
}

// Started implements filter.Stream.
func (e *eventStream) Started() bool { return e.started.Load() }

// result is how the chain ended.
type result struct{ err error }

// serveStreamable runs the chain beside the connection, so that the answer
// can become a stream with the first event.
func (s *Server) serveStreamable(ctx *fasthttp.RequestCtx, reqCtx context.Context, cancel context.CancelFunc, r *filter.Request) bool {
	stream := &eventStream{ctx: reqCtx, events: ring.New[[]byte](streamRing)}
	r.Stream = stream
	done := make(chan result, 1)
	go func() { done <- result{s.handler(reqCtx, r)} }()
	select {
	case end := <-done:
		if !stream.Started() {
			cancel()
			s.finish(ctx, r, end.err)
			return true
		}
		done <- end
		s.startStream(ctx, nil, stream, done, cancel)
	case first := <-stream.events.Items():
		s.startStream(ctx, first, stream, done, cancel)
	}
	return false
}

// startStream answers with the events of the chain until done delivers its result.
func (s *Server) startStream(ctx *fasthttp.RequestCtx, first []byte, stream *eventStream, done <-chan result, cancel context.CancelFunc) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.drain.End()
		defer cancel()
		if err := copyEvents(w, first, stream, done); err != nil {
			// The caller has gone: stop the chain and wait for its end.
			cancel()
			<-done
		}
	})
}

// copyEvents writes events until the chain is done. Its error means that the
// caller has gone while the chain still runs.
func copyEvents(w *bufio.Writer, first []byte, stream *eventStream, done <-chan result) error {
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
		case end := <-done:
			writeLast(w, stream, end.err)
			return nil
		}
	}
}

// writeLast writes the events that were waiting when the chain ended and, if
// it failed, one error event, so that a short stream never looks whole.
func writeLast(w *bufio.Writer, stream *eventStream, failed error) {
	for stream.events.Len() > 0 {
		if err := writeEvent(w, "", <-stream.events.Items()); err != nil {
			return
		}
	}
	if failed != nil {
		// A write error is the caller's leaving, about which nothing is left to do.
		_ = writeEvent(w, "error", encode(failure.As(failed)))
	}
}

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
