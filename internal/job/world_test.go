package job

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
	"github.com/sapphirehatch/sapphirehatch/internal/roster"
)

const (
	testService = "engines"
	testModel   = "model"
	testEvents  = 10
	testPace    = 40 * time.Millisecond
)

// engines are fake engines that all hosts share.
type engines struct {
	mu sync.Mutex
	// version is the version of the weights that each engine uses.
	version map[string]uint64
	// silent engines bring no event; failing ones answer that the run failed.
	silent, failing map[string]bool
	// cutAt breaks a run off after so many events, once for each rollout that it names.
	cutAt map[string]int
	// runs records "rollout after" for each run that began.
	runs []string
	// from counts the runs by rollout.
	from map[string][]int
	// refuse makes an engine refuse so many runs.
	refuse map[string]int
	// slow engines take so many times as long for an event.
	slow map[string]int
	// length is the number of events of each rollout.
	length int
	// room is how many runs an engine goes on with at once; others wait there. Engines without an entry have room for all.
	room map[string]chan struct{}
}

func newEngines() *engines {
	return &engines{version: map[string]uint64{}, silent: map[string]bool{}, failing: map[string]bool{}, cutAt: map[string]int{}, from: map[string][]int{}, refuse: map[string]int{}, slow: map[string]int{}, length: testEvents}
}

func (e *engines) Generate(ctx context.Context, target fleet.Replica, run GenerateRequest, sink func(Event) error) error {
	e.mu.Lock()
	version := max(1, e.version[target.ID])
	silent, failing := e.silent[target.ID], e.failing[target.ID]
	cut, length, pace := e.cutAt[run.Rollout.ID], e.length, testPace*time.Duration(max(1, e.slow[target.ID]))
	delete(e.cutAt, run.Rollout.ID)
	refused := e.refuse[target.ID] > 0 || run.Version != 0 && run.Version != version
	if refused {
		e.refuse[target.ID]--
	} else {
		e.runs = append(e.runs, fmt.Sprintf("%s %d", run.Rollout.ID, run.ResumeAfter))
		e.from[run.Rollout.ID] = append(e.from[run.Rollout.ID], run.ResumeAfter)
	}
	e.mu.Unlock()
	if refused {
		return failure.New(failure.QueueFull, failure.NotRun, "engine %s refused", target.ID)
	}
	if failing {
		return failure.New(failure.UpstreamFailed, failure.Ran, "engine %s failed", target.ID)
	}
	if room := e.room[target.ID]; room != nil {
		select {
		case room <- struct{}{}:
			defer func() { <-room }()
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "the run was cancelled")
		}
	}
	for n := run.ResumeAfter + 1; n <= length; n++ {
		if silent {
			<-ctx.Done()
		}
		select {
		case <-time.After(pace):
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "the run was cancelled")
		}
		e.mu.Lock()
		version = max(1, e.version[target.ID])
		e.mu.Unlock()
		if err := sink(Event{Data: eventText(run.Rollout.ID, n), Version: version}); err != nil {
			return err
		}
		if n == cut {
			return failure.New(failure.IncompleteAnswer, failure.Unknown, "engine %s broke off", target.ID)
		}
	}
	return nil
}

func (e *engines) runsOf(rollout string) []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]int(nil), e.from[rollout]...)
}

func (e *engines) begun() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

func eventText(rollout string, n int) string { return fmt.Sprintf("%s-%d", rollout, n) }

// wholeText is the text of a rollout that is whole.
func (w *world) wholeText(rollout string) string {
	lines := make([]string, w.engines.length)
	for i := range lines {
		lines[i] = eventText(rollout, i+1)
	}
	return strings.Join(lines, "\n")
}

// scores are fake scoring services.
type scores struct {
	mu    sync.Mutex
	fail  map[string]int
	calls map[string]int
}

// scoreFailures is how many failures of its scoring call end a rollout.
const scoreFailures = 4

