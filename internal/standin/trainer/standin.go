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
	// EventStep is written when a step is whole; Detail is its number.
	EventStep = "step"
	// EventSample is written for each sample; Detail is its id.
	EventSample = "sample"
)

const (
	callTimeout  = 2 * time.Second
	fetchWait    = 2 * time.Second // how long a host may hold a fetch back
	fetchTimeout = 5 * time.Second
	retryPause   = 50 * time.Millisecond
)

// Config describes a trainer stand-in.
type Config struct {
	Server control.Config
	// Name is the trainer's name in the deployment document.
	Name string
	// Token is the trainer's bearer token.
	Token string
	// Hosts are the caller addresses to ask for the entry answer first.
	Hosts []string
	// Platform is the platform's ip:port.
	Platform string
	// Model is the model whose weights the trainer publishes.
	Model string
	// Steps is the number of steps; zero goes on until the stop.
	Steps int
	// FirstStep is the number of the first step.
	FirstStep uint64
	// Groups, GroupSize and MaxTokens are the size of a step.
	Groups    int
	GroupSize int
	MaxTokens int
	// PromptBytes is the length of the part of the prompts that a trainer's steps share.
	PromptBytes int
	// Seed varies the prompts.
	Seed int64
	// Ahead is the number of steps beyond the awaited one that are asked for already.
	Ahead int
	// TrainTime is the time that training on one step takes.
	TrainTime time.Duration
	// PublishAfterStep publishes a weight version after each step.
	PublishAfterStep bool
	// PublishEvery publishes a weight version at this interval; zero does not.
	PublishEvery time.Duration
	// WeightBytes is the size of a published version.
	WeightBytes int64
	// RefetchEvery fetches every so many-th step again from another host and compares; zero does not.
	RefetchEvery int
	// Dial opens connections to hosts and the platform; nil dials TCP.
	Dial jsonhttp.DialFunc
	// Linger keeps the control interface up after the last step.
	Linger bool
}

// Default returns the configuration of a small trainer.
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
	next     int // host to use next

	mu      sync.Mutex
	results standinapi.TrainerResults
	seen    map[string]uint64 // step of each sample id
	newest  uint64
	posted  uint64
}

// New returns a trainer stand-in.
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

// Run runs the steps until the last one is done or ctx ends.
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

// Results returns what the trainer recorded so far.
func (s *Standin) Results() standinapi.TrainerResults {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.results
	r.Steps = append([]standinapi.StepResult{}, r.Steps...)
	r.Duplicates = append([]string{}, r.Duplicates...)
	r.Changed = append([]uint64{}, r.Changed...)
	r.Lost = append([]uint64{}, r.Lost...)
	r.Problems = append([]string{}, r.Problems...)
	return r
}

// runSteps runs one step after the other.
func (s *Standin) runSteps(ctx context.Context) {
	s.learnNewest()
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

// runStep gets a step's samples, trains on them and publishes. It returns false if ctx ended first.
func (s *Standin) runStep(ctx context.Context, n uint64) bool {
	freeAt := time.Now()
	last := s.lastStep()
	if !s.postUntil(ctx, min(last, n+uint64(s.cfg.Ahead))) {
		return false
	}
	samples, newest, ok := s.fetch(ctx, n)
	if !ok && ctx.Err() == nil {
		s.giveUp(ctx, n)
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
	if s.cfg.Ahead > 0 && !s.postUntil(ctx, min(last, n+1+uint64(s.cfg.Ahead))) {
		return false
	}
	pause.For(ctx, s.cfg.TrainTime)
	if s.cfg.PublishAfterStep {
		s.publish()
	}
	return ctx.Err() == nil
}

func (s *Standin) lastStep() uint64 {
	if s.cfg.Steps == 0 {
		return ^uint64(0)
	}
	return s.cfg.FirstStep + uint64(s.cfg.Steps) - 1
}
