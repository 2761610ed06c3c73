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

// Events of an engine's execution log. Offsets are token positions in the whole
// generation, the prior text included.
const (
	// EventRun is logged when a generation starts. Offset is the length of its prior text.
	EventRun = "run"
	// EventSegment is logged when a weight version generates its first token of a generation. Offset is the position of that token.
	EventSegment = "segment"
	// EventFinish is logged when a generation finishes. Offset is its length.
	EventFinish = "finish"
	// EventCancel is logged when a generation is cancelled. Offset is the number of tokens up to then.
	EventCancel = "cancel"
	// EventOrder is logged for each order. Detail tells whether it was accepted or refused.
	EventOrder = "order"
	// EventLoaded is logged when a loaded weight version comes into use.
	EventLoaded = "loaded"
	// EventLoadFailed is logged when a load fails. Detail is the error.
	EventLoadFailed = "load-failed"
)

// blockTokens is the number of tokens of a prefix block.
const blockTokens = engineapi.PrefixBlockBytes / promptTokenBytes

// Config is the configuration of an engine stand-in. Default sets the values in parentheses.
type Config struct {
	Server       control.Config
	Registration member.Registration
	// Model is the model that the engine serves.
	Model string
	// Version is the weight version at the start.
	Version uint64
	Speeds  Speeds
	// ChecksFencing makes the engine refuse orders with an outdated fencing token (true).
	ChecksFencing bool
	// SwapPause is the time without tokens when the weights are swapped (50 ms).
	SwapPause time.Duration
	// LoadTime is the duration of a load if no platform is configured (500 ms).
	LoadTime time.Duration
	// HoldTime is how long a generation can be resumed after its client disconnected (5 s).
	HoldTime time.Duration
	// LoadLag is the minimum age of load reports (500 ms).
	LoadLag time.Duration
	// CacheEventLag is the delay of cache events (500 ms).
	CacheEventLag time.Duration
}

// Default returns the configuration of an engine of medium speed without a listener or registration.
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
	// loads counts the loads in progress.
	loads sync.WaitGroup

	// kept holds the generations that can be resumed, by request id. The scheduler's mutex guards it.
	kept map[string]*generation

	loadMu sync.Mutex
	// samples holds the latest load samples, oldest first.
	samples []loadSample
}

// New returns an engine stand-in. Errors are those of control.NewServer.
func New(cfg Config) (*Standin, error) {
	s := &Standin{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		kept:        map[string]*generation{},
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

// Run serves until ctx ends or FaultCrashOnMatch stops the stand-in.
func (s *Standin) Run(ctx context.Context) error {
	defer s.loads.Wait()
	return s.Server.Run(ctx,
		s.cfg.Registration.KeepRegistered(s.Server, platform.EngineMember, s.incarnation),
		func(ctx context.Context) error { return s.sched.run(ctx, s.Faults().WaitThawed) },
		s.housekeep,
	)
}

// housekeep samples the load and drops abandoned generations until ctx ends.
func (s *Standin) housekeep(ctx context.Context) error {
	ticker := time.NewTicker(loadSamplePeriod)
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

// dropAbandoned cancels and removes the generations that have had no reader for HoldTime.
func (s *Standin) dropAbandoned(now time.Time) {
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	for id, g := range s.kept {
		if g.detachedAt.IsZero() || now.Sub(g.detachedAt) < s.cfg.HoldTime {
			continue
		}
		s.sched.cancel(g, now)
		delete(s.kept, id)
	}
}

func (s *Standin) handleCounters(ctx *fasthttp.RequestCtx) {
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, standinapi.CountersResponse{
		Requests:       s.sched.arrivals,
		Tokens:         s.sched.tokens,
		PromptTokens:   s.sched.promptTokens,
		CachedTokens:   s.sched.cachedTokens,
		BusySlotMillis: s.sched.busySlotTime.Milliseconds(),
	})
}

// generationID formats a result of Generation for the execution log.
func generationID(hash uint64) string { return strconv.FormatUint(hash, 16) }
