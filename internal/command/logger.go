package command

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/logline"
)

// newLogger returns a logger that writes one line of key=value pairs for each entry. The
// level is "error", "info" or "debug".
func newLogger(w io.Writer, level string) (logr.Logger, error) {
	levelVar := new(slog.LevelVar)
	if err := setLevel(levelVar, level); err != nil {
		return logr.Discard(), err
	}
	return logr.FromSlogHandler(textHandler(w, levelVar)), nil
}

// newSampledLogger is like newLogger, but the level can be changed later, and the number
// of lines with the same message is limited per second.
func newSampledLogger(w io.Writer, name string, level *slog.LevelVar) (logr.Logger, error) {
	if err := setLevel(level, name); err != nil {
		return logr.Discard(), err
	}
	return logr.FromSlogHandler(logline.NewSampler(textHandler(w, level))), nil
}

func textHandler(w io.Writer, level *slog.LevelVar) slog.Handler {
	return slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})
}

// setLevel sets a level to the one with a name in the settings.
func setLevel(level *slog.LevelVar, name string) error {
	levels := map[string]slog.Level{"error": slog.LevelError, "info": slog.LevelInfo, "debug": slog.LevelDebug}
	slogLevel, ok := levels[name]
	if !ok {
		return failure.New(failure.InvalidSettings, "", "log level %q is not known", name).
			WithField("log.level").WithLimit("error, info or debug")
	}
	level.Set(slogLevel)
	return nil
}
