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
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
	"github.com/sapphirehatch/sapphirehatch/internal/roster"
)

const (
	testService   = "engines"
	testModel     = "model"
	testEvents    = 10
	eventInterval = 40 * time.Millisecond
)

// fakeEngines simulates the engines, which all hosts share. Maps are by engine ID
// unless noted.
type fakeEngines struct {
	mu sync.Mutex
	// version is the weight version of an engine; 1 if missing.
	version map[string]uint64
	// silent engines send no events; failing ones answer with a failure.
	silent, failing map[string]bool
	// gone engines break their streams off and can't be reached.
	gone map[string]bool
	// cutAt is the event after which the next attempt of a rollout breaks off, by
	// rollout ID.
	cutAt map[string]int
	// crashes is the number of next attempts of a rollout during which the engine
	// crashes, by rollout ID. lastCrash is when that happened last.
	crashes   map[string]int
	lastCrash time.Time
	// runs holds an entry for each attempt that started.
	runs []string
	// starts holds the number of prior events of each attempt, by rollout ID.
	starts map[string][]int
	// refuse is the number of attempts that an engine will refuse.
	refuse map[string]int
	// slow is the factor by which the events of an engine are slower.
	slow map[string]int
	// length is the number of events of each rollout.
	length int
	// pad is added to the data of each event of a rollout, by rollout ID.
	pad map[string]string
	// slots is the semaphore of an engine's attempts; a missing one sets no limit.
	slots map[string]chan struct{}
	// teams counts the started attempts by team.
	teams map[string]int
	// tagged engines add the number of the run to the data of each event, and record the
	// prior events of each run in priors, by rollout ID.
	tagged bool
	priors map[string][][]Event
	// tokens is the number of tokens of an engine's running rollouts, and mostTokens the
	// largest number that any engine had.
	tokens     map[string]int
	mostTokens int
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{version: map[string]uint64{}, silent: map[string]bool{}, gone: map[string]bool{}, failing: map[string]bool{}, cutAt: map[string]int{}, crashes: map[string]int{}, starts: map[string][]int{}, refuse: map[string]int{}, slow: map[string]int{}, teams: map[string]int{}, priors: map[string][][]Event{}, tokens: map[string]int{}, length: testEvents}
}

func (e *fakeEngines) Generate(ctx context.Context, target fleet.Replica, request GenerateRequest, sink func(Event) error) error {
	e.mu.Lock()
	if e.gone[target.ID] {
		e.mu.Unlock()
		return failure.New(failure.UpstreamUnreachable, failure.NotRun, "engine %s can't be reached", target.ID)
	}
	version := max(1, e.version[target.ID])
	silent, failing := e.silent[target.ID], e.failing[target.ID]
	cut, length, interval := e.cutAt[request.Rollout.ID], e.length, eventInterval*time.Duration(max(1, e.slow[target.ID]))
	delete(e.cutAt, request.Rollout.ID)
	tag := ""
	refused := e.refuse[target.ID] > 0 || request.Version != 0 && request.Version != version
	if refused {
		e.refuse[target.ID]--
	} else {
		e.runs = append(e.runs, fmt.Sprintf("%s %d", request.Rollout.ID, request.ResumeAfter))
		e.teams[request.Team]++
		e.starts[request.Rollout.ID] = append(e.starts[request.Rollout.ID], request.ResumeAfter)
		if e.tagged {
			tag = runTag(len(e.priors[request.Rollout.ID]))
			e.priors[request.Rollout.ID] = append(e.priors[request.Rollout.ID], request.PriorEvents)
		}
	}
	crash := !refused && e.crashes[request.Rollout.ID] > 0
	if crash {
		e.crashes[request.Rollout.ID]--
		e.lastCrash = time.Now()
	}
	e.tokens[target.ID] += request.Rollout.Tokens
	e.mostTokens = max(e.mostTokens, e.tokens[target.ID])
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.tokens[target.ID] -= request.Rollout.Tokens
	}()
	if crash {
		return failure.New(failure.UpstreamFailed, failure.Unknown, "engine %s closed the connection without an answer", target.ID)
	}
	if refused {
		return failure.New(failure.QueueFull, failure.NotRun, "engine %s refused", target.ID)
	}
	if failing {
		return failure.New(failure.UpstreamFailed, failure.Ran, "engine %s failed", target.ID)
	}
	if slots := e.slots[target.ID]; slots != nil {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "the run was cancelled")
		}
	}
	for n := request.ResumeAfter + 1; n <= length; n++ {
		if silent {
			<-ctx.Done()
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "the run was cancelled")
		}
		e.mu.Lock()
		version = max(1, e.version[target.ID])
		gone := e.gone[target.ID]
		e.mu.Unlock()
		if gone {
			return failure.New(failure.IncompleteAnswer, failure.Unknown, "engine %s is gone", target.ID)
		}
		if err := sink(Event{Data: eventText(request.Rollout.ID, n) + tag + e.pad[request.Rollout.ID], Version: version}); err != nil {
			return err
		}
		if n == cut {
			return failure.New(failure.IncompleteAnswer, failure.Unknown, "engine %s broke off", target.ID)
		}
	}
	return nil
}

