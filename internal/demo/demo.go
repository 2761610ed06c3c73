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
	trainingSteps   = 2
	groupsPerStep   = 4
	groupSize       = 4
	maxSampleTokens = 128
	stalenessBound  = 2
	trainTimeout    = 2 * time.Minute
)

// RunHost runs one host until ctx ends.
type RunHost func(ctx context.Context, s *settings.Settings, log logr.Logger) error

// RunRowsHost runs one host on a platform with a row service until ctx ends.
type RunRowsHost func(ctx context.Context, s *settings.Rows, log logr.Logger) error

// Config configures Run. All fields are required.
type Config struct {
	// RunHost and RunRowsHost start the hosts.
	RunHost     RunHost
	RunRowsHost RunRowsHost
	Log         logr.Logger
	// Out receives progress lines and the summary.
	Out io.Writer
}

// Run runs the demonstration and prints its report to cfg.Out. It returns an error
// if the demonstration could not run or a guarantee was violated.
func Run(ctx context.Context, cfg Config) error {
	dir, err := os.MkdirTemp("", "sapphirehatch-demo-")
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "temporary directory for the host keys cannot be created")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &demo{cfg: cfg, dir: dir, report: &Report{}, running: newProcessSet(ctx, cfg.Log)}
	defer d.running.stop()
	if err := d.run(ctx); err != nil {
		return err
	}
	d.report.write(cfg.Out)
	if n := len(d.report.Violations); n > 0 {
		return failure.New(failure.Internal, "", "%d promises were broken", n)
	}
	return nil
}

// demo is one run of the demonstration.
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
	standins := &standinSet{start: d.startStandin}
	if err := standins.startAll(ctx); err != nil {
		return err
	}
	d.progress("started the platform, %d engines, %d services and a scorer", engineCount, serviceCount)
	if err := d.startHosts(ctx, standins.platform.Address()); err != nil {
		return err
	}
	d.progress("started %d hosts; the deployment document is in force on all", len(d.hosts))

	trained := make(chan error, 1)
	go func() { trained <- d.train(ctx, standins) }()
	c := newCustomers(d.callerAddresses(), d.tokens.Tenant.Secret, d.report)
	c.readSpecifications()
	d.progress("read %d specifications", d.report.Answers)
	c.makeBookings()
	d.progress("made %d bookings", len(d.report.Bookings))
	c.requestCompletions()
	d.progress("got %d completions", d.report.Completions)
	if err := <-trained; err != nil {
		return err
	}
	d.progress("ran %d training steps", len(d.report.Trainer.Steps))
	d.report.checkBookings(standins.runs())
	if err := d.runChatJob(ctx); err != nil {
		return err
	}
	d.progress("ran a job of %d completions that was submitted to one host and read from another", jobRollouts)
	if err := d.runRowsJob(ctx); err != nil {
		return err
	}
	d.progress("ran a job of %d rollouts whose first host lost contact with the platform", jobRollouts)
	return nil
}

// startStandin starts a stand-in that is stopped after the hosts.
func (d *demo) startStandin(name string, run duty.Func) { d.running.start(name, stopAfterHosts, run) }

func (d *demo) startHosts(ctx context.Context, platformAddress string) error {
	hosts, err := hostSettings(d.dir, platformAddress, d.tokens.Operator.SHA256)
	if err != nil {
		return err
	}
	d.hosts = hosts
	for _, s := range hosts {
		d.running.start(s.Host.ID, stopWithHosts, func(ctx context.Context) error {
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

// train runs the trainer for trainingSteps steps and checks its results.
func (d *demo) train(ctx context.Context, standins *standinSet) error {
	ctx, cancel := context.WithTimeout(ctx, trainTimeout)
	defer cancel()
	cfg := trainer.Default()
	cfg.Server = serverConfig()
	cfg.Name = "draught"
	cfg.Token = d.tokens.Trainer.Secret
	cfg.Hosts = d.callerAddresses()
	cfg.Platform = standins.platform.Address()
	cfg.Model = model
	cfg.Steps = trainingSteps
	cfg.Groups = groupsPerStep
	cfg.GroupSize = groupSize
	cfg.MaxTokens = maxSampleTokens
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
