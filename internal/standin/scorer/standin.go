package scorer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/member"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

// EventRun is logged when the execution of a request starts.
const EventRun = "run"

// rewardSteps is the number of distinct rewards; they are multiples of 1/rewardSteps.
const rewardSteps = 1000

// Config is the configuration of a scorer stand-in.
type Config struct {
	Server       control.Config
	Registration member.Registration
	// TimePerText is the execution time per text of a request.
	TimePerText time.Duration
}

// Standin is a scorer stand-in.
type Standin struct {
	*control.Server
	cfg         Config
	incarnation string
	running     atomic.Int64  // requests in flight
	requests    atomic.Uint64 // accepted requests
}

// New returns a scorer stand-in. Errors are those of control.NewServer.
func New(cfg Config) (*Standin, error) {
	s := &Standin{cfg: cfg, incarnation: uuid.NewString()}
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

// Reward returns the reward of a text, at least 0 and below 1.
func Reward(text string) float64 {
	return float64(xxhash.Sum64String(text)%rewardSteps) / rewardSteps
}

func (s *Standin) route(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case trainerapi.PathScore:
		s.score(ctx)
	case engineapi.PathLoadReport:
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, engineapi.LoadReport{Running: int(s.running.Load())})
	default:
		jsonhttp.WriteError(ctx, failure.New(failure.NotFound, failure.NotRun, "path %s does not exist", ctx.Path()).WithField("path"))
	}
}

// score logs the request and responds with a reward per text.
func (s *Standin) score(ctx *fasthttp.RequestCtx) {
	s.running.Add(1)
	defer s.running.Add(-1)
	var req trainerapi.ScoreRequest
	if !jsonhttp.ReadJSON(ctx, &req) || s.RefuseIfLeaving(ctx) {
		return
	}
	s.requests.Add(1)
	entry := standinapi.LogEntry{
		Event:     EventRun,
		RequestID: string(ctx.Request.Header.Peek(engineapi.HeaderRequestID)),
		Method:    string(ctx.Method()),
		Path:      string(ctx.Path()),
		BodyHash:  control.BodyHash(ctx.PostBody()),
	}
	if !s.StartExecution(entry, ctx.PostBody()) {
		return
	}
	s.pause(s.cfg.TimePerText * time.Duration(len(req.Texts)))
	rewards := make([]float64, len(req.Texts))
	for i, text := range req.Texts {
		rewards[i] = Reward(text)
	}
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, trainerapi.ScoreResponse{Rewards: rewards})
}

// pause waits for d, or until the stand-in stops.
func (s *Standin) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.Context().Done():
	}
}

func (s *Standin) handleCounters(ctx *fasthttp.RequestCtx) {
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, standinapi.CountersResponse{Requests: s.requests.Load()})
}