// startsOf returns for each run of a rollout the number of events that it had when the
// run started.
func (e *fakeEngines) startsOf(rollout string) []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]int(nil), e.starts[rollout]...)
}

func (e *fakeEngines) startedRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

func eventText(rollout string, n int) string { return fmt.Sprintf("%s-%d", rollout, n) }

// fullText returns the text of a complete rollout.
func (c *cluster) fullText(rollout string) string {
	lines := make([]string, c.engines.length)
	for i := range lines {
		lines[i] = eventText(rollout, i+1) + c.engines.pad[rollout]
	}
	return strings.Join(lines, "\n")
}

// fakeScorer simulates the scoring services.
type fakeScorer struct {
	mu    sync.Mutex
	fail  map[string]int
	calls map[string]int
}

// scoreFailures is the number of failed scoring calls at which a rollout is given up.
const scoreFailures = 4

func (*fakeScorer) ServiceOf(ScoreCall) (string, int) { return "scoring", 0 }

func (s *fakeScorer) Score(_ context.Context, call ScoreCall) (ScoreAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[call.ID]++
	if s.fail[call.ID] > 0 {
		s.fail[call.ID]--
		return ScoreAnswer{Failures: 1, MaxFailures: scoreFailures}, failure.New(failure.UpstreamFailed, failure.Ran, "the service failed")
	}
	return ScoreAnswer{Signature: "signed " + call.ID}, nil
}

// fixedRules holds the rule of all jobs.
type fixedRules struct {
	rule Rule
	// since is the version of the configuration that first has the rule, and until the
	// version from which on it is missing again; zero for never.
	since, until atomic.Uint64
}

// hostRules implements Rules for a host with a version of the configuration.
type hostRules struct {
	*fixedRules
	version atomic.Uint64
}

func (r *hostRules) JobRule(_ *Spec, since uint64) (Rule, bool, bool) {
	version := r.version.Load()
	if version < since {
		return Rule{}, false, false
	}
	if until := r.until.Load(); version < r.since.Load() || until > 0 && version >= until {
		return Rule{}, false, true
	}
	return r.rule, true, true
}

// host is one process of a host.
type host struct {
	id        string
	rows      *platformtest.RowsClient
	manager   *Manager
	fleet     *fleet.Fleet
	cancel    context.CancelFunc
	done      sync.WaitGroup
	heartbeat *roster.Heartbeat
	rules     *hostRules
	killed    atomic.Bool
}

// kill ends the process without any handover.
func (h *host) kill() {
	h.killed.Store(true)
	h.rows.SetDown(true)
	h.cancel()
	h.done.Wait()
}

