package controller

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/lease"
)

const shard = "weights/planner"

type fakeSource struct {
	mu       sync.Mutex
	document *deployment.Document
	changed  chan struct{}
}

func newFakeSource() *fakeSource {
	document := &deployment.Document{EnginePools: map[string]deployment.EnginePool{"planner": {}}}
	return &fakeSource{document: document, changed: make(chan struct{})}
}

func (s *fakeSource) Current() *deployment.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

func (s *fakeSource) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *fakeSource) set(document *deployment.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document = document
	close(s.changed)
	s.changed = make(chan struct{})
}

type fakeHolder struct {
	mu      sync.Mutex
	fence   uint64
	until   time.Time
	changed chan struct{}
}

func (h *fakeHolder) Held(shard string) (lease.Grant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	grant := lease.Grant{Shard: shard, Fence: h.fence, Until: h.until}
	return grant, grant.ValidAt(time.Now())
}

func (h *fakeHolder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

func (h *fakeHolder) set(fence uint64, valid time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fence, h.until = fence, time.Now().Add(valid)
	close(h.changed)
	h.changed = make(chan struct{})
}

// recorder is a reconciler that records its runs.
type recorder struct {
	mu sync.Mutex
	// duration is the time that a run takes unless it is cancelled.
	duration time.Duration
	// cleanupTime is added to each run, cancelled or not.
	cleanupTime time.Duration
	result      Result
	err         error
	running     int
	starts      []time.Time
	fences      []uint64
	cancelled   int
}

func (r *recorder) Reconcile(ctx context.Context, grant lease.Grant) (Result, error) {
	r.mu.Lock()
	r.running++
	r.starts = append(r.starts, time.Now())
	r.fences = append(r.fences, grant.Fence)
	overlap, duration, result, err := r.running > 1, r.duration, r.result, r.err
	r.mu.Unlock()
	if overlap {
		panic("two runs at once")
	}
	wait(ctx, duration, nil, nil)
	time.Sleep(r.cleanupTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if ctx.Err() != nil {
		r.cancelled++
	}
	return result, err
}

// cancelledRuns returns the number of runs whose context was cancelled.
func (r *recorder) cancelledRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled
}

func (r *recorder) runs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.starts)
}

// bench is a running Manager with one reconciler.
type bench struct {
	*Manager
	source   *fakeSource
	holder   *fakeHolder
	recorder *recorder
	// created counts the calls of the factory.
	created int
}

func startBench(t *testing.T, r *recorder) *bench {
	b := &bench{source: newFakeSource(), holder: &fakeHolder{changed: make(chan struct{})}, recorder: r}
	b.Manager = newManager(logr.Discard(), b.source, b.holder, metrics.NewSet())
	b.Add("weights/", func(string) Reconciler {
		r.mu.Lock()
		defer r.mu.Unlock()
		b.created++
		return r
	})
	go b.run(t.Context())
	return b
}

func TestRunsOnlyWhileHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench(t, &recorder{duration: time.Millisecond, result: Result{RequeueAfter: time.Second}})
		time.Sleep(time.Minute)
		if got := b.recorder.runs(); got != 0 {
			t.Fatalf("%d runs without a lease", got)
		}
		b.holder.set(1, 10*time.Second)
		time.Sleep(time.Minute)
		if got := b.recorder.runs(); got != 10 {
			t.Errorf("%d runs in 10s of a lease, want 10", got)
		}
	})
}

func TestRunIsCancelledWhenGrantEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(h *fakeHolder)
	}{
		{"expiry", func(*fakeHolder) {}},
		{"loss", func(h *fakeHolder) { h.set(1, 0) }},
		{"lost and gained again", func(h *fakeHolder) { h.set(2, time.Hour) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := startBench(t, &recorder{duration: time.Hour})
				b.holder.set(1, 4*time.Second)
				time.Sleep(2 * time.Second)
				b.holder.set(1, 4*time.Second)
				time.Sleep(3 * time.Second)
				if b.recorder.cancelledRuns() != 0 {
					t.Error("a run was cancelled although its grant was renewed")
				}
				test.end(b.holder)
				time.Sleep(2 * time.Second)
				if got := b.recorder.cancelledRuns(); got != 1 {
					t.Errorf("%d runs were cancelled, want 1", got)
				}
			})
		})
	}
}

func TestEachGrantGetsNewReconciler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench(t, &recorder{result: Result{RequeueAfter: time.Second}})
		for fence := range uint64(3) {
			b.holder.set(fence+1, time.Hour)
			time.Sleep(10 * time.Second)
		}
		b.recorder.mu.Lock()
		defer b.recorder.mu.Unlock()
		if b.created != 3 {
			t.Errorf("%d reconcilers were created for 3 grants", b.created)
		}
	})
}

func TestFailedRunsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench(t, &recorder{err: failure.New(failure.UpstreamFailed, "", "no")})
		b.holder.set(1, time.Hour)
		time.Sleep(time.Minute)
		if got := b.recorder.runs(); got < 12 || got > 20 {
			t.Errorf("%d runs in a minute of failures", got)
		}
		if first := b.recorder.starts[1].Sub(b.recorder.starts[0]); first != firstBackoff {
			t.Errorf("the first backoff is %s, want %s", first, firstBackoff)
		}
	})
}

func TestTriggerAndDocumentChangeCauseRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench(t, &recorder{result: Result{RequeueAfter: time.Hour}})
		b.holder.set(1, 10*time.Hour)
		time.Sleep(time.Second)
		b.Trigger(shard)
		time.Sleep(time.Second)
		b.source.set(b.source.Current())
		time.Sleep(time.Second)
		if got := b.recorder.runs(); got != 3 {
			t.Errorf("%d runs, want 3", got)
		}
	})
}

// A shard that is removed from the document and added again must not be
// reconciled by two workers at once; the recorder panics if it is.
func TestReaddedShardWaitsForPreviousRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench(t, &recorder{duration: time.Second, cleanupTime: 700 * time.Millisecond, result: Result{RequeueAfter: time.Millisecond}})
		b.holder.set(1, time.Hour)
		with := b.source.Current()
		for range 10 {
			time.Sleep(500 * time.Millisecond)
			b.source.set(&deployment.Document{})
			synctest.Wait()
			b.source.set(with)
		}
		b.source.set(&deployment.Document{})
		time.Sleep(10 * time.Second)
		before := b.recorder.runs()
		time.Sleep(10 * time.Second)
		if got := b.recorder.runs(); got != before {
			t.Error("a removed shard is still reconciled")
		}
	})
}

func TestQuiesceWaitsForRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench(t, &recorder{duration: 2 * time.Second, result: Result{RequeueAfter: time.Hour}})
		b.holder.set(1, time.Hour)
		time.Sleep(time.Second)
		short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if err := b.Quiesce(short, shard); !failure.IsKind(err, failure.DeadlineExceeded) {
			t.Errorf("quiesce during a run: %v", err)
		}
		if err := b.Quiesce(t.Context(), shard); err != nil || b.recorder.running != 0 {
			t.Errorf("quiesce: %v with %d runs in progress", err, b.recorder.running)
		}
	})
}

func TestQuiesceWithoutReconcilerWaitsForContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench(t, &recorder{})
		started := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if err := b.Quiesce(ctx, "trainer/routes"); err != nil || time.Since(started) != 2*time.Second {
			t.Errorf("error %v after %s, want a wait of 2s", err, time.Since(started))
		}
	})
}
