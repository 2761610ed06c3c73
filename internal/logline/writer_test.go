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

// standstill is an output whose reader stands still until it is released.
type standstill struct {
	mu   sync.Mutex
	held sync.Mutex
	text bytes.Buffer
}

func (s *standstill) Write(p []byte) (int, error) {
	s.held.Lock()
	defer s.held.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestStandstillBlocksNobody(t *testing.T) {
	out := &standstill{}
	out.held.Lock()
	w := New(out)
	began := time.Now()
	for i := range 3 * capacity {
		_, _ = fmt.Fprintf(w, "level=INFO msg=routed n=%d\n", i)
	}
	_, _ = io.WriteString(w, "level=INFO msg=\"request failed\" id=x\n")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("writing to a standstill took %s", took)
	}
	if w.Dropped() < 2*capacity {
		t.Errorf("%d lines dropped", w.Dropped())
	}
	out.held.Unlock()
	w.Close()
	text := out.text.String()
	if !strings.Contains(text, `msg="request failed" id=x`) {
		t.Error("the last decision on a failed request was dropped")
	}
	if !strings.Contains(text, `msg="log lines dropped"`) {
		t.Error("the drops were not said")
	}
}

func TestLinesComeInOrder(t *testing.T) {
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

// BenchmarkStandstill is the cost of a line while the reader stands still.
func BenchmarkStandstill(b *testing.B) {
	out := &standstill{}
	out.held.Lock()
	w := New(out)
	line := []byte("time=2026-01-01T00:00:00.000Z level=INFO msg=\"rollout sent\" job=j rollout=r engine=e after=0\n")
	for b.Loop() {
		_, _ = w.Write(line)
	}
	out.held.Unlock()
	w.Close()
}
