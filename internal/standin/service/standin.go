package service

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/member"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// EventRun is the event of the execution log for a request that ran.
const EventRun = "run"

// Config describes a service stand-in.
type Config struct {
	Server       control.Config
	Registration member.Registration
	// AnswerTime is the time that one request takes in its slot.
	AnswerTime time.Duration
	// Slots is the number of requests that run at once; others wait.
	Slots int
}

// Default returns the configuration of an ordinary service.
func Default() Config { return Config{AnswerTime: 2 * time.Millisecond, Slots: 64} }

// Standin is a service stand-in.
type Standin struct {
	*control.Server
	cfg         Config
	incarnation string
	slots       chan struct{}
	waiting     atomic.Int64
	requests    atomic.Uint64
	busy        atomic.Int64 // nanoseconds of taken slots
}

// New returns a service stand-in.
func New(cfg Config) (*Standin, error) {
	s := &Standin{cfg: cfg, incarnation: uuid.NewString(), slots: make(chan struct{}, max(1, cfg.Slots))}
	server, err := control.NewServer(cfg.Server, s.route)
	if err != nil {
		return nil, err
	}
	s.Server = server
	server.HandleControl(standinapi.PathCounters, s.handleCounters)
	return s, nil
}

// Run serves until ctx ends or a CrashOn fault strikes.
func (s *Standin) Run(ctx context.Context) error {
	return s.Server.Run(ctx, s.cfg.Registration.Duty(s.Server, platform.ServiceMember, s.incarnation))
}

func (s *Standin) route(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == engineapi.PathLoad {
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, s.load())
		return
	}
	if s.RefuseLeaving(ctx) || !s.enter(ctx) {
		return
	}
	begin := time.Now()
	defer func() {
		<-s.slots
		s.busy.Add(int64(time.Since(begin)))
	}()
	s.execute(ctx)
}

// enter takes a slot. It returns false if the client left before one was free.
func (s *Standin) enter(ctx *fasthttp.RequestCtx) bool {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-control.ClientGone(ctx):
		return false
	case <-s.Context().Done():
		return false
	}
}

// execute records the request and answers with its echo after the answer time.
func (s *Standin) execute(ctx *fasthttp.RequestCtx) {
	body := ctx.PostBody()
	entry := standinapi.LogEntry{
		Event:     EventRun,
		RequestID: string(ctx.Request.Header.Peek(engineapi.HeaderRequestID)),
		Key:       string(ctx.Request.Header.Peek(entryapi.HeaderIdempotencyKey)),
		Method:    string(ctx.Method()),
		Path:      string(ctx.Path()),
		BodyHash:  control.BodyHash(body),
	}
	s.requests.Add(1)
	if !s.Start(entry, body) {
		return
	}
	s.pause()
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, standinapi.Echo{
		Service:   s.cfg.Registration.Member.Pool,
		Method:    entry.Method,
		Path:      entry.Path,
		RequestID: control.AnswerID(ctx, entry.RequestID),
		Key:       entry.Key,
		BodyHash:  entry.BodyHash,
		Body:      string(body),
	})
}

func (s *Standin) pause() {
	if s.cfg.AnswerTime <= 0 {
		return
	}
	timer := time.NewTimer(s.cfg.AnswerTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.Context().Done():
	}
}

func (s *Standin) load() engineapi.Load {
	return engineapi.Load{Running: len(s.slots), Waiting: int(s.waiting.Load()), Slots: cap(s.slots)}
}

func (s *Standin) handleCounters(ctx *fasthttp.RequestCtx) {
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, standinapi.CountersResponse{
		Requests:       s.requests.Load(),
		BusySlotMillis: time.Duration(s.busy.Load()).Milliseconds(),
	})
}
