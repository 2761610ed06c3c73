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

// EventRun is the event of the execution log for a request that ran.
const EventRun = "run"

// rewardSteps is the number of different rewards.
const rewardSteps = 1000

// Config describes a scorer stand-in.
type Config struct {
	Server       control.Config
	Registration member.Registration
	// TimePerText is the time that one text takes.
	TimePerText time.Duration
}

// Standin is a scorer stand-in.
type Standin struct {
	*control.Server
	cfg         Config
	incarnation string
	running     atomic.Int64
	requests    atomic.Uint64
}

// New returns a scorer stand-in.
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

// Run serves until ctx ends or a CrashOn fault strikes.
func (s *Standin) Run(ctx context.Context) error {
	return s.Server.Run(ctx, s.cfg.Registration.Duty(s.Server, platform.ServiceMember, s.incarnation))
}

// Reward returns the reward of a text.
func Reward(text string) float64 {
	return float64(xxhash.Sum64String(text)%rewardSteps) / rewardSteps
}

func (s *Standin) route(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case trainerapi.PathScore:
		s.score(ctx)
	case engineapi.PathLoad:
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, engineapi.Load{Running: int(s.running.Load())})
	default:
		jsonhttp.WriteError(ctx, failure.New(failure.NotFound, failure.NotRun, "path %s does not exist", ctx.Path()).WithField("path"))
	}
}

func (s *Standin) score(ctx *fasthttp.RequestCtx) {
	s.running.Add(1)
	defer s.running.Add(-1)
	var req trainerapi.ScoreRequest
	if !jsonhttp.ReadJSON(ctx, &req) || s.RefuseLeaving(ctx) {
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
	if !s.Start(entry, ctx.PostBody()) {
		return
	}
	s.pause(s.cfg.TimePerText * time.Duration(len(req.Texts)))
	rewards := make([]float64, len(req.Texts))
	for i, text := range req.Texts {
		rewards[i] = Reward(text)
	}
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, trainerapi.ScoreResponse{Rewards: rewards})
}

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
