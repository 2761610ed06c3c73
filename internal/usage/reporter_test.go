package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
	"github.com/sapphirehatch/sapphirehatch/internal/roster"
	"github.com/sapphirehatch/sapphirehatch/internal/rowlease"
	"github.com/sapphirehatch/sapphirehatch/internal/rowlease/rowleasetest"
)

// fakeControl is a control API that records what it accepts and what breaks its rules.
type fakeControl struct {
	mu       sync.Mutex
	accepted map[int64]map[string]uint64
	token    uint64
	holder   map[uint64]string
	calls    int
	// lost is the number of calls to come that are executed without a reply, late the
	// number of those that are executed after lateBy, and down makes all calls fail.
	lost, late int
	lateBy     time.Duration
	down       bool
	// slow makes all calls take that long and fail, after they were executed.
	slow time.Duration
	// acceptedAt is when each window was first accepted.
	acceptedAt map[int64]time.Time
	// stale makes calls with tokens up to it fail.
	stale   uint64
	broken  []string
	pending sync.WaitGroup
}

func newControl() *fakeControl {
	return &fakeControl{accepted: map[int64]map[string]uint64{}, acceptedAt: map[int64]time.Time{}, holder: map[uint64]string{}}
}

func (c *fakeControl) ReportUsage(_ context.Context, grant rowlease.Grant, window int64, counts map[string]uint64) error {
	slow := time.Duration(0)
	defer func() { time.Sleep(slow) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	if grant.Until.Passed() {
		return failure.New(failure.LeaseLost, failure.NotRun, "ended")
	}
	c.calls++
	if grant.Fence < c.token {
		c.broken = append(c.broken, fmt.Sprintf("token %d after %d", grant.Fence, c.token))
	}
	if other := c.holder[grant.Fence]; other != "" && other != grant.Host {
		c.broken = append(c.broken, fmt.Sprintf("token %d from %s and %s", grant.Fence, other, grant.Host))
	}
	c.token, c.holder[grant.Fence] = max(c.token, grant.Fence), grant.Host
	noReply := failure.New(failure.UpstreamFailed, failure.Unknown, "no reply")
	switch {
	case grant.Fence <= c.stale:
		return failure.New(failure.StaleFencingToken, failure.NotRun, "stale")
	case c.down:
		return failure.New(failure.UpstreamUnreachable, failure.NotRun, "down")
	case c.slow > 0:
		slow = c.slow
		c.accept(window, counts)
		return noReply
	case c.lost > 0:
		c.lost--
		c.accept(window, counts)
		return noReply
	case c.late > 0:
		c.late--
		lateBy := c.lateBy
		c.pending.Go(func() {
			time.Sleep(lateBy)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.accept(window, counts)
		})
		return noReply
	}
	c.accept(window, counts)
	return nil
}

// accept executes a call. The caller holds mu.
func (c *fakeControl) accept(window int64, counts map[string]uint64) {
	if known, ok := c.accepted[window]; ok && !maps.Equal(known, counts) {
		c.broken = append(c.broken, fmt.Sprintf("window %d: %v and %v", window, known, counts))
	}
	c.accepted[window] = maps.Clone(counts)
	if _, ok := c.acceptedAt[window]; !ok {
		c.acceptedAt[window] = time.Now()
	}
}

func (c *fakeControl) set(change func(*fakeControl)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

// seenCalls is what a fakeControl has seen.
type seenCalls struct {
	accepted map[int64]map[string]uint64
	calls    int
	token    uint64
}

func (c *fakeControl) seen() seenCalls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return seenCalls{accepted: maps.Clone(c.accepted), calls: c.calls, token: c.token}
}

// sum returns the accepted requests of a team.
func (c *fakeControl) sum(team string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := uint64(0)
	for _, counts := range c.accepted {
		sum += counts[team]
	}
	return sum
}

// process is one process of a host with all parts of the usage reports.
type process struct {
	*rowleasetest.Candidate
	roster   *roster.Roster
	counter  *Counter
	reporter *Reporter
	// step is added to the host's time of day.
	mu     sync.Mutex
	step   time.Duration
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func (p *process) timeOfDay() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Add(p.step)
}

func (p *process) stepClock(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step = by
}

func startProcess(rows *platformtest.Rows, control Sender, id, incarnation string) *process {
	p := &process{Candidate: rowleasetest.Start(rows, rowlease.Usage, id, incarnation), roster: roster.New(logr.Discard())}
	heartbeat := roster.NewHeartbeat(roster.Host{ID: id, Incarnation: incarnation, Address: id}, p.Rows, p.roster, logr.Discard())
	heartbeat.AnnounceClock(p.timeOfDay)
	follower := follow.New(p.roster.FollowConfig(), p.Rows, p.roster, logr.Discard())
	p.counter = NewCounter(p.roster, length, nil)
	writer := NewWriter(p.counter, id, incarnation, p.Rows, p.roster, logr.Discard())
	p.reporter = NewReporter(Config{Elector: p.Elector, Rows: p.Rows, Hosts: p.roster, Sender: control, Length: length, Late: 10 * time.Second, Log: logr.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	for _, run := range []func(context.Context) error{heartbeat.Run, follower.Run, writer.Run, p.reporter.Run} {
		p.done.Go(func() { _ = run(ctx) })
	}
	return p
}

// kill ends the process like a power loss: nothing that it does on the way reaches the
// store.
func (p *process) kill() {
	p.Rows.SetDown(true)
	p.cancel()
	p.done.Wait()
	p.Stop()
}

// holder returns the index of the host that holds the lease.
func holder(t *testing.T, hosts []*process) int {
	t.Helper()
	for i, h := range hosts {
		if _, _, ok := h.Elector.Held(); ok {
			return i
		}
	}
	t.Fatal("no host holds the lease")
	return 0
}

// simulate runs a test with hosts "0", "1" and "2" that have just started.
func simulate(t *testing.T, test func(t *testing.T, rows *platformtest.Rows, control *fakeControl, hosts []*process)) {
	synctest.Test(t, func(t *testing.T) {
		rows, control := platformtest.NewRows(), newControl()
		hosts := make([]*process, 3)
		for i := range hosts {
			hosts[i] = startProcess(rows, control, fmt.Sprint(i), "first")
		}
		time.Sleep(2 * time.Second)
		test(t, rows, control, hosts)
		for _, h := range hosts {
			h.kill()
		}
		control.pending.Wait()
		for _, broken := range control.broken {
			t.Error(broken)
		}
	})
}

// request counts requests at hosts each 100 ms for a time, and returns their number.
func request(hosts []*process, team string, during time.Duration) uint64 {
	n := uint64(0)
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, h := range hosts {
			h.counter.Began(team, time.Now())
			n++
		}
	}
	return n
}

// wantNoGap checks that all windows between the first and the last accepted one are accepted.
func wantNoGap(t *testing.T, c *fakeControl, atLeast int) {
	t.Helper()
	first, last := int64(0), int64(0)
	accepted := c.seen().accepted
	for window := range accepted {
		if first == 0 || window < first {
			first = window
		}
		last = max(last, window)
	}
	if n := last - first + 1; int(n) != len(accepted) || len(accepted) < atLeast {
		t.Errorf("%d windows are accepted between %d and %d, want all, and %d or more", len(accepted), first, last, atLeast)
	}
}

func wantSum(t *testing.T, c *fakeControl, team string, want uint64) {
	t.Helper()
	if got := c.sum(team); got != want {
		t.Errorf("%d requests of %s are accepted, want %d", got, team, want)
	}
}

func TestAllRequestsAreReported(t *testing.T) {
	simulate(t, func(t *testing.T, rows *platformtest.Rows, control *fakeControl, hosts []*process) {
		x := request(hosts, "x", 17*time.Second)
		y := request(hosts[:1], "y", 8*time.Second)
		time.Sleep(30 * time.Second)
		wantSum(t, control, "x", x)
		wantSum(t, control, "y", y)
		wantNoGap(t, control, 9)
		// Empty windows are reported, and no counts are left behind.
		if page, _ := hosts[0].Rows.Parts(t.Context(), Table, ""); len(page.Parts) > 0 {
			t.Errorf("the parts %v are left", page.Parts)
		}
		if control.seen().calls > len(control.seen().accepted) {
			t.Errorf("%d calls for %d windows", control.seen().calls, len(control.seen().accepted))
		}
		if row := rows.Row(stateRow()); len(row.Value) > 100 {
			t.Errorf("the state is %s", row.Value)
		}
	})
}

// Hosts without requests must not write counts.
func TestIdleHostWritesNothing(t *testing.T) {
	simulate(t, func(t *testing.T, rows *platformtest.Rows, _ *fakeControl, hosts []*process) {
		before := rows.Row(stateRow()).Version
		time.Sleep(20 * time.Second)
		if page, _ := hosts[0].Rows.Parts(t.Context(), Table, ""); len(page.Parts) > 0 {
			t.Errorf("idle hosts wrote the parts %v", page.Parts)
		}
		if rows.Row(stateRow()).Version == before {
			t.Error("no window was decided")
		}
	})
}

// A call without a reply is executed after the call of the next holder. Both must have
// the same counts.
func TestReportExecutedLateAfterATakeover(t *testing.T) {
	simulate(t, func(t *testing.T, _ *platformtest.Rows, control *fakeControl, hosts []*process) {
		control.set(func(c *fakeControl) { c.late, c.lateBy = 1, 12*time.Second })
		n := request(hosts, "x", 9*time.Second)
		for late := 1; late > 0; time.Sleep(100 * time.Millisecond) {
			control.set(func(c *fakeControl) { late = c.late })
		}
		i := holder(t, hosts)
		hosts[i].kill()
		n += request(append(slices.Clone(hosts[:i]), hosts[i+1:]...), "x", 10*time.Second)
		time.Sleep(30 * time.Second)
		// The killed host may lose what it counted in its last half second.
		if got := control.sum("x"); got > n || n-got > 5 {
			t.Errorf("%d of %d requests are accepted", got, n)
		}
		wantNoGap(t, control, 8)
		if control.seen().token < 2 {
			t.Error("no takeover happened")
		}
	})
}

// A call that was executed without a reply is repeated with the same counts.
func TestReportIsRepeatedAfterALostReply(t *testing.T) {
	simulate(t, func(t *testing.T, _ *platformtest.Rows, control *fakeControl, hosts []*process) {
		control.set(func(c *fakeControl) { c.lost = 3 })
		n := request(hosts, "x", 20*time.Second)
		time.Sleep(15 * time.Second)
		wantSum(t, control, "x", n)
		if control.seen().calls != len(control.seen().accepted)+3 {
			t.Errorf("%d calls for %d windows and 3 lost replies", control.seen().calls, len(control.seen().accepted))
		}
	})
}

// A control API that executes calls but answers after the timeout gets each report in time,
// and not only repeats of the same few.
func TestControlAPIAnswersAfterTheTimeout(t *testing.T) {
	simulate(t, func(t *testing.T, _ *platformtest.Rows, control *fakeControl, hosts []*process) {
		time.Sleep(15 * time.Second)
		control.set(func(c *fakeControl) { c.slow = time.Second })
		n := request(hosts, "x", 40*time.Second)
		time.Sleep(10 * time.Second)
		wantSum(t, control, "x", n)
		wantNoGap(t, control, 11)
		control.set(func(c *fakeControl) {
			for window, at := range c.acceptedAt {
				if after := time.Duration(at.UnixNano()) - endOf(window, length); after > 10*time.Second {
					t.Errorf("window %d is accepted %s after its end", window, after)
				}
			}
		})
	})
}

// With the control API down, reports are kept in the order of their windows and sent when it
// is back; those of windows that ended more than 60 s ago are given up.
func TestControlAPIDown(t *testing.T) {
	for _, test := range []struct {
		down time.Duration
		gap  bool
	}{{30 * time.Second, false}, {100 * time.Second, true}} {
		t.Run(test.down.String(), func(t *testing.T) {
			simulate(t, func(t *testing.T, rows *platformtest.Rows, control *fakeControl, hosts []*process) {
				time.Sleep(15 * time.Second)
				control.set(func(c *fakeControl) { c.down = true })
				n := request(hosts, "x", test.down)
				if size := len(rows.Row(stateRow()).Value); size > 1000 {
					t.Errorf("the state has %d bytes", size)
				}
				control.set(func(c *fakeControl) { c.down = false })
				time.Sleep(15 * time.Second)
				if !test.gap {
					wantSum(t, control, "x", n)
					wantNoGap(t, control, 8)
				} else if got := control.sum("x"); got < n/2 || got >= n {
					t.Errorf("%d of %d requests are accepted", got, n)
				}
			})
		})
	}
}

// A holder that decided a report and died before it sent it leaves it to the next holder,
// which sends what was decided.
func TestDecidedReportOutlivesItsHolder(t *testing.T) {
	simulate(t, func(t *testing.T, rows *platformtest.Rows, control *fakeControl, hosts []*process) {
		time.Sleep(15 * time.Second)
		control.set(func(c *fakeControl) { c.down = true })
		n := request(hosts, "x", 5*time.Second)
		time.Sleep(10 * time.Second)
		var state State
		if err := json.Unmarshal(rows.Row(stateRow()).Value, &state); err != nil || len(state.Decided) == 0 {
			t.Fatalf("the state is %+v, error %v", state, err)
		}
		for _, h := range hosts {
			h.kill()
		}
		control.set(func(c *fakeControl) { c.down = false })
		hosts[1] = startProcess(rows, control, "1", "second")
		time.Sleep(20 * time.Second)
		wantSum(t, control, "x", n)
		wantNoGap(t, control, 6)
		for _, report := range state.Decided {
			if !maps.Equal(control.seen().accepted[report.Window], report.Counts) {
				t.Errorf("window %d is reported as %v, decided was %v", report.Window, control.seen().accepted[report.Window], report.Counts)
			}
		}
	})
}

// If all hosts lose power between count and report, the rows are reported after the
// restart. Only what was not written is lost.
func TestPowerLossOfAllHosts(t *testing.T) {
	simulate(t, func(t *testing.T, rows *platformtest.Rows, control *fakeControl, hosts []*process) {
		n := request(hosts, "x", 13*time.Second)
		for _, h := range hosts {
			h.kill()
		}
		time.Sleep(10 * time.Second)
		for i := range hosts {
			hosts[i] = startProcess(rows, control, fmt.Sprint(i), "second")
		}
		time.Sleep(25 * time.Second)
		// Each host loses at most the requests of half a second, 5 of them.
		if got := control.sum("x"); got > n || n-got > 15 {
			t.Errorf("%d of %d requests are accepted", got, n)
		}
		wantNoGap(t, control, 6)
	})
}

// A host that is killed loses at most what it counted since its last write.
func TestHostKilledBetweenCountAndWrite(t *testing.T) {
	simulate(t, func(t *testing.T, _ *platformtest.Rows, control *fakeControl, hosts []*process) {
		n := request(hosts, "x", 11*time.Second)
		hosts[2].kill()
		time.Sleep(20 * time.Second)
		if got := control.sum("x"); got > n || n-got > 5 {
			t.Errorf("%d of %d requests are accepted", got, n)
		}
	})
}

// refusingStore is a store that refuses some calls without executing them.
type refusingStore struct {
	platform.RowStore
	mu sync.Mutex
	// reads and commits are the numbers of calls to come that are refused, and part a part
	// whose reads are all refused.
	reads, commits int
	part           string
}

// refuse counts down n and returns an error unless n is zero.
func (s *refusingStore) refuse(n *int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *n == 0 {
		return nil
	}
	*n--
	return failure.New(failure.StoreUnavailable, "", "the store answered 429")
}

func (s *refusingStore) Read(ctx context.Context, q platform.RowRange) (platform.RowPage, error) {
	if s.part != "" && q.Part == s.part {
		return platform.RowPage{}, failure.New(failure.StoreUnavailable, "", "the part can't be read")
	}
	if err := s.refuse(&s.reads); err != nil {
		return platform.RowPage{}, err
	}
	return s.RowStore.Read(ctx, q)
}

func (s *refusingStore) Parts(ctx context.Context, table, after string) (platform.PartPage, error) {
	if err := s.refuse(&s.reads); err != nil {
		return platform.PartPage{}, err
	}
	return s.RowStore.Parts(ctx, table, after)
}

func (s *refusingStore) Commit(ctx context.Context, tx platform.RowTransaction) (platform.CommitResult, error) {
	if err := s.refuse(&s.commits); err != nil {
		return platform.CommitResult{}, err
	}
	return s.RowStore.Commit(ctx, tx)
}

// loadedReporter returns a reporter whose next window is 100, on a store with counts of that
// window in the parts "100" and "100.1".
func loadedReporter(t *testing.T) (*Reporter, *refusingStore, *platformtest.Rows) {
	t.Helper()
	rows := platformtest.NewRows()
	rows.Put(platform.RowID{Table: Table, Part: "100", Key: "a"}, []byte(`{"x":3}`))
	rows.Put(platform.RowID{Table: Table, Part: "100.1", Key: "b"}, []byte(`{"x":4}`))
	rows.Put(stateRow(), []byte(`{"next":100}`))
	store := &refusingStore{RowStore: rows.Client()}
	r := NewReporter(Config{Rows: store, Hosts: roster.New(logr.Discard()), Length: length, Log: logr.Discard()})
	if !r.load(t.Context(), 1, endOf(100, length)) {
		t.Fatal("the state is not loaded")
	}
	return r, store, rows
}

// A single read that the store refuses must neither unload the state nor delay a window.
func TestRefusedReadIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, store, _ := loadedReporter(t)
		store.reads = 1
		if !r.load(t.Context(), 2, endOf(100, length)) {
			t.Error("the state is not loaded after one refused read")
		}
		// The list of the parts and one of their reads.
		for range 2 {
			store.reads = 1
			if !r.decide(t.Context(), endOf(r.state.Next, length)+readDelay) || !r.lostAt.IsZero() {
				t.Fatal("a window is not decided after one refused read")
			}
		}
		if counts := r.state.Decided[0].Counts; counts["x"] != 7 {
			t.Errorf("the counts are %v", counts)
		}
		store.reads = 100
		if began := time.Now(); r.decide(t.Context(), endOf(r.state.Next, length)+readDelay) || r.loaded || time.Since(began) > storeTimeout {
			t.Error("a window is decided in a store that refuses all reads")
		}
	})
}

