package engine

import (
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

func (s *Standin) route(ctx *fasthttp.RequestCtx) {
	s.Faults().WaitThawed(s.Context())
	switch string(ctx.Path()) {
	case engineapi.PathChat:
		s.chat(ctx)
	case engineapi.PathCancel:
		s.handleCancel(ctx)
	case engineapi.PathOrder:
		s.handleOrder(ctx)
	case engineapi.PathStatus:
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, s.status())
	case engineapi.PathLoadReport:
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, s.loadReport(time.Now()))
	case engineapi.PathCacheEvents:
		s.handleCacheEvents(ctx)
	default:
		jsonhttp.WriteError(ctx, failure.New(failure.NotFound, failure.NotRun, "path %s does not exist", ctx.Path()).WithField("path"))
	}
}

func (s *Standin) handleCancel(ctx *fasthttp.RequestCtx) {
	var req engineapi.CancelRequest
	if !jsonhttp.ReadJSON(ctx, &req) {
		return
	}
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	g, ok := s.kept[req.RequestID]
	if !ok {
		jsonhttp.WriteError(ctx, failure.New(failure.NotFound, failure.NotRun, "generation %s is not known", req.RequestID).WithField("request_id"))
		return
	}
	s.sched.cancel(g, time.Now())
	delete(s.kept, req.RequestID)
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, req)
}

func (s *Standin) handleOrder(ctx *fasthttp.RequestCtx) {
	var order engineapi.Order
	if !jsonhttp.ReadJSON(ctx, &order) {
		return
	}
	if err := s.order(order); err != nil {
		jsonhttp.WriteError(ctx, err)
		return
	}
	jsonhttp.WriteJSON(ctx, fasthttp.StatusAccepted, order)
}

func (s *Standin) status() engineapi.Status {
	version := s.currentVersion()
	s.swap.mu.Lock()
	defer s.swap.mu.Unlock()
	return engineapi.Status{
		ID:             s.cfg.Registration.Member.ID,
		Incarnation:    s.incarnation,
		Model:          s.swap.model,
		Version:        version,
		LoadingVersion: s.swap.loading,
		FailedVersion:  s.swap.failed,
		Fence:          s.swap.fence,
		Role:           s.swap.role,
	}
}

func (s *Standin) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		after = 0
	}
	asOf := time.Now().Add(-s.lag(s.cfg.CacheEventLag))
	s.sched.mu.Lock()
	events := s.sched.cache.eventsAfter(after, asOf)
	s.sched.mu.Unlock()
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, engineapi.CacheEvents{Incarnation: s.incarnation, Events: events})
}

// chat starts a new generation, or attaches the client to one that the engine keeps.
func (s *Standin) chat(ctx *fasthttp.RequestCtx) {
	var req engineapi.ChatRequest
	if !jsonhttp.ReadJSON(ctx, &req) {
		return
	}
	if req.RequestID == "" {
		req.RequestID = string(ctx.Request.Header.Peek(engineapi.HeaderRequestID))
	}
	if req.RequestID == "" {
		req.RequestID = uuid.NewString()
	}
	if err := check(req); err != nil {
		jsonhttp.WriteError(ctx, err)
		return
	}
	g, notify, ok := s.findOrStart(ctx, req)
	if !ok {
		return
	}
	responseID := control.ResponseID(ctx, req.RequestID)
	ctx.Response.Header.Set(engineapi.HeaderRequestID, responseID)
	r := &reader{
		standin: s, gen: g, notify: notify, offset: g.start + req.ResumeFrom,
		id: responseID, gone: control.ClientGone(ctx),
	}
	if req.Stream {
		r.stream(ctx)
		return
	}
	r.writeWhole(ctx)
}

// check returns an InvalidRequest error if a request cannot be executed.
func check(req engineapi.ChatRequest) error {
	switch {
	case len(req.Messages) == 0:
		return failure.New(failure.InvalidRequest, failure.NotRun, "a chat request needs messages").WithField("messages")
	case req.ResumeFrom < 0 || req.PriorTokens < 0 || req.MaxTokens < 0:
		return failure.New(failure.InvalidRequest, failure.NotRun, "token counts must not be negative").WithField("resume_from")
	}
	return nil
}

// findOrStart returns the generation of a request and the notify channel of a new
// reader. It starts the generation if the engine does not keep it. If that is
// not possible, it writes an error response and returns false.
func (s *Standin) findOrStart(ctx *fasthttp.RequestCtx, req engineapi.ChatRequest) (*generation, chan struct{}, bool) {
	s.sched.mu.Lock()
	if g, ok := s.kept[req.RequestID]; ok && g.phase != cancelled && g.start+req.ResumeFrom <= g.produced {
		defer s.sched.mu.Unlock()
		return g, g.attach(), true
	}
	s.sched.mu.Unlock()
	if req.ResumeFrom > 0 {
		jsonhttp.WriteError(ctx, failure.New(failure.NotFound, failure.Ran, "generation %s cannot be resumed at the requested token", req.RequestID).WithField("resume_from"))
		// Replaces the status of NotFound: 410 says that the generation cannot be resumed.
		ctx.SetStatusCode(fasthttp.StatusGone)
		return nil, nil, false
	}
	if s.RefuseIfLeaving(ctx) {
		return nil, nil, false
	}
	entry := standinapi.LogEntry{
		Event:      EventRun,
		RequestID:  req.RequestID,
		Method:     string(ctx.Method()),
		Path:       string(ctx.Path()),
		BodyHash:   control.BodyHash(ctx.PostBody()),
		Generation: GenerationID(req.Messages, req.Seed),
		Version:    s.currentVersion(),
		Offset:     req.PriorTokens,
	}
	if !s.StartExecution(entry, ctx.PostBody()) {
		return nil, nil, false
	}
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	s.sched.arrivals++
	g := newGeneration(req, s.sched.arrivals)
	s.kept[req.RequestID] = g
	notify := g.attach()
	s.sched.enqueue(g)
	return g, notify, true
}