func (s *scores) Score(_ context.Context, call ScoreCall) (ScoreAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[call.ID]++
	if s.fail[call.ID] > 0 {
		s.fail[call.ID]--
		return ScoreAnswer{Failures: 1, MaxFailures: scoreFailures}, failure.New(failure.UpstreamFailed, failure.Ran, "the service failed")
	}
	return ScoreAnswer{Signature: "signed " + call.ID}, nil
}

// fixedRules is one rule for all jobs.
type fixedRules struct{ rule Rule }

func (r *fixedRules) JobRule(*Spec) (Rule, bool, bool) { return r.rule, true, true }

// host is one process.
type host struct {
	id      string
	rows    *platformtest.RowsClient
	manager *Manager
	fleet   *fleet.Fleet
	cancel  context.CancelFunc
	done    sync.WaitGroup
	beat    *roster.Heartbeat
	killed  atomic.Bool
}

// kill ends the process without a word.
func (h *host) kill() {
	h.killed.Store(true)
	h.rows.SetDown(true)
	h.cancel()
	h.done.Wait()
}

// world is a deployment in memory.
type world struct {
	t       *testing.T
	rows    *platformtest.Rows
	engines *engines
	scores  *scores
	rules   *fixedRules
	boots   int

	mu    sync.Mutex
	hosts []*host
}

// inWorld runs a test in a bubble of its own time.
func inWorld(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, rows: platformtest.NewRows(), engines: newEngines(),
			scores: &scores{fail: map[string]int{}, calls: map[string]int{}},
			rules:  &fixedRules{Rule{Service: testService, MaxAttempts: 3, RunDeadline: 8 * time.Second}},
		}
		defer func() {
			for _, h := range w.hosts {
				h.kill()
				h.rows.WaitForDelayedWrites()
			}
		}()
		test(w)
	})
}

// boot starts a process of a host.
func (w *world) boot(id string) *host { return w.bootBlind(id, 0) }