// Rows of old windows must be deleted by the same holder although the first sweep fails, at
// its reads or at its deletions.
func TestFailedSweepIsRepeated(t *testing.T) {
	for _, test := range []struct {
		name string
		// part is the part whose reads are refused, and commits the number of deletions.
		part    string
		commits int
	}{{"read", "50", 0}, {"deletion", "", 100}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, store, rows := loadedReporter(t)
				rows.Put(platform.RowID{Table: Table, Part: "50", Key: "a"}, []byte(`{"x":1}`))
				rows.Put(platform.RowID{Table: Table, Part: "50", Key: "b"}, []byte(`{"x":1}`))
				for round := range 3 {
					if round == 0 {
						store.part = test.part
					}
					if !r.decide(t.Context(), endOf(r.state.Next, length)+readDelay) {
						t.Fatal("a window is not decided")
					}
					if round == 0 {
						store.commits = test.commits
					}
					for range 3 {
						r.deleteGarbage(t.Context())
					}
					store.part, store.commits = "", 0
				}
				if n := rows.Count("50"); n != 0 {
					t.Errorf("%d rows of an old window are left", n)
				}
				if r.sweepFrom != r.state.Next-sweepAge {
					t.Errorf("old parts are listed again from window %d on", r.sweepFrom)
				}
			})
		})
	}
}

