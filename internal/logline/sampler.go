package logline

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// linesPerSecond bounds the lines of one message in a second. A host's share of
// the largest deployment is some ten requests and a hundred rollouts a second.
const linesPerSecond = 200

// Sampler is a slog.Handler that passes on a bounded number of lines of each
// message in a second, says how many it left out, and spares the last decisions
// on what failed.
type Sampler struct {
	next   slog.Handler
	counts *counts
}

// counts are the lines of the present second by message.
type counts struct {
	mu     sync.Mutex
	second time.Time
	lines  map[string]int
}

// NewSampler returns a sampler in front of next.
func NewSampler(next slog.Handler) *Sampler {
	return &Sampler{next: next, counts: &counts{lines: map[string]int{}}}
}

// Enabled implements slog.Handler.
func (s *Sampler) Enabled(ctx context.Context, level slog.Level) bool {
	return s.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (s *Sampler) Handle(ctx context.Context, record slog.Record) error {
	pass, leftOut := s.counts.take(record)
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

// take counts a line. It reports whether the line is passed on, and at the first
// line of a new second how many lines of each message the last one left out.
func (c *counts) take(record slog.Record) (pass bool, leftOut map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := record.Time.Truncate(time.Second); !second.Equal(c.second) {
		for message, count := range c.lines {
			if count > linesPerSecond {
				if leftOut == nil {
					leftOut = map[string]int{}
				}
				leftOut[message] = count - linesPerSecond
			}
		}
		c.second = second
		clear(c.lines)
	}
	if record.Level >= slog.LevelError || isKept([]byte(record.Message)) {
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
