package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/engine"
	standinplatform "github.com/sapphirehatch/sapphirehatch/internal/standin/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/scorer"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/service"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/trainer"
)

// standinCommand runs one stand-in.
type standinCommand struct {
	Platform standinPlatform `cmd:"" help:"Run a platform: table, objects, membership list and weight store."`
	Engine   standinEngine   `cmd:"" help:"Run a model engine."`
	Service  standinService  `cmd:"" help:"Run a plain service that echoes its requests."`
	Trainer  standinTrainer  `cmd:"" help:"Run a trainer."`
	Scorer   standinScorer   `cmd:"" help:"Run a service that scores rollouts."`
	Rows     standinRows     `cmd:"" help:"Run a platform with a row service, its engines and its services."`
}

type standinPlatform struct {
	standinServer   `embed:""`
	WritesPerSecond float64       `help:"Limit of table writes a second; 0 means none." default:"500"`
	ReadsPerSecond  float64       `help:"Limit of table reads a second; 0 means none." default:"2000"`
	WeightRate      int           `help:"Rate of the weight store, in bytes a second; 0 means no limit." default:"268435456"`
	MemberLag       time.Duration `help:"Delay of the membership list." default:"1s"`
	MemberTTL       time.Duration `help:"Time after which a silent member disappears." default:"5s"`
}

// Run serves until ctx ends.
func (c *standinPlatform) Run(ctx context.Context, out *streams) error {
	cfg := standinplatform.Default()
	cfg.Server = c.config()
	cfg.Server.LeaveGrace = 0
	cfg.WritesPerSecond = c.WritesPerSecond
	cfg.ReadsPerSecond = c.ReadsPerSecond
	cfg.WeightBytesPerSecond = c.WeightRate
	cfg.MemberLag = c.MemberLag
	cfg.MemberTTL = c.MemberTTL
	s, err := standinplatform.New(cfg)
	if err != nil {
		return err
	}
	return runStandin(ctx, out, "platform", "platform", s)
}

type standinEngine struct {
	standinMember `embed:""`
	Model         string        `help:"Model that the engine serves." default:"advice"`
	Version       uint64        `help:"Weight version at the start." default:"0"`
	Slots         int           `help:"Generations in the batch." default:"16"`
	TokenRate     float64       `help:"Tokens a second of a full batch." default:"2000"`
	SequenceRate  float64       `help:"Tokens a second of one generation in a small batch." default:"250"`
	PrefillRate   float64       `help:"Prompt tokens a second." default:"20000"`
	Tick          time.Duration `help:"Time between two steps of the batch." default:"10ms"`
	CacheBlocks   int           `help:"Capacity of the prefix cache, in blocks of 64 bytes." default:"4096"`
	IgnoreFencing bool          `help:"Obey orders with an old fencing number."`
	SwapPause     time.Duration `help:"Time without tokens at a swap." default:"50ms"`
	HoldTime      time.Duration `help:"Time for which a broken stream can be resumed." default:"5s"`
	LoadLag       time.Duration `help:"Age of load reports." default:"500ms"`
	CacheEventLag time.Duration `help:"Delay of cache events." default:"500ms"`
}

// Run serves until ctx ends.
func (c *standinEngine) Run(ctx context.Context, out *streams) error {
	places, err := c.replicas()
	if err != nil {
		return err
	}
	cfg := c.engineConfig()
	return runReplicas(ctx, out, "engine", places, func(place replica) (runner, error) {
		cfg.Server = place.server
		cfg.Registration = place.registration
		return engine.New(cfg)
	})
}

// engineConfig returns what the replicas have in common.
func (c *standinEngine) engineConfig() engine.Config {
	cfg := engine.Default()
	cfg.Model = c.Model
	cfg.Version = c.Version
	cfg.Speeds = engine.Speeds{
		Slots: c.Slots, TokensPerSecond: c.TokenRate, SequenceTokensPerSecond: c.SequenceRate,
		PrefillTokensPerSecond: c.PrefillRate, Tick: c.Tick, CacheBlocks: c.CacheBlocks,
	}
	cfg.ChecksFencing = !c.IgnoreFencing
	cfg.SwapPause = c.SwapPause
	cfg.HoldTime = c.HoldTime
	cfg.LoadLag = c.LoadLag
	cfg.CacheEventLag = c.CacheEventLag
	return cfg
}

