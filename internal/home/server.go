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

// Server serves requests that other hosts pass on.
type Server struct {
	source  deployment.Source
	drain   *drain.Drain
	claims  *claim.Registry
	handler filter.Handler
	started time.Time
}

// RegisterServer registers a Server with the exchange.
func RegisterServer(exchange peer.Exchange, source deployment.Source, stop *drain.Drain, claims *claim.Registry, handler filter.Handler) {
	s := &Server{source: source, drain: stop, claims: claims, handler: handler, started: time.Now()}
	exchange.Handle(method, s.answer)
	exchange.Handle(methodClock, s.answerClock)
}

func (s *Server) answer(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var m message
	if err := msgpack.Unmarshal(payload, &m); err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "a request that was passed on cannot be read")
	}
	inbound, err := decode(m.HTTP)
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
	if err := s.run(ctx, r); err != nil {
		return nil, err
	}
	reply, err := msgpack.Marshal(claim.AnswerOf(r.Answer))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.Ran, "the answer cannot be passed back")
	}
	return reply, nil
}

// decode reads a request in HTTP/1.1 form as it is. The library's own reading
// of a request would encode forms anew and leave out a body that its sender
// announced by an Expect header.
func decode(raw []byte) (*fasthttp.Request, error) {
	req := new(fasthttp.Request)
	req.Header.SetNoDefaultContentType(true)
	reader := bufio.NewReader(bytes.NewReader(raw))
	err := req.Header.Read(reader)
	if err == nil {
		err = req.ContinueReadBody(reader, len(raw), false)
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "a request that was passed on cannot be read")
	}
	req.URI().DisablePathNormalizing = true
	return req, nil
}

func (s *Server) run(ctx context.Context, r *filter.Request) error {
	if r.Document == nil {
		return failure.New(failure.NotReady, failure.NotRun, "the home of the key has no deployment document yet")
	}
	if ctx.Err() != nil {
		return s.recall(r, failure.New(failure.DeadlineExceeded, failure.Unknown, "the request reached the home of its key after its deadline"))
	}
	if !s.drain.Begin() {
		return s.recall(r, failure.New(failure.Draining, failure.Unknown, "the home of the key is stopping"))
	}
	defer s.drain.End()
	err := s.handler(ctx, r)
	if err == nil || r.KeyOutcomeKnown {
		return err
	}
	// The chain refused before it looked at the key, which may have run before.
	refusal := *failure.As(err)
	refusal.Outcome = failure.Unknown
	return s.recall(r, &refusal)
}

// recall answers from memory, or with the refusal if the key is not there.
func (s *Server) recall(r *filter.Request, refusal *failure.Error) error {
	key, err := claim.ParseKey(string(r.Inbound.Header.Peek(entryapi.HeaderIdempotencyKey)))
	if err != nil {
		return err
	}
	verdict, unused, err := s.claims.Lookup(claim.Request{Tenant: r.Tenant, Key: key, Fingerprint: claim.FingerprintOf(r.Inbound)})
	switch {
	case err != nil:
		return err
	case verdict != nil:
		return verdict.Deliver(r.Answer)
	case unused:
		refusal.Outcome = failure.NotRun
	}
	return refusal
}
