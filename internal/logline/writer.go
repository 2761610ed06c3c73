// Package logline writes log lines without blocking the process: lines wait in a
// bounded queue, and those that don't fit are dropped. The number of dropped lines
// is logged.
package logline

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/ring"
)

const (
	// capacityLines is the maximum number of lines in the queue. At peak load a host
	// writes some hundred lines per second.
	capacityLines = 4096
	// reservedLines is the part of the capacity that only lines about failures may use.
	reservedLines = 1024
	// flushTimeout limits the time that Close waits for queued lines to be written.
	flushTimeout = 300 * time.Millisecond
)

// failureMarks identify lines that the Sampler always passes on and for which the
// reserved part of the queue is used: errors and final decisions about failures.
var failureMarks = []string{"failed", "given up", "not accepted", "lost", "taken over", "level=ERROR"}

// Writer is an io.Writer that never blocks and never fails. Each Write must be one line.
type Writer struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	written atomic.Uint64
	once    sync.Once
	done    chan struct{}
	stop    chan struct{}
}

// New returns a Writer that writes lines to out in a separate goroutine. Close it to end the goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{lines: ring.New[[]byte](capacityLines), done: make(chan struct{}), stop: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.Len() > capacityLines-reservedLines && !isFailure(line) {
		w.dropped.Add(1)
		return len(line), nil
	}
	// The caller may reuse the slice.
	if !w.lines.TryPush(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// isFailure reports whether a line contains one of failureMarks.
func isFailure(line []byte) bool {
	text := string(line)
	for _, mark := range failureMarks {
		if strings.Contains(text, mark) {
			return true
		}
	}
	return false
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Written returns the number of lines written to the output.
func (w *Writer) Written() uint64 { return w.written.Load() }

// Close writes the queued lines. It returns after 300 ms even if the output blocks.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// run writes lines to out until Close, then the queued lines.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	reported := uint64(0)
	pass := func(line []byte) {
		if dropped := w.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(out, "time=%s level=INFO msg=\"log lines dropped\" count=%d\n", time.Now().UTC().Format(time.RFC3339Nano), dropped-reported)
			reported = dropped
		}
		// Errors of the log output can't be reported anywhere.
		_, _ = out.Write(line)
		w.written.Add(1)
	}
	for {
		select {
		case line := <-w.lines.Items():
			pass(line)
		case <-w.stop:
			for w.lines.Len() > 0 {
				line, err := w.lines.Pop(context.Background())
				if err != nil {
					return
				}
				pass(line)
			}
			return
		}
	}
}
