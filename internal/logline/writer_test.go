package logline

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingOutput is an output whose writes block while blocked is locked.
type blockingOutput struct {
	mu      sync.Mutex
	blocked sync.Mutex
	text    bytes.Buffer
}

func (s *blockingOutput) Write(p []byte) (int, error) {
	s.blocked.Lock()
	defer s.blocked.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestBlockedOutputDoesNotBlockWrites(t *testing.T) {
	out := &blockingOutput{}
	out.blocked.Lock()
	w := New(out)
	began := time.Now()
	for i := range 3 * capacityLines {
		_, _ = fmt.Fprintf(w, "level=INFO msg=routed n=%d\n", i)
	}
	// The word "failed" lets this line use the reserved part of the queue.
	_, _ = io.WriteString(w, "level=INFO msg=\"request failed\" id=x\n")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("writing while the output was blocked took %s", took)
	}
	if w.Dropped() < 2*capacityLines {
		t.Errorf("%d lines dropped, want at least %d", w.Dropped(), 2*capacityLines)
	}
	out.blocked.Unlock()
	w.Close()
	text := out.text.String()
	if !strings.Contains(text, `msg="request failed" id=x`) {
		t.Error("the line about a failed request was dropped")
	}
	if !strings.Contains(text, `msg="log lines dropped"`) {
		t.Error("the number of dropped lines was not logged")
	}
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	for i := range 100 {
		_, _ = fmt.Fprintf(w, "%d\n", i)
	}
	w.Close()
	var want strings.Builder
	for i := range 100 {
		_, _ = fmt.Fprintf(&want, "%d\n", i)
	}
	if out.String() != want.String() {
		t.Errorf("lines are %q", out.String())
	}
}

// BenchmarkBlockedOutput measures the time of a Write while the output is blocked.
func BenchmarkBlockedOutput(b *testing.B) {
	out := &blockingOutput{}
	out.blocked.Lock()
	w := New(out)
	line := []byte("time=2026-01-01T00:00:00.000Z level=INFO msg=\"rollout sent\" job=j rollout=r engine=e after=0\n")
	for b.Loop() {
		_, _ = w.Write(line)
	}
	out.blocked.Unlock()
	w.Close()
}
