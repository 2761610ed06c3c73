package command

import (
	"context"
	"os"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/load"
)

// loadCommand runs an experiment against running hosts.
type loadCommand struct {
	Experiment string `help:"Path of the experiment's INI file." required:"" type:"existingfile"`
	JSON       string `help:"File to write the report to, as JSON."`
	Seed       int64  `help:"Seed of arrivals, bodies and prompts; 0 uses the seed in the experiment's file."`
}

// Run runs the experiment and writes its report. It returns an error if a promise was
// broken.
func (c *loadCommand) Run(ctx context.Context, out *streams) error {
	experiment, err := load.Load(c.Experiment)
	if err != nil {
		return err
	}
	experiment.SetSeed(c.Seed)
	log, err := newLogger(out.Err, "info")
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, experiment, log)
	if err != nil {
		return err
	}
	if err := load.WriteTable(out.Out, report); err != nil {
		return err
	}
	if err := c.writeJSON(report); err != nil {
		return err
	}
	if broken := report.ViolationCount(); broken > 0 {
		return failure.New(failure.Internal, "", "%d promises were broken", broken)
	}
	return nil
}

func (c *loadCommand) writeJSON(report *load.Report) error {
	if c.JSON == "" {
		return nil
	}
	file, err := os.Create(c.JSON)
	if err != nil {
		return failure.Wrap(err, failure.InvalidSettings, "", "report file %s cannot be written", c.JSON).WithField("json")
	}
	if err := printJSON(file, report); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
