package logline

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// linesPerSecond is the maximum number of lines with the same message per second.
// In the largest deployment a host handles about ten requests and a hundred
// rollouts per second.
const linesPerSecond = 200

// Sampler is a slog.Handler that passes on at most 200 lines per second with the
// same message, and logs how many it left out. Errors and lines about failures are
// always passed on.
type Sampler struct {
	next   slog.Handler
	counts *counts
}

// counts holds the number of lines in the current second, by message.
type counts struct {
	mu sync.Mutex
	// second is when the current second began.
	second time.Time
	// lines does not count lines that are always passed on.
	lines map[string]int
}

// NewSampler returns a Sampler that passes lines on to next.
func NewSampler(next slog.Handler) *Sampler {
	return &Sampler{next: next, counts: &counts{lines: map[string]int{}}}
}

// Enabled implements slog.Handler.
func (s *Sampler) Enabled(ctx context.Context, level slog.Level) bool {
	return s.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (s *Sampler) Handle(ctx context.Context, record slog.Record) error {
	pass, leftOut := s.counts.count(record)
	for message, count := range leftOut {
		said := slog.NewRecord(record.Time, slog.LevelInfo, "log lines left out", 0)
		said.AddAttrs(slog.String("of", message), slog.Int("count", count))
		if err := s.next.Handle(ctx, said); err != nil {
			return err
		}
	}
	if !pass {
		return nil
	}
	return s.next.Handle(ctx, record)
}

// count counts a line. It reports whether to pass the line on and, for the first
// line of a new second, how many lines were left out in the previous one, by message.
func (c *counts) count(record slog.Record) (pass bool, leftOut map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Sub uses the monotonic clock, so a step of the time of day starts no new second.
	if passed := record.Time.Sub(c.second); passed >= time.Second {
		for message, count := range c.lines {
			if count > linesPerSecond {
				if leftOut == nil {
					leftOut = map[string]int{}
				}
				leftOut[message] = count - linesPerSecond
			}
		}
		c.second = record.Time
		clear(c.lines)
	}
	if record.Level >= slog.LevelError || isFailure([]byte(record.Message)) {
		return true, leftOut
	}
	c.lines[record.Message]++
	return c.lines[record.Message] <= linesPerSecond, leftOut
}

// WithAttrs implements slog.Handler.
func (s *Sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Sampler{next: s.next.WithAttrs(attrs), counts: s.counts}
}

// WithGroup implements slog.Handler.
func (s *Sampler) WithGroup(name string) slog.Handler {
	return &Sampler{next: s.next.WithGroup(name), counts: s.counts}
}
