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
	WritesPerSecond float64       `help:"Limit of table writes per second; 0 means no limit." default:"500"`
	ReadsPerSecond  float64       `help:"Limit of table reads per second; 0 means no limit." default:"2000"`
	WeightRate      int           `help:"Limit of the weight store's rate, in bytes per second; 0 means no limit." default:"268435456"`
	MemberLag       time.Duration `help:"Delay of the membership list." default:"1s"`
	MemberTTL       time.Duration `help:"Time after which a member that does not renew its registration is removed." default:"5s"`
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
	Slots         int           `help:"Maximum number of generations in the batch." default:"16"`
	TokenRate     float64       `help:"Tokens per second of a full batch." default:"2000"`
	SequenceRate  float64       `help:"Tokens per second of one generation in a small batch." default:"250"`
	PrefillRate   float64       `help:"Prompt tokens per second." default:"20000"`
	Tick          time.Duration `help:"Time between two steps of the batch." default:"10ms"`
	CacheBlocks   int           `help:"Capacity of the prefix cache, in blocks of 64 bytes." default:"4096"`
	IgnoreFencing bool          `help:"Obey orders with an old fencing token."`
	SwapPause     time.Duration `help:"Time without tokens while weights are swapped." default:"50ms"`
	HoldTime      time.Duration `help:"Time during which a broken stream can be resumed." default:"5s"`
	LoadLag       time.Duration `help:"Age of load reports." default:"500ms"`
	CacheEventLag time.Duration `help:"Delay of cache events." default:"500ms"`
}

// Run serves until ctx ends.
func (c *standinEngine) Run(ctx context.Context, out *streams) error {
	replicas, err := c.replicas()
	if err != nil {
		return err
	}
	cfg := c.engineConfig()
	return runReplicas(ctx, out, "engine", replicas, func(r replicaConfig) (standinRunner, error) {
		cfg.Server = r.server
		cfg.Registration = r.registration
		return engine.New(cfg)
	})
}

// engineConfig returns the configuration that all replicas share.
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
	AnswerTime    time.Duration `help:"Processing time of one request." default:"2ms"`
	Slots         int           `help:"Maximum number of concurrent requests." default:"64"`
}

// Run serves until ctx ends.
func (c *standinService) Run(ctx context.Context, out *streams) error {
	replicas, err := c.replicas()
	if err != nil {
		return err
	}
	return runReplicas(ctx, out, "service", replicas, func(r replicaConfig) (standinRunner, error) {
		return service.New(service.Config{
			Server: r.server, Registration: r.registration, AnswerTime: c.AnswerTime, Slots: c.Slots,
		})
	})
}

type standinScorer struct {
	standinMember `embed:""`
	TimePerText   time.Duration `help:"Processing time of one text." default:"0s"`
}

// Run serves until ctx ends.
func (c *standinScorer) Run(ctx context.Context, out *streams) error {
	replicas, err := c.replicas()
	if err != nil {
		return err
	}
	return runReplicas(ctx, out, "scorer", replicas, func(r replicaConfig) (standinRunner, error) {
		return scorer.New(scorer.Config{Server: r.server, Registration: r.registration, TimePerText: c.TimePerText})
	})
}

type standinTrainer struct {
	standinServer `embed:""`
	Name          string        `help:"Name of the trainer in the deployment document." required:""`
	Token         string        `help:"The trainer's bearer token." env:"SAPPHIREHATCH_TRAINER_TOKEN"`
	Hosts         []string      `help:"Caller addresses of entry hosts." required:""`
	Platform      string        `help:"The platform's ip:port." required:""`
	Model         string        `help:"Model whose weights are published." default:"advice"`
	Steps         int           `help:"Number of steps; 0 means no limit." default:"0"`
	FirstStep     uint64        `help:"Number of the first step." default:"1"`
	Groups        int           `help:"Number of groups per step." default:"8"`
	GroupSize     int           `help:"Number of samples per group." default:"4"`
	MaxTokens     int           `help:"Maximum length of a sample, in tokens." default:"512"`
	PromptBytes   int           `help:"Length of the shared part of the prompts, in bytes." default:"512"`
	Seed          int64         `help:"Seed of the prompts." default:"1"`
	Ahead         int           `help:"Number of steps requested ahead of the one being awaited." default:"0"`
	TrainTime     time.Duration `help:"Training time per step." default:"200ms"`
	PublishEvery  time.Duration `help:"Interval between new weight versions; 0 publishes one after each step." default:"0s"`
	NoPublish     bool          `help:"Publish no weight versions."`
	WeightBytes   int64         `help:"Size of a weight version, in bytes." default:"4194304"`
	RefetchEvery  int           `help:"Fetch every n-th step twice; 0 means never." default:"2"`
	Linger        bool          `help:"Keep serving the control interface after the last step."`
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
