package command

import (
	"context"

	"github.com/sapphirehatch/sapphirehatch/internal/demo"
)

// demoCommand runs a small deployment in one process.
type demoCommand struct{}

// Run runs the demonstration. It returns an error if a promise was broken.
func (c *demoCommand) Run(ctx context.Context, out *streams) error {
	log, err := newLogger(out.Err, "error")
	if err != nil {
		return err
	}
	return demo.Run(ctx, demo.Config{Out: out.Out, Log: log, RunHost: runHost, RunRowsHost: serveRows})
}
