package logline

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestSamplerPassesOnAllFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := slog.New(NewSampler(slog.NewTextHandler(&out, nil))).With("host", "a")
		for range 3 * linesPerSecond {
			log.Info("request answered")
			log.Info("request failed")
		}
		log.Info("attempt refused")
		time.Sleep(time.Second)
		log.Info("request answered")
		text := out.String()
		for message, want := range map[string]int{
			`msg="request answered"`: linesPerSecond + 1, `msg="request failed"`: 3 * linesPerSecond, `msg="attempt refused"`: 1,
			`msg="log lines left out" host=a of="request answered" count=400`: 1,
		} {
			if got := strings.Count(text, message); got != want {
				t.Errorf("%d lines with %s, want %d", got, message, want)
			}
		}
	})
}