// Counts that can't be read must not delay a window for longer than until latestDelay, or
// the report would be late.
func TestWindowIsDecidedWithoutCountsThatCanNotBeRead(t *testing.T) {
	for _, test := range []struct {
		after   time.Duration
		decided bool
	}{{readDelay, false}, {latestDelay - time.Second, false}, {latestDelay, true}} {
		t.Run(test.after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, store, rows := loadedReporter(t)
				store.part = "100.1"
				decided := r.decide(t.Context(), endOf(100, length)+test.after)
				if decided != test.decided || r.loaded != test.decided {
					t.Fatalf("decided: %t, loaded: %t", decided, r.loaded)
				}
				if decided && r.state.Decided[0].Counts["x"] != 3 {
					t.Errorf("the counts are %v", r.state.Decided[0].Counts)
				}
				r.deleteGarbage(t.Context())
				if n := rows.Count("100.1"); n != 1 {
					t.Errorf("%d rows are left that were not read, want 1", n)
				}
			})
		})
	}
}

// A store that is lost again before the hosts' counts have been awaited must not delay all
// windows without an upper bound.
func TestReportsWhileTheStoreIsLostAgainAndAgain(t *testing.T) {
	simulate(t, func(t *testing.T, _ *platformtest.Rows, control *fakeControl, hosts []*process) {
		time.Sleep(15 * time.Second)
		for range 24 {
			for _, down := range []bool{true, false} {
				for _, h := range hosts {
					h.Rows.SetDown(down)
				}
				time.Sleep(1250 * time.Millisecond)
			}
		}
		wantNoGap(t, control, 12)
		control.set(func(c *fakeControl) {
			for window, at := range c.acceptedAt {
				// An outage may begin right before the decision.
				if after := time.Duration(at.UnixNano()) - endOf(window, length); after > latestDelay+2*time.Second {
					t.Errorf("window %d is accepted %s after its end", window, after)
				}
			}
		})
	})
}

