package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes of the binary.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// commands is the root of the command line. Each field is a command whose Run method
// takes a context.Context, which is cancelled by SIGINT or SIGTERM, and *streams.
type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run an entry host."`
	Standin  standinCommand  `cmd:"" help:"Run a stand-in for a system that sapphirehatch works with."`
	Load     loadCommand     `cmd:"" help:"Generate load on running hosts and check their promises."`
	Config   configCommand   `cmd:"" help:"Check and change the deployment document."`
	Keys     keysCommand     `cmd:"" help:"Create the certificate authority and the keys for TLS between hosts."`
	Timeline timelineCommand `cmd:"" help:"Tell from the logs of all hosts where the time of training steps went."`
	Demo     demoCommand     `cmd:"" help:"Run a small deployment in one process and check its promises."`
}

// streams are the output streams of a command.
type streams struct {
	Out io.Writer
	Err io.Writer
}

// errHelpPrinted is the panic value that stops the parser after it has printed help. The
// parser would continue after a call of its exit function that returns.
var errHelpPrinted = errors.New("usage printed")

// Main runs the command given by args and returns the exit code of the process: 0 after
// success or help, 1 if the command failed, 2 for invalid arguments.
func Main(args []string, stdout, stderr io.Writer) int {
	var root commands
	helpPrinted := false
	parser, err := kong.New(&root,
		kong.Name("sapphirehatch"),
		kong.Description("A rollout service for reinforcement learning."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { helpPrinted = true; panic(errHelpPrinted) }),
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	kctx, err := parse(parser, args)
	if helpPrinted {
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "sapphirehatch:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	kctx.BindTo(ctx, (*context.Context)(nil))
	if err := kctx.Run(&streams{Out: stdout, Err: stderr}); err != nil {
		_, _ = fmt.Fprintln(stderr, "sapphirehatch:", err)
		return exitFailure
	}
	return exitOK
}

// parse parses args. It recovers from errHelpPrinted.
func parse(parser *kong.Kong, args []string) (kctx *kong.Context, err error) {
	defer func() {
		if r := recover(); r != nil && r != any(errHelpPrinted) {
			panic(r)
		}
	}()
	return parser.Parse(args)
}
