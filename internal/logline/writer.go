// Package logline carries log lines to an output without ever blocking the
// process: lines wait in a bounded ring, and what does not fit is dropped,
// counted and said.
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
	// capacity is the number of lines that may wait for the output; a host
	// writes some hundred a second at the peak.
	capacity = 4096
	// reserved is the part of it that only lines marked as kept may use.
	reserved = 1024
	// flushTime bounds the last flush at a stop.
	flushTime = 300 * time.Millisecond
)

// kept marks the lines that sampling and a nearly full ring spare: the last
// decisions on what failed.
var kept = []string{"failed", "given up", "not accepted", "lost", "taken over", "level=ERROR"}

// Writer is an io.Writer that never blocks and never fails. Each Write is one line.
type Writer struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	written atomic.Uint64
	once    sync.Once
	done    chan struct{}
	stop    chan struct{}
}

// New returns a writer that passes lines on to out from a goroutine of its own.
func New(out io.Writer) *Writer {
	w := &Writer{lines: ring.New[[]byte](capacity), done: make(chan struct{}), stop: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.Len() > capacity-reserved && !isKept(line) {
		w.dropped.Add(1)
		return len(line), nil
	}
	// The caller uses the slice again.
	if !w.lines.TryPush(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

func isKept(line []byte) bool {
	text := string(line)
	for _, mark := range kept {
		if strings.Contains(text, mark) {
			return true
		}
	}
	return false
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Written returns the number of lines that were passed on.
func (w *Writer) Written() uint64 { return w.written.Load() }

// Close passes on what waits, within a bounded time.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(flushTime):
	}
}

// run passes lines on until Close.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	said := uint64(0)
	pass := func(line []byte) {
		if dropped := w.dropped.Load(); dropped > said {
			_, _ = fmt.Fprintf(out, "time=%s level=INFO msg=\"log lines dropped\" count=%d\n", time.Now().UTC().Format(time.RFC3339Nano), dropped-said)
			said = dropped
		}
		// An output that fails has nobody to tell.
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
