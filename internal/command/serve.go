package command

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/logline"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/platform"
)

// serveCommand runs an entry host.
type serveCommand struct {
	Settings string `help:"Path of the host's INI settings file." required:"" type:"existingfile" env:"SAPPHIREHATCH_BOOT"`
}

// Run runs a host until ctx ends, then stops it after the requests in flight have ended.
func (c *serveCommand) Run(ctx context.Context, out *streams) error {
	if settings.UsesRows(c.Settings) {
		return runRowsHost(ctx, c.Settings, out)
	}
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := newLogger(out.Err, s.Log.Level)
	if err != nil {
		return err
	}
	return runHost(ctx, s, log)
}

// runRowsHost runs an entry host on a platform with a row store until ctx ends. It
// reloads its settings on SIGHUP.
func runRowsHost(ctx context.Context, path string, out *streams) error {
	s, err := settings.LoadRows(path)
	if err != nil {
		return err
	}
	level := new(slog.LevelVar)
	logWriter := logline.New(out.Out)
	defer logWriter.Close()
	log, err := newSampledLogger(logWriter, s.Log.Level, level)
	if err != nil {
		return err
	}
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	go reloadOnSignal(ctx, reloadSignals, path, s, level, log)
	return serveRows(ctx, s, log)
}

// serveRows runs an entry host on a platform with a row store until ctx ends.
func serveRows(ctx context.Context, s *settings.Rows, log logr.Logger) error {
	group, err := platform.NewHost(s, log)
	if err != nil {
		return err
	}
	log.Info("host starts", "host", s.Host.ID, "domain", s.Host.FailureDomain, "address", s.Host.CallerAddress)
	err = group.Run(ctx)
	log.Info("host stops", "host", s.Host.ID)
	return err
}

// reloadOnSignal reloads the settings on each signal until ctx ends. It applies the log
// level; changes of other settings need a restart.
func reloadOnSignal(ctx context.Context, signals <-chan os.Signal, path string, current *settings.Rows, level *slog.LevelVar, log logr.Logger) {
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		next, err := settings.LoadRows(path)
		if err == nil {
			err = setLevel(level, next.Log.Level)
		}
		if err != nil {
			log.Error(err, "settings not reloaded, the previous ones stay in effect")
			continue
		}
		restartRequired := next.Host != current.Host || next.Platform != current.Platform || next.Timing != current.Timing || next.Swap != current.Swap ||
			next.Limits != current.Limits || !reflect.DeepEqual(next.Control, current.Control)
		log.Info("settings reloaded", "level", next.Log.Level, "others_wait_for_restart", restartRequired)
	}
}

// runHost runs an entry host until ctx ends.
func runHost(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	injector, err := newHost(s, log)
	if err != nil {
		return err
	}
	return do.MustInvoke[*duty.Group](injector).Run(ctx)
}