// A former holder that was suspended between reading the counts and committing their sum
// must not change what its successor decided.
func TestSuspendedHolderResumesWithAnOldSum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, hosts := platformtest.NewRows(), roster.New(logr.Discard())
		reporter := func() *Reporter {
			return NewReporter(Config{Rows: rows.Client(), Hosts: hosts, Length: length, Log: logr.Discard()})
		}
		former, successor := reporter(), reporter()
		now := endOf(100, length)
		if !former.load(t.Context(), 1, now) || !former.decide(t.Context(), now) || !successor.load(t.Context(), 2, now) || !successor.decide(t.Context(), now) {
			t.Fatal("the windows are not decided")
		}
		want := rows.Row(stateRow())
		if former.decide(t.Context(), now) || former.loaded {
			t.Error("the former holder decided on an old state")
		}
		if got := rows.Row(stateRow()); got.Version != want.Version {
			t.Errorf("the state is %s, was %s", got.Value, want.Value)
		}
	})
}

// A write of counts that is executed late must not replace a higher count.
func TestLateWriteDoesNotLowerACount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, hosts := platformtest.NewRows(), roster.New(logr.Discard())
		client := rows.Client()
		counter := NewCounter(hosts, length, nil)
		writer := NewWriter(counter, "a", "first", client, hosts, logr.Discard())
		at := time.Now()
		for i := range 3 {
			if i == 1 {
				client.DelayWrites(1, 3*time.Second)
			}
			counter.Began("x", at)
			writer.write(t.Context())
		}
		client.WaitForDelayedWrites()
		id := platform.RowID{Table: Table, Part: partOf(windowAt(time.Duration(at.UnixNano()), length), 0), Key: writer.key}
		if got := string(rows.Row(id).Value); got != `{"x":3}` {
			t.Errorf("the row is %s", got)
		}
	})
}

