package command

import (
	"context"

	"github.com/sapphirehatch/sapphirehatch/internal/demo"
)

// demoCommand runs a whole small deployment in one process.
type demoCommand struct{}

// Run ends with an error if a promise broke.
func (c *demoCommand) Run(ctx context.Context, out *streams) error {
	log, err := newLogger(out.Err, "error")
	if err != nil {
		return err
	}
	return demo.Run(ctx, demo.Config{Out: out.Out, Log: log, RunHost: runHost, RunRowsHost: serveRows})
}
