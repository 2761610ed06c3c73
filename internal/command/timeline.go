package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/timeline"
)

// timelineCommand tells where the time of training steps went.
type timelineCommand struct {
	Logs []string      `arg:"" help:"Log files of all hosts, at level info." type:"existingfile"`
	Over time.Duration `help:"Show only jobs that took at least this long." default:"0s"`
}

// Run prints a line for each job whose acceptance is in the logs.
func (c *timelineCommand) Run(_ context.Context, out *streams) error {
	readers := make([]io.Reader, 0, len(c.Logs))
	for _, path := range c.Logs {
		file, err := os.Open(path)
		if err != nil {
			return failure.Wrap(err, failure.InvalidRequest, "", "log %s can't be opened", path).WithField(path)
		}
		defer func() { _ = file.Close() }()
		readers = append(readers, file)
	}
	steps, err := timeline.Read(io.MultiReader(readers...))
	if err != nil {
		return err
	}
	return printTimeline(out.Out, lo.Filter(steps, func(s timeline.Step, _ int) bool {
		return c.Over == 0 || s.Ended.IsZero() || s.Ended.Sub(s.Accepted) >= c.Over
	}))
}

func printTimeline(w io.Writer, steps []timeline.Step) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "accepted\tmodel\tstep\trollouts\tjob\ttook\twaiting\tlost\tgenerating\tscoring\twriting\tread\trefused\tmoved\towners\trollout")
	short := func(d time.Duration) string { return fmt.Sprintf("%.2fs", d.Seconds()) }
	for _, s := range steps {
		took := "open"
		if !s.Ended.IsZero() {
			took = short(s.Ended.Sub(s.Accepted))
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", s.Accepted.UTC().Format("15:04:05.000"), s.Model, s.Number,
			s.Rollouts, s.Job, took, short(s.Waiting), short(s.Lost), short(s.Generating), short(s.Scoring), short(s.Writing), short(s.Read), s.Refusals, s.Moves, s.Owners, s.Rollout)
	}
	return table.Flush()
}
