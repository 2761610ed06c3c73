package trainer

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/entryclient"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// Events of a trainer's execution log.
const (
	// EventStep is logged when the samples of a step are complete. Detail is the number of the step.
	EventStep = "step"
	// EventSample is logged for each sample. Detail is its id.
	EventSample = "sample"
)

const (
	// callTimeout bounds a call to a host or the platform, except for fetches.
	callTimeout = 2 * time.Second
	// fetchWait is how long a host may wait for the samples before it responds to a fetch.
	fetchWait = 2 * time.Second
	// fetchTimeout bounds a fetch.
	fetchTimeout = 5 * time.Second
	// retryPause is the wait before the retry of a failed call.
	retryPause = 50 * time.Millisecond
)

// Config is the configuration of a trainer stand-in. Default sets the values in parentheses.
type Config struct {
	Server control.Config
	// Name is the trainer's name in the deployment document ("draught").
	Name string
	// Token is the trainer's bearer token.
	Token string
	// Hosts are the caller addresses from which the list of hosts is first requested. At least one is required.
	Hosts []string
	// Platform is the platform's ip:port. If it is empty, no weight versions are published.
	Platform string
	// Model is the model whose weights the trainer publishes ("advice").
	Model string
	// Steps is the number of steps. Zero continues until the stand-in is stopped.
	Steps int
	// FirstStep is the number of the first step (1).
	FirstStep uint64
	// Groups is the number of groups per step (8), GroupSize the number of samples
	// per group (4) and MaxTokens the maximum length of a sample, in tokens (512).
	Groups    int
	GroupSize int
	MaxTokens int
	// PromptBytes is the length of the part that all prompts have in common, in bytes (512).
	PromptBytes int
	// Seed is part of the prompts. Another seed gives other prompts.
	Seed int64
	// Ahead is the number of steps that are requested in advance while the trainer waits for one.
	Ahead int
	// TrainTime is the duration of the training on one step (200 ms).
	TrainTime time.Duration
	// PublishAfterStep publishes a weight version after each step (true).
	PublishAfterStep bool
	// PublishEvery is the interval at which weight versions are published. Zero publishes none at intervals.
	PublishEvery time.Duration
	// WeightBytes is the size of a published weight version, in bytes (4 MiB).
	WeightBytes int64
	// RefetchEvery fetches the samples again from another host if the number of
	// the step is a multiple of it, and compares them (2). Zero fetches none again.
	RefetchEvery int
	// Dial opens connections to hosts and the platform. Nil dials TCP.
	Dial jsonhttp.DialFunc
	// Linger keeps the control interface available after the last step, until the stand-in is stopped.
	Linger bool
}

// Default returns the configuration of a small trainer, without hosts, platform or listener.
func Default() Config {
	return Config{
		Name: "draught", Model: "advice", FirstStep: 1, Groups: 8, GroupSize: 4, MaxTokens: 512, PromptBytes: 512,
		TrainTime: 200 * time.Millisecond, PublishAfterStep: true, WeightBytes: 4 << 20, RefetchEvery: 2,
	}
}

// Standin is a trainer stand-in.
type Standin struct {
	*control.Server
	cfg      Config
	hosts    *jsonhttp.Client
	platform *jsonhttp.Client
	entry    *entryclient.Client
	// nextHost selects the host for the next call. It is incremented after each failure.
	nextHost int

	mu            sync.Mutex
	results       standinapi.TrainerResults
	seen          map[string]uint64 // step of each sample id
	newest        uint64            // newest known weight version
	lastRequested uint64            // number of the last step that a host accepted
}