// The clock of one host steps by 5 s and back. Its requests count in the windows of true
// time all the same.
func TestClockStep(t *testing.T) {
	for _, step := range []time.Duration{5 * time.Second, -5 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			simulate(t, func(t *testing.T, _ *platformtest.Rows, control *fakeControl, hosts []*process) {
				time.Sleep(5 * time.Second)
				want := map[int64]uint64{}
				for i := range 200 {
					switch i {
					case 50:
						hosts[0].stepClock(step)
					case 150:
						hosts[0].stepClock(0)
					}
					for _, h := range hosts {
						h.counter.Began("x", time.Now())
					}
					want[windowAt(time.Duration(time.Now().UnixNano()), length)] += 3
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(20 * time.Second)
				for window, n := range want {
					// Rounding of the clocks may move a request at the edge.
					if got := control.seen().accepted[window]["x"]; got+3 < n || got > n+3 {
						t.Errorf("window %d has %d requests, want %d", window, got, n)
					}
				}
			})
		})
	}
}

// A report that is refused because of its token is sent under a new token only.
func TestRefusedTokenIsReplaced(t *testing.T) {
	simulate(t, func(t *testing.T, _ *platformtest.Rows, control *fakeControl, hosts []*process) {
		control.set(func(c *fakeControl) { c.stale = 3 })
		n := request(hosts, "x", 10*time.Second)
		time.Sleep(25 * time.Second)
		wantSum(t, control, "x", n)
		if refused := control.seen().calls - len(control.seen().accepted); refused > 3 {
			t.Errorf("%d calls were refused, want one for each token", refused)
		}
	})
}

