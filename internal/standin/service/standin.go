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

// EventRun is logged when the execution of a request starts.
const EventRun = "run"

// Config is the configuration of a service stand-in. Default sets the values in parentheses.
type Config struct {
	Server       control.Config
	Registration member.Registration
	// AnswerTime is the execution time of a request (2 ms).
	AnswerTime time.Duration
	// Slots is the number of requests that run at the same time (64). Others wait. Values below 1 mean 1.
	Slots int
}

// Default returns the default configuration, without a listener or registration.
func Default() Config { return Config{AnswerTime: 2 * time.Millisecond, Slots: 64} }

// Standin is a service stand-in.
type Standin struct {
	*control.Server
	cfg         Config
	incarnation string
	// slots is a semaphore.
	slots     chan struct{}
	waiting   atomic.Int64  // requests that wait for a slot
	requests  atomic.Uint64 // requests that got a slot
	busyNanos atomic.Int64  // time that slots were in use, summed over the slots, in nanoseconds
}

// New returns a service stand-in. Errors are those of control.NewServer.
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

// Run serves until ctx ends or FaultCrashOnMatch stops the stand-in.
func (s *Standin) Run(ctx context.Context) error {
	return s.Server.Run(ctx, s.cfg.Registration.KeepRegistered(s.Server, platform.ServiceMember, s.incarnation))
}

func (s *Standin) route(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == engineapi.PathLoadReport {
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, s.load())
		return
	}
	if s.RefuseIfLeaving(ctx) || !s.acquireSlot(ctx) {
		return
	}
	begin := time.Now()
	defer func() {
		<-s.slots
		s.busyNanos.Add(int64(time.Since(begin)))
	}()
	s.execute(ctx)
}

// acquireSlot waits for a slot and takes it. It returns false if the client
// disconnects or the stand-in stops before a slot is free.
func (s *Standin) acquireSlot(ctx *fasthttp.RequestCtx) bool {
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

// execute logs the request and responds with its echo after AnswerTime.
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
	if !s.StartExecution(entry, body) {
		return
	}
	s.pause()
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, standinapi.Echo{
		Service:   s.cfg.Registration.Member.Pool,
		Method:    entry.Method,
		Path:      entry.Path,
		RequestID: control.ResponseID(ctx, entry.RequestID),
		Key:       entry.Key,
		BodyHash:  entry.BodyHash,
		Body:      string(body),
	})
}

// pause waits for AnswerTime, or until the stand-in stops.
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

// load returns the current load.
func (s *Standin) load() engineapi.LoadReport {
	return engineapi.LoadReport{Running: len(s.slots), Waiting: int(s.waiting.Load()), Slots: cap(s.slots)}
}

func (s *Standin) handleCounters(ctx *fasthttp.RequestCtx) {
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, standinapi.CountersResponse{
		Requests:       s.requests.Load(),
		BusySlotMillis: time.Duration(s.busyNanos.Load()).Milliseconds(),
	})
}