// New returns a trainer stand-in. The error is InvalidSettings if a required
// field of cfg is missing or the log file cannot be read.
func New(cfg Config) (*Standin, error) {
	switch {
	case cfg.Name == "" || cfg.Model == "":
		return nil, failure.New(failure.InvalidSettings, "", "a trainer needs a name and a model").WithField("name")
	case len(cfg.Hosts) == 0:
		return nil, failure.New(failure.InvalidSettings, "", "a trainer needs the address of a host").WithField("hosts")
	case cfg.Groups <= 0 || cfg.GroupSize <= 0:
		return nil, failure.New(failure.InvalidSettings, "", "a step needs at least one group of one sample").WithField("groups")
	}
	s := &Standin{
		cfg:      cfg,
		hosts:    jsonhttp.NewClient(callTimeout, cfg.Dial).WithHeader(fasthttp.HeaderAuthorization, "Bearer "+cfg.Token),
		platform: jsonhttp.NewClient(callTimeout, cfg.Dial),
		seen:     map[string]uint64{},
	}
	s.entry = entryclient.New(s.hosts, "", cfg.Hosts)
	s.results.Trainer = cfg.Name
	server, err := control.NewServer(cfg.Server, func(ctx *fasthttp.RequestCtx) {
		jsonhttp.WriteError(ctx, failure.New(failure.NotFound, failure.NotRun, "a trainer serves no requests"))
	})
	if err != nil {
		return nil, err
	}
	s.Server = server
	server.HandleControl(standinapi.PathResults, func(ctx *fasthttp.RequestCtx) {
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, s.Results())
	})
	return s, nil
}

// Run executes the steps until ctx ends. Without Linger it returns after the last step.
func (s *Standin) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer s.hosts.CloseIdle()
	defer s.platform.CloseIdle()
	return s.Server.Run(ctx,
		func(ctx context.Context) error {
			s.runSteps(ctx)
			if !s.cfg.Linger {
				stop()
			}
			return nil
		},
		s.publishOnInterval,
	)
}

// Results returns a copy of the results so far.
func (s *Standin) Results() standinapi.TrainerResults {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.results
	r.Steps = append([]standinapi.StepResult{}, r.Steps...)
	r.Duplicates = append([]string{}, r.Duplicates...)
	r.ChangedSteps = append([]uint64{}, r.ChangedSteps...)
	r.CancelledSteps = append([]uint64{}, r.CancelledSteps...)
	r.Problems = append([]string{}, r.Problems...)
	return r
}

// runSteps executes the steps one after the other.
func (s *Standin) runSteps(ctx context.Context) {
	s.newestVersion()
	for done := 0; (s.cfg.Steps == 0 || done < s.cfg.Steps) && ctx.Err() == nil; done++ {
		n := s.cfg.FirstStep + uint64(done)
		if !s.runStep(ctx, n) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results.Finished = ctx.Err() == nil
}

// runStep fetches the samples of a step, waits for TrainTime and publishes a
// weight version. A step whose samples are too old is cancelled. It returns
// false if the request of a step was refused for good or ctx ended.
func (s *Standin) runStep(ctx context.Context, n uint64) bool {
	freeAt := time.Now()
	last := s.lastStep()
	if !s.requestStepsUntil(ctx, min(last, n+uint64(s.cfg.Ahead))) {
		return false
	}
	samples, newest, ok := s.fetch(ctx, n)
	if !ok && ctx.Err() == nil {
		s.cancelStep(ctx, n)
		return ctx.Err() == nil
	}
	if !ok {
		return false
	}
	s.recordStep(n, samples, newest, time.Since(freeAt))
	if s.cfg.RefetchEvery > 0 && n%uint64(s.cfg.RefetchEvery) == 0 {
		s.refetch(ctx, n, samples)
	}
	s.acknowledge(ctx, n)
	if s.cfg.Ahead > 0 && !s.requestStepsUntil(ctx, min(last, n+1+uint64(s.cfg.Ahead))) {
		return false
	}
	pause.For(ctx, s.cfg.TrainTime)
	if s.cfg.PublishAfterStep {
		s.publish()
	}
	return ctx.Err() == nil
}

// lastStep returns the number of the last step, or the maximum if there is no last one.
func (s *Standin) lastStep() uint64 {
	if s.cfg.Steps == 0 {
		return ^uint64(0)
	}
	return s.cfg.FirstStep + uint64(s.cfg.Steps) - 1
}
