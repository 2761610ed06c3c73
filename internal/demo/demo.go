package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/trainer"
)

const (
	trainingSteps  = 2
	groups         = 4
	groupSize      = 4
	sampleTokens   = 128
	stalenessBound = 2
	trainTimeout   = 2 * time.Minute
)

// RunHost runs one entry host until ctx ends.
type RunHost func(ctx context.Context, s *settings.Settings, log logr.Logger) error

// RunRowsHost runs one entry host on a platform with a row service until ctx ends.
type RunRowsHost func(ctx context.Context, s *settings.Rows, log logr.Logger) error

// Config describes a run.
type Config struct {
	RunHost     RunHost
	RunRowsHost RunRowsHost
	Log         logr.Logger
	// Out receives the progress and the summary.
	Out io.Writer
}

// Run runs the demonstration. It returns an error if it could not run or a promise broke.
func Run(ctx context.Context, cfg Config) error {
	dir, err := os.MkdirTemp("", "sapphirehatch-demo-")
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "no directory for the keys")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &demo{cfg: cfg, dir: dir, report: &Report{}, running: newProcessSet(ctx, cfg.Log)}
	defer d.running.stop()
	if err := d.run(ctx); err != nil {
		return err
	}
	d.report.write(cfg.Out)
	if n := len(d.report.Broken); n > 0 {
		return failure.New(failure.Internal, "", "%d promises broke", n)
	}
	return nil
}

// demo is one run.
type demo struct {
	cfg     Config
	dir     string
	report  *Report
	running *processSet
	tokens  tokens
	hosts   []*settings.Settings
}

func (d *demo) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(d.cfg.Out, format+"\n", args...)
}

func (d *demo) run(ctx context.Context) error {
	var err error
	if d.tokens, err = newTokens(); err != nil {
		return err
	}
	emulated := &emulator{start: d.startStandin}
	if err := emulated.startAll(ctx); err != nil {
		return err
	}
	d.progress("started the platform, %d engines, %d services and a scorer", engines, services)
	if err := d.startHosts(ctx, emulated.platform.Address()); err != nil {
		return err
	}
	d.progress("started %d hosts; the deployment document is in force on all", len(d.hosts))

	trained := make(chan error, 1)
	go func() { trained <- d.train(ctx, emulated) }()
	c := newCustomers(d.callerAddresses(), d.tokens.Tenant.Secret, d.report)
	c.readSpecifications()
	d.progress("read %d specifications", d.report.Answers)
	c.book()
	d.progress("made %d bookings", len(d.report.Bookings))
	c.complete()
	d.progress("got %d completions", d.report.Completions)
	if err := <-trained; err != nil {
		return err
	}
	d.progress("ran %d training steps", len(d.report.Trainer.Steps))
	d.report.checkBookings(emulated.runs())
	if err := d.runChatJob(ctx); err != nil {
		return err
	}
	d.progress("ran a job of %d completions that was handed in at one host and read at another", jobRollouts)
	if err := d.runJob(ctx); err != nil {
		return err
	}
	d.progress("ran a job of %d rollouts whose first host lost its platform", jobRollouts)
	return nil
}

// startStandin runs a stand-in that is stopped after the hosts.
func (d *demo) startStandin(name string, run duty.Func) { d.running.start(name, afterHosts, run) }

func (d *demo) startHosts(ctx context.Context, platformAddress string) error {
	hosts, err := hostSettings(d.dir, platformAddress, d.tokens.Operator.SHA256)
	if err != nil {
		return err
	}
	d.hosts = hosts
	for _, s := range hosts {
		d.running.start(s.Host.ID, withHosts, func(ctx context.Context) error {
			return d.cfg.RunHost(ctx, s, d.cfg.Log)
		})
	}
	if err := applyDocument(ctx, hosts[0].Host.AdminAddress, d.tokens.Operator.Secret, document(d.tokens)); err != nil {
		return err
	}
	for _, s := range hosts {
		if err := awaitReady(ctx, s.Host.AdminAddress, d.tokens.Operator.Secret); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) callerAddresses() []string {
	addresses := make([]string, len(d.hosts))
	for i, s := range d.hosts {
		addresses[i] = s.Host.CallerAddress
	}
	return addresses
}

// train runs the trainer to its end and checks what it got.
func (d *demo) train(ctx context.Context, emulated *emulator) error {
	ctx, cancel := context.WithTimeout(ctx, trainTimeout)
	defer cancel()
	cfg := trainer.Default()
	cfg.Server = serverConfig()
	cfg.Name = "draught"
	cfg.Token = d.tokens.Trainer.Secret
	cfg.Hosts = d.callerAddresses()
	cfg.Platform = emulated.platform.Address()
	cfg.Model = model
	cfg.Steps = trainingSteps
	cfg.Groups = groups
	cfg.GroupSize = groupSize
	cfg.MaxTokens = sampleTokens
	s, err := trainer.New(cfg)
	if err != nil {
		return err
	}
	if err := s.Run(ctx); err != nil {
		return err
	}
	d.report.checkTrainer(s.Results(), stalenessBound)
	return nil
}
