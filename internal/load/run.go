package load

import (
	"context"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

// Run runs the arms of an experiment one after another. Violated guarantees are in
// the report, not in the error. When ctx ends, it returns the report so far and the
// error of ctx.
func Run(ctx context.Context, e *Experiment, log logr.Logger) (*Report, error) {
	report := &Report{Name: e.Settings.Name, Seed: e.Settings.Seed}
	for i, a := range e.Arms {
		if i > 0 && !pause.For(ctx, e.Settings.Pause) {
			break
		}
		result, err := newArmRun(a, log).run(ctx)
		if err != nil {
			return nil, err
		}
		result.Values = a.Values
		report.Arms = append(report.Arms, result)
	}
	return report, ctx.Err()
}