// tokenCheck is a Sender that checks that a call has the token under which the host may act.
type tokenCheck struct {
	*fakeControl
	t *testing.T
	// elector is that of the host, guarded by mu.
	elector *rowlease.Elector
}

func (c *tokenCheck) ReportUsage(ctx context.Context, grant rowlease.Grant, window int64, counts map[string]uint64) error {
	c.mu.Lock()
	elector := c.elector
	c.mu.Unlock()
	if fence, _, ok := elector.Held(); !ok || fence != grant.Fence {
		c.t.Errorf("a call under token %d, the host may act under token %d: %t", grant.Fence, fence, ok)
	}
	return c.fakeControl.ReportUsage(ctx, grant, window, counts)
}

// The token changes while a window is decided. A report that waits must not be sent under
// the old one.
func TestTokenChangesDuringADecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, check := platformtest.NewRows(), &tokenCheck{fakeControl: newControl(), t: t}
		check.down = true
		host := startProcess(rows, check, "0", "first")
		check.set(func(*fakeControl) { check.elector = host.Elector })
		// The tokens are abandoned between two steps of the reporter and not at the moment of a
		// step, when the order of the two would be open.
		time.Sleep(15*time.Second + stepInterval/3)
		host.Rows.SlowWrites(StateTable, time.Second, 0)
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			if fence, _, ok := host.Elector.Held(); ok {
				host.Elector.Abandon(fence)
			}
		}
		if check.seen().calls == 0 {
			t.Error("no call was made")
		}
		host.kill()
	})
}