// cluster is an in-memory deployment of hosts, engines and a row service.
type cluster struct {
	t            *testing.T
	rows         *platformtest.Rows
	engines      *fakeEngines
	scores       *fakeScorer
	rules        *fixedRules
	incarnations int
	// notifies is true if hosts tell the owners of the jobs that they accept.
	notifies bool
	// notifyDelay is how long that takes.
	notifyDelay time.Duration
	// feedFactor multiplies the interval of the hosts' change feeds; zero means 1.
	feedFactor float64

	mu    sync.Mutex
	hosts []*host
}

// withCluster runs a test with a new cluster in a synctest bubble.
func withCluster(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, rows: platformtest.NewRows(), engines: newFakeEngines(),
			scores: &fakeScorer{fail: map[string]int{}, calls: map[string]int{}},
			rules:  &fixedRules{rule: Rule{Service: testService, MaxAttempts: 3, RunDeadline: 8 * time.Second}},
		}
		defer func() {
			for _, h := range c.hosts {
				h.kill()
				h.rows.WaitForDelayedWrites()
			}
		}()
		test(c)
	})
}

// startHost starts a new process of a host.
func (c *cluster) startHost(id string) *host { return c.startHostWithDelayedView(id, 0) }

// startHostWithDelayedView starts a new process of a host. It learns of the other
// hosts only after the delay.
func (c *cluster) startHostWithDelayedView(id string, delay time.Duration) *host {
	c.incarnations++
	client := c.rows.Client()
	log := logr.Discard()
	if testing.Verbose() {
		log = testLog(c.t).WithValues("host", id)
	}
	r := roster.New(log)
	self := roster.Host{ID: id, Incarnation: fmt.Sprintf("boot-%d", c.incarnations)}
	h := &host{id: id, rows: client, fleet: fleet.New(log), heartbeat: roster.NewHeartbeat(self, client, r, log), rules: &hostRules{fixedRules: c.rules}}
	h.rules.version.Store(1)
	for _, name := range []string{"e1", "e2", "e3"} {
		h.fleet.Put(fleet.Replica{ID: name, Service: testService, Address: name, Slots: 4, Models: map[string]uint64{testModel: 1}})
	}
	var notify func(string, Acceptance) error
	if c.notifies {
		notify = c.notify
	}
	h.manager = NewManager(Config{
		Notify: notify,
		Host:   id, Incarnation: self.Incarnation, Rows: client, Hosts: r, Rules: h.rules, Fleet: h.fleet,
		Engine: c.engines, Scorer: c.scores, Retention: time.Minute, Log: log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	for _, run := range []func(context.Context) error{
		h.heartbeat.Run, h.manager.Run,
		func(ctx context.Context) error {
			time.Sleep(delay)
			return follow.New(r.FollowConfig(), client, r, log).Run(ctx)
		},
		follow.New(h.manager.FollowConfig(time.Second, 25*time.Millisecond, func() float64 { return max(1, c.feedFactor) }), client, h.manager, log).Run,
	} {
		h.done.Go(func() { _ = run(ctx) })
	}
	c.mu.Lock()
	c.hosts = append(c.hosts, h)
	c.mu.Unlock()
	time.Sleep(time.Second)
	return h
}

// notify delivers an Acceptance as msgpack, as between processes.
func (c *cluster) notify(id string, a Acceptance) error {
	time.Sleep(c.notifyDelay)
	encoded, err := msgpack.Marshal(a)
	if err != nil {
		return err
	}
	var received Acceptance
	if err := msgpack.Unmarshal(encoded, &received); err != nil {
		return err
	}
	for _, h := range c.hosts {
		if h.id == id && !h.killed.Load() {
			h.manager.Accepted(received)
			return nil
		}
	}
	return failure.New(failure.UpstreamUnreachable, "", "no host %s", id)
}

func testLog(t *testing.T) logr.Logger { return logr.New(&testSink{t: t}) }

// spec returns a job of n rollouts in groups of two.
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

// startWithJob starts the hosts ids and submits a job of n rollouts to the host at,
// one of them. It returns the job, the host that owns it and another one.
func (c *cluster) startWithJob(n int, at string, ids ...string) (s *Spec, owner, other *host) {
	c.t.Helper()
	s = spec("job", n)
	var entry *host
	for _, id := range ids {
		if h := c.startHost(id); id == at {
			entry = h
		}
	}
	c.accept(entry, s)
	owner, other = c.ownerAndOther(s.ID)
	return s, owner, other
}

func (c *cluster) accept(h *host, s *Spec) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := h.manager.Accept(ctx, s, h.rules.version.Load()); err != nil {
		c.t.Fatalf("job %s was not accepted: %v", s.ID, err)
	}
}

// read returns all results that a host returns for a job.
func (c *cluster) read(h *host, id string) []Result {
	c.t.Helper()
	var all []Result
	for {
		page, err := h.manager.Results(context.Background(), id, len(all), 0)
		if err != nil {
			c.t.Fatalf("results of %s at %s: %v", id, h.id, err)
		}
		if len(page.Results) == 0 {
			return all
		}
		all = append(all, page.Results...)
	}
}

// waitForResults waits until all results of a job are listed and checks them.
func (c *cluster) waitForResults(h *host, s *Spec, within time.Duration) []Result {
	c.t.Helper()
	end := time.Now().Add(within)
	for {
		results := c.read(h, s.ID)
		if len(results) == len(s.Rollouts) {
			c.check(s, results)
			return results
		}
		if time.Now().After(end) {
			c.t.Fatalf("%d of %d results of %s are listed after %s", len(results), len(s.Rollouts), s.ID, within)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// check checks that each rollout is listed once, and is complete and scored.
func (c *cluster) check(s *Spec, results []Result) {
	c.t.Helper()
	seen := map[string]bool{}
	for _, r := range results {
		if seen[r.ID] {
			c.t.Errorf("rollout %s is listed twice", r.ID)
		}
		seen[r.ID] = true
		if r.State == Completed && r.Text != c.fullText(r.ID) {
			c.t.Errorf("text of %s is %q", r.ID, r.Text)
		}
		if r.State == Completed && r.Score != "signed score "+r.ID {
			c.t.Errorf("score of %s is %q", r.ID, r.Score)
		}
	}
	for _, rollout := range s.Rollouts {
		if !seen[rollout.ID] {
			c.t.Errorf("rollout %s is not listed", rollout.ID)
		}
	}
}

// useVersion2 makes engines use weight version 2, which a host knows at once.
func (c *cluster) useVersion2(h *host, engines ...string) {
	const version = 2
	c.engines.update(func(e *fakeEngines) {
		for _, id := range engines {
			e.version[id] = version
		}
	})
	for _, id := range engines {
		h.fleet.ObserveVersion(id, testModel, version)
	}
}

// ownerRow returns the owner row of a job in the store, and its version.
func (c *cluster) ownerRow(id string) (owner OwnerRow, version uint64, err error) {
	row := c.rows.Row(ownerRowID(id))
	err = json.Unmarshal(row.Value, &owner)
	return owner, row.Version, err
}

// firstListing waits until the store shows the first listed results of a job and returns
// that time, to the millisecond. A run can list all its results and end in one instant,
// so only its row shows each listing.
func (c *cluster) firstListing(id string, within time.Duration) time.Time {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(time.Millisecond) {
		row, _, err := c.ownerRow(id)
		if err != nil {
			c.t.Errorf("owner row of %s: %v", id, err)
			break
		}
		if row.Listed > 0 {
			return time.Now()
		}
	}
	c.t.Errorf("no result of %s is listed within %s", id, within)
	return time.Time{}
}

// ownerAndOther returns the host that owns a job and another live one.
func (c *cluster) ownerAndOther(id string) (owner, other *host) {
	c.t.Helper()
	row, _, err := c.ownerRow(id)
	if err != nil {
		c.t.Fatal(err)
	}
	for _, h := range c.hosts {
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
