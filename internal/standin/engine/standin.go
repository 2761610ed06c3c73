package engine

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/member"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// Events of an engine's execution log. Offsets count from the start of the
// whole generation, the tokens of a prior text included.
const (
	// EventRun is written when a generation is taken; Offset is the length of its prior text.
	EventRun = "run"
	// EventSegment is written when a version makes its first token, Offset, of a generation.
	EventSegment = "segment"
	// EventFinish is written at the end of a generation; Offset is its length.
	EventFinish = "finish"
	// EventCancel is written when a generation is given up after Offset tokens.
	EventCancel     = "cancel"
	EventOrder      = "order"
	EventLoaded     = "loaded"
	EventLoadFailed = "load-failed"
)

const blockTokens = engineapi.PrefixBlockBytes / promptTokenBytes

// Config describes an engine stand-in.
type Config struct {
	Server       control.Config
	Registration member.Registration
	Model        string
	// Version is the weight version at the start.
	Version uint64
	Speeds  Speeds
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// SwapPause is how long decoding stops for a swap.
	SwapPause time.Duration
	// LoadTime is the time of a load without a platform.
	LoadTime time.Duration
	// HoldTime is how long a generation without a reader is kept.
	HoldTime time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheEventLag is the delay of cache events.
	CacheEventLag time.Duration
}

// Default returns the configuration of an ordinary engine.
func Default() Config {
	return Config{
		Model: "advice",
		Speeds: Speeds{
			Slots:                   16,
			TokensPerSecond:         2000,
			SequenceTokensPerSecond: 250,
			PrefillTokensPerSecond:  20000,
			Tick:                    10 * time.Millisecond,
			CacheBlocks:             4096,
		},
		ChecksFencing: true,
		SwapPause:     50 * time.Millisecond,
		LoadTime:      500 * time.Millisecond,
		HoldTime:      5 * time.Second,
		LoadLag:       500 * time.Millisecond,
		CacheEventLag: 500 * time.Millisecond,
	}
}

// Standin is an engine stand-in.
type Standin struct {
	*control.Server
	cfg         Config
	incarnation string
	sched       *scheduler
	swap        swapState
	loads       sync.WaitGroup

	// held has the generations that can be resumed, by request id; the scheduler's mutex guards it.
	held map[string]*generation

	loadMu  sync.Mutex
	samples []loadSampleAt
}

// New returns an engine stand-in.
func New(cfg Config) (*Standin, error) {
	s := &Standin{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		held:        map[string]*generation{},
	}
	s.swap.model = cfg.Model
	server, err := control.NewServer(cfg.Server, s.route)
	if err != nil {
		return nil, err
	}
	s.Server = server
	s.sched = newScheduler(cfg.Speeds, cfg.Version, server.Log().Add)
	server.HandleControl(standinapi.PathCounters, s.handleCounters)
	return s, nil
}

// Run serves until ctx ends or a CrashOn fault strikes.
func (s *Standin) Run(ctx context.Context) error {
	defer s.loads.Wait()
	return s.Server.Run(ctx,
		s.cfg.Registration.Duty(s.Server, platform.EngineMember, s.incarnation),
		func(ctx context.Context) error { return s.sched.run(ctx, s.Faults().WaitThawed) },
		s.housekeep,
	)
}

// housekeep samples the load and drops generations that nobody came back for.
func (s *Standin) housekeep(ctx context.Context) error {
	ticker := time.NewTicker(loadSample)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		s.Faults().WaitThawed(ctx)
		s.sampleLoad(time.Now())
		s.dropAbandoned(time.Now())
	}
}

// dropAbandoned cancels and forgets generations that had no reader for the hold time.
func (s *Standin) dropAbandoned(now time.Time) {
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	for id, g := range s.held {
		if g.detachedAt.IsZero() || now.Sub(g.detachedAt) < s.cfg.HoldTime {
			continue
		}
		s.sched.cancel(g, now)
		delete(s.held, id)
	}
}

func (s *Standin) handleCounters(ctx *fasthttp.RequestCtx) {
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, standinapi.CountersResponse{
		Requests:       s.sched.arrivals,
		Tokens:         s.sched.tokens,
		PromptTokens:   s.sched.prompt,
		CachedTokens:   s.sched.cached,
		BusySlotMillis: s.sched.busy.Milliseconds(),
	})
}

func generationID(hash uint64) string { return strconv.FormatUint(hash, 16) }