// After an outage of the store the holder waits until the hosts have written what they
// counted, and no host keeps more than its counts of the last windows meanwhile.
func TestCountsOfAStoreOutageAreReported(t *testing.T) {
	// The writes of the hosts have any phase at the end of the outage.
	for _, outage := range []time.Duration{11500, 11600, 11700, 11800, 11900, 12000} {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			simulate(t, func(t *testing.T, _ *platformtest.Rows, control *fakeControl, hosts []*process) {
				n := request(hosts, "x", 6*time.Second)
				for _, h := range hosts {
					h.Rows.SetDown(true)
				}
				n += request(hosts, "x", outage*time.Millisecond)
				for _, h := range hosts {
					h.counter.mu.Lock()
					if len(h.counter.tallies) > 14 {
						t.Errorf("host %s keeps %d windows", h.ID, len(h.counter.tallies))
					}
					h.counter.mu.Unlock()
					h.Rows.SetDown(false)
				}
				n += request(hosts, "x", 5*time.Second)
				time.Sleep(20 * time.Second)
				wantSum(t, control, "x", n)
				wantNoGap(t, control, 7)
			})
		})
	}
}

// The store takes 480 ms for each transaction of a part, as in an incident. The hosts'
// counts must be there when the window is read.
func TestCountsInASlowStore(t *testing.T) {
	simulate(t, func(t *testing.T, rows *platformtest.Rows, control *fakeControl, hosts []*process) {
		rows.SetWriteTime(480 * time.Millisecond)
		n := request(hosts, "x", 20*time.Second)
		time.Sleep(20 * time.Second)
		wantSum(t, control, "x", n)
		wantNoGap(t, control, 7)
	})
}