type standinService struct {
	standinMember `embed:""`
	AnswerTime    time.Duration `help:"Time that one request takes." default:"2ms"`
	Slots         int           `help:"Requests that run at once." default:"64"`
}

// Run serves until ctx ends.
func (c *standinService) Run(ctx context.Context, out *streams) error {
	places, err := c.replicas()
	if err != nil {
		return err
	}
	return runReplicas(ctx, out, "service", places, func(place replica) (runner, error) {
		return service.New(service.Config{
			Server: place.server, Registration: place.registration, AnswerTime: c.AnswerTime, Slots: c.Slots,
		})
	})
}

type standinScorer struct {
	standinMember `embed:""`
	TimePerText   time.Duration `help:"Time that one text takes." default:"0s"`
}

// Run serves until ctx ends.
func (c *standinScorer) Run(ctx context.Context, out *streams) error {
	places, err := c.replicas()
	if err != nil {
		return err
	}
	return runReplicas(ctx, out, "scorer", places, func(place replica) (runner, error) {
		return scorer.New(scorer.Config{Server: place.server, Registration: place.registration, TimePerText: c.TimePerText})
	})
}

type standinTrainer struct {
	standinServer `embed:""`
	Name          string        `help:"Name of the trainer in the deployment document." required:""`
	Token         string        `help:"The trainer's bearer token." env:"SAPPHIREHATCH_TRAINER_TOKEN"`
	Hosts         []string      `help:"Caller addresses of entry hosts." required:""`
	Platform      string        `help:"The platform's ip:port." required:""`
	Model         string        `help:"Model whose weights are published." default:"advice"`
	Steps         int           `help:"Number of steps; 0 goes on until the stop." default:"0"`
	FirstStep     uint64        `help:"Number of the first step." default:"1"`
	Groups        int           `help:"Groups a step." default:"8"`
	GroupSize     int           `help:"Samples a group." default:"4"`
	MaxTokens     int           `help:"Longest sample, in tokens." default:"512"`
	PromptBytes   int           `help:"Length of the shared part of the prompts, in bytes." default:"512"`
	Seed          int64         `help:"Varies the prompts." default:"1"`
	Ahead         int           `help:"Steps beyond the awaited one that are asked for already." default:"0"`
	TrainTime     time.Duration `help:"Time of training on a step." default:"200ms"`
	PublishEvery  time.Duration `help:"Interval of new weight versions; 0 publishes after each step." default:"0s"`
	NoPublish     bool          `help:"Publish no weight versions."`
	WeightBytes   int64         `help:"Size of a weight version, in bytes." default:"4194304"`
	RefetchEvery  int           `help:"Fetch every so many-th step twice; 0 never." default:"2"`
	Linger        bool          `help:"Keep the control interface up after the last step."`
}

// Run runs the steps, then prints the results as JSON.
func (c *standinTrainer) Run(ctx context.Context, out *streams) error {
	cfg := trainer.Config{
		Server: c.config(), Name: c.Name, Token: c.Token, Hosts: c.Hosts, Platform: c.Platform, Model: c.Model,
		Steps: c.Steps, FirstStep: c.FirstStep, Groups: c.Groups, GroupSize: c.GroupSize, MaxTokens: c.MaxTokens,
		PromptBytes: c.PromptBytes, Seed: c.Seed, Ahead: c.Ahead, TrainTime: c.TrainTime,
		PublishAfterStep: !c.NoPublish && c.PublishEvery == 0, PublishEvery: c.PublishEvery,
		WeightBytes: c.WeightBytes, RefetchEvery: c.RefetchEvery, Linger: c.Linger,
	}
	cfg.Server.LeaveGrace = 0
	s, err := trainer.New(cfg)
	if err != nil {
		return err
	}
	if err := runStandin(ctx, out, "trainer", c.Name, s); err != nil {
		return err
	}
	return printJSON(out.Out, s.Results())
}

func printJSON(w io.Writer, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "results cannot be encoded")
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}
