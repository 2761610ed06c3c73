package home

import (
	"bufio"
	"bytes"
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/claim"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/drain"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// Server serves requests that other hosts forward to this one.
type Server struct {
	source   deployment.Source
	drain    *drain.Drain
	registry *claim.Registry
	handler  filter.Handler
	started  time.Time
}

// RegisterServer registers a Server with the exchange. It serves forwarded
// requests with handler until the host stops.
func RegisterServer(exchange peer.Exchange, source deployment.Source, stop *drain.Drain, registry *claim.Registry, handler filter.Handler) {
	s := &Server{source: source, drain: stop, registry: registry, handler: handler, started: time.Now()}
	exchange.Handle(methodRequest, s.handleRequest)
	exchange.Handle(methodClock, s.handleClock)
}

// handleRequest is the peer.Handler of methodRequest.
func (s *Server) handleRequest(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var m forwardedRequest
	if err := msgpack.Unmarshal(payload, &m); err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "a forwarded request cannot be decoded")
	}
	inbound, err := decodeRequest(m.HTTP)
	if err != nil {
		return nil, err
	}
	r := &filter.Request{
		ID:        m.ID,
		Arrived:   time.Now(),
		Document:  s.source.Current(),
		Inbound:   inbound,
		Answer:    new(fasthttp.Response),
		Forwarded: true,
		Tenant:    m.Tenant,
	}
	ctx, cancel := context.WithDeadline(ctx, s.started.Add(m.Deadline))
	defer cancel()
	if err := s.serve(ctx, r); err != nil {
		return nil, err
	}
	reply, err := msgpack.Marshal(claim.AnswerOf(r.Answer))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.Ran, "the answer to a forwarded request cannot be encoded")
	}
	return reply, nil
}

// decodeRequest parses a request in HTTP/1.1 format without changing it.
// fasthttp's Request.Read would re-encode forms and skip a body that the sender
// announced by an Expect header.
func decodeRequest(raw []byte) (*fasthttp.Request, error) {
	req := new(fasthttp.Request)
	req.Header.SetNoDefaultContentType(true)
	reader := bufio.NewReader(bytes.NewReader(raw))
	err := req.Header.Read(reader)
	if err == nil {
		err = req.ContinueReadBody(reader, len(raw), false)
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "a forwarded request cannot be decoded")
	}
	req.URI().DisablePathNormalizing = true
	return req, nil
}

// serve runs a forwarded request. A request that is refused before its key was
// looked up gets the recorded result if there is one.
func (s *Server) serve(ctx context.Context, r *filter.Request) error {
	if r.Document == nil {
		return failure.New(failure.NotReady, failure.NotRun, "the home of the key has no deployment document yet")
	}
	if ctx.Err() != nil {
		return s.answerFromRecord(r, failure.New(failure.DeadlineExceeded, failure.Unknown, "the request reached the home of its key after its deadline"))
	}
	if !s.drain.Begin() {
		return s.answerFromRecord(r, failure.New(failure.Draining, failure.Unknown, "the home of the key is stopping"))
	}
	defer s.drain.End()
	err := s.handler(ctx, r)
	if err == nil || r.KeyOutcomeKnown {
		return err
	}
	// A filter refused the request before its key was looked up. An earlier request with the key may have run.
	refusal := *failure.As(err)
	refusal.Outcome = failure.Unknown
	return s.answerFromRecord(r, &refusal)
}

// answerFromRecord answers with the recorded result of the key, or returns the
// refusal. The refusal's outcome is not-run if the key is known to be unused. If the
// key is invalid or was used for another request, that is the error.
func (s *Server) answerFromRecord(r *filter.Request, refusal *failure.Error) error {
	key, err := claim.ParseKey(string(r.Inbound.Header.Peek(entryapi.HeaderIdempotencyKey)))
	if err != nil {
		return err
	}
	result, unused, err := s.registry.Lookup(claim.Request{Tenant: r.Tenant, Key: key, Fingerprint: claim.FingerprintOf(r.Inbound)})
	switch {
	case err != nil:
		return err
	case result != nil:
		return result.Deliver(r.Answer)
	case unused:
		refusal.Outcome = failure.NotRun
	}
	return refusal
}