// bootBlind starts a process of a host that sees the other hosts only after a while.
func (w *world) bootBlind(id string, blind time.Duration) *host {
	w.boots++
	client := w.rows.Client()
	log := logr.Discard()
	if testing.Verbose() {
		log = testLog(w.t).WithValues("host", id)
	}
	r := roster.New(log)
	self := roster.Host{ID: id, Incarnation: fmt.Sprintf("boot-%d", w.boots)}
	h := &host{id: id, rows: client, fleet: fleet.New(log), beat: roster.NewHeartbeat(self, client, r, log)}
	for _, name := range []string{"e1", "e2", "e3"} {
		h.fleet.Put(fleet.Replica{ID: name, Service: testService, Address: name, Slots: 4, Models: map[string]uint64{testModel: 1}})
	}
	h.manager = NewManager(Config{
		Host: id, Incarnation: self.Incarnation, Rows: client, Hosts: r, Rules: w.rules, Fleet: h.fleet,
		Engine: w.engines, Scorer: w.scores, Retention: time.Minute, Log: log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	for _, run := range []func(context.Context) error{
		h.beat.Run, h.manager.Run,
		func(ctx context.Context) error {
			time.Sleep(blind)
			return follow.New(r.FollowConfig(), client, r, log).Run(ctx)
		},
		follow.New(h.manager.FollowConfig(time.Second, 25*time.Millisecond, nil), client, h.manager, log).Run,
	} {
		h.done.Go(func() { _ = run(ctx) })
	}
	w.mu.Lock()
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	time.Sleep(time.Second)
	return h
}

func testLog(t *testing.T) logr.Logger { return logr.New(&testSink{t: t}) }

// spec is a job of n rollouts in groups of two.
func spec(id string, n int) *Spec {
	s := &Spec{ID: id, Host: "h", Path: "/jobs/", Model: testModel}
	for i := range n {
		name := fmt.Sprintf("%s.%d", id, i)
		s.Rollouts = append(s.Rollouts, Rollout{
			ID: name, Group: fmt.Sprintf("g%d", i/2), Path: "/run/", Body: []byte("body of " + name),
			Score: &ScoreCall{ID: "score " + name},
		})
	}
	return s
}

// given boots hosts and hands a job of n rollouts in at one of them. It returns
// the host that runs the job and another one.
func (w *world) given(n int, at string, ids ...string) (s *Spec, owner, other *host) {
	w.t.Helper()
	s = spec("job", n)
	var entry *host
	for _, id := range ids {
		if h := w.boot(id); id == at {
			entry = h
		}
	}
	w.accept(entry, s)
	owner, other = w.sides(s.ID)
	return s, owner, other
}

func (w *world) accept(h *host, s *Spec) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := h.manager.Accept(ctx, s); err != nil {
		w.t.Fatalf("job %s was not accepted: %v", s.ID, err)
	}
}

// read returns all results that a host shows.
func (w *world) read(h *host, id string) []Result {
	w.t.Helper()
	var all []Result
	for {
		page, err := h.manager.Results(context.Background(), id, len(all), 0)
		if err != nil {
			w.t.Fatalf("results of %s at %s: %v", id, h.id, err)
		}
		if len(page.Results) == 0 {
			return all
		}
		all = append(all, page.Results...)
	}
}

// finishes waits until a job is listed whole and checks each result.
func (w *world) finishes(h *host, s *Spec, within time.Duration) []Result {
	w.t.Helper()
	end := time.Now().Add(within)
	for {
		results := w.read(h, s.ID)
		if len(results) == len(s.Rollouts) {
			w.check(s, results)
			return results
		}
		if time.Now().After(end) {
			w.t.Fatalf("%d of %d results of %s are listed after %s", len(results), len(s.Rollouts), s.ID, within)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// check demands that each rollout is listed once, whole and scored.
func (w *world) check(s *Spec, results []Result) {
	w.t.Helper()
	seen := map[string]bool{}
	for _, r := range results {
		if seen[r.ID] {
			w.t.Errorf("rollout %s is listed twice", r.ID)
		}
		seen[r.ID] = true
		if r.State == Completed && r.Text != w.wholeText(r.ID) {
			w.t.Errorf("text of %s is %q", r.ID, r.Text)
		}
		if r.State == Completed && r.Score != "signed score "+r.ID {
			w.t.Errorf("score of %s is %q", r.ID, r.Score)
		}
	}
	for _, rollout := range s.Rollouts {
		if !seen[rollout.ID] {
			w.t.Errorf("rollout %s is not listed", rollout.ID)
		}
	}
}

// sides returns the host that owns a job and another one that lives.
func (w *world) sides(id string) (owner, other *host) {
	w.t.Helper()
	var row OwnerRow
	if err := json.Unmarshal(w.rows.Row(ownerID(id)).Value, &row); err != nil {
		w.t.Fatal(err)
	}
	for _, h := range w.hosts {
		switch {
		case h.killed.Load():
		case h.id == row.Host:
			owner = h
		default:
			other = h
		}
	}
	return owner, other
}

// testSink writes log lines to a test's output.
type testSink struct {
	t      *testing.T
	values []any
}

func (s *testSink) Init(logr.RuntimeInfo)  {}
func (s *testSink) Enabled(level int) bool { return level <= 1 }
func (s *testSink) Info(_ int, msg string, kv ...any) {
	s.t.Log(append([]any{time.Now().Format("05.000"), msg}, append(s.values, kv...)...)...)
}
func (s *testSink) Error(err error, msg string, kv ...any) {
	s.Info(0, msg, append(kv, "error", err)...)
}
func (s *testSink) WithValues(kv ...any) logr.LogSink {
	return &testSink{t: s.t, values: append(append([]any(nil), s.values...), kv...)}
}
func (s *testSink) WithName(string) logr.LogSink { return s }