// A host that the store turns away shortly before a window is read is waited for.
func TestCountsOfAnUnreachableHostAreAwaited(t *testing.T) {
	simulate(t, func(t *testing.T, _ *platformtest.Rows, control *fakeControl, hosts []*process) {
		time.Sleep(5*time.Second - time.Duration(time.Now().UnixNano())%(5*time.Second))
		n := request(hosts, "x", 4*time.Second)
		hosts[2].Rows.SetDown(true)
		n += request(hosts, "x", 900*time.Millisecond)
		time.Sleep(5 * time.Second)
		hosts[2].Rows.SetDown(false)
		time.Sleep(20 * time.Second)
		wantSum(t, control, "x", n)
	})
}

// Faults of all kinds at random: no window has two counts, no token is used twice or after
// a higher one, and no request is counted twice.
func TestReportsUnderFaults(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulate(t, func(t *testing.T, rows *platformtest.Rows, control *fakeControl, hosts []*process) {
				random := rand.New(rand.NewPCG(seed, 2))
				n := uint64(0)
				for round := range 40 {
					h := hosts[random.IntN(len(hosts))]
					switch random.IntN(8) {
					case 0:
						h.Rows.SetDown(true)
					case 1:
						h.Rows.LoseAnswers(1 + random.IntN(3))
					case 2:
						h.Rows.DelayWrites(1+random.IntN(3), time.Duration(random.IntN(8000))*time.Millisecond)
					case 3:
						i := int(h.ID[0] - '0')
						h.kill()
						hosts[i] = startProcess(rows, control, h.ID, fmt.Sprint("boot ", round))
					case 4:
						control.set(func(c *fakeControl) { c.lost = random.IntN(3) })
					case 5:
						control.set(func(c *fakeControl) { c.late, c.lateBy = random.IntN(3), 8*time.Second })
					case 6:
						control.set(func(c *fakeControl) { c.down = !c.down })
					default:
						for _, h := range hosts {
							h.Rows.SetDown(false)
						}
					}
					n += request(hosts, "x", 2*time.Second)
				}
				control.set(func(c *fakeControl) { c.down = false })
				for _, h := range hosts {
					h.Rows.SetDown(false)
				}
				time.Sleep(20 * time.Second)
				if got := control.sum("x"); got > n || got < n/4 {
					t.Errorf("%d of %d requests are accepted", got, n)
				}
			})
		})
	}
}
