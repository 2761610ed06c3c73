package usage

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/rowlease"
	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

// StateTable is the table of the state row, which has its own part.
const StateTable = "usage-state"

const (
	// stepInterval is the time between two steps of the holder.
	stepInterval = 100 * time.Millisecond
	// storeTimeout bounds the reads of a step, and its commit.
	storeTimeout = 2 * time.Second
	// minReadTime is the least time for the reads of a window that must be decided soon.
	minReadTime = 500 * time.Millisecond
	// readRepeatWait is the wait before a read that failed is repeated. The store limits
	// reads by tenths of a second.
	readRepeatWait = 150 * time.Millisecond
	// maxContactAge is the age of the last contact with the store from which it counts
	// as lost; it grows with the interval factor.
	maxContactAge = time.Second
	// settleTime is how long after a loss of contact no window is decided, so that the
	// hosts write the counts that they kept, and how long a host that was unreachable
	// is waited for; it grows with the interval factor.
	settleTime = 2 * time.Second
	// minSendRetry is the wait after a failed report. It doubles up to maxSendRetry.
	minSendRetry = 250 * time.Millisecond
	maxSendRetry = 2 * time.Second
	// maxReads bounds the parts that are read or deleted at once.
	maxReads = 4
	// sweepAge is the number of windows after which a part that is still there is
	// deleted: a host may have written a row after the holder had deleted the others.
	// It exceeds giveUpAfter for windows of 5 s.
	sweepAge = 15
	// maxSweep bounds the parts that are deleted in one step.
	maxSweep = 16
)

// Sender sends reports to the control API.
type Sender interface {
	// ReportUsage sends one report. Errors are *failure.Error; see
	// platform.ControlClient.
	ReportUsage(ctx context.Context, grant rowlease.Grant, window int64, counts map[string]uint64) error
}

// Hosts tells what this host knows of the others; see roster.Roster.
type Hosts interface {
	Clock
	Intervals
	// StoreClock returns when the last request was sent that the store answered.
	StoreClock() (time.Duration, time.Time)
	// Unreachable reports whether a host that did not stop has been dead for less than a time.
	Unreachable(within time.Duration) bool
}

// Config configures a Reporter.
type Config struct {
	Elector *rowlease.Elector
	Rows    platform.RowStore
	Hosts   Hosts
	Sender  Sender
	// Length is the length of a window, and Late how long after its end a report counts
	// as late.
	Length, Late time.Duration
	// Events may be nil.
	Events *telemetry.Recorder
	Log    logr.Logger
}

// retry is when a failed report is sent again.
type retry struct {
	failures int
	at       time.Time
}

// Reporter decides and sends the reports while this host holds the lease. Only Run uses
// its fields.
type Reporter struct {
	Config
	// loaded is true if state and version are those of the state row, under fence.
	loaded  bool
	fence   uint64
	state   State
	version uint64
	// retries holds the failed reports by window.
	retries map[int64]retry
	// lostAt is when the contact with the store was last lost, and unreachableAt when a
	// host was last unreachable.
	lostAt, unreachableAt time.Time
	// contact is the time in contact with the store since it was last settled, and steppedAt
	// when the last step began.
	contact   time.Duration
	steppedAt time.Time
	// garbage holds the rows to delete, by part.
	garbage map[string][]platform.RowID
	// sweepFrom is the window before which no parts are left.
	sweepFrom int64
}

// NewReporter returns a reporter.
func NewReporter(c Config) *Reporter { return &Reporter{Config: c} }

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	for pause.For(ctx, stepInterval) {
		r.step(ctx)
	}
	return nil
}

// step does what is due now, if this host holds the lease.
func (r *Reporter) step(ctx context.Context) {
	settled := r.observeContact()
	if r.Hosts.Unreachable(incompleteDelay + r.Length) {
		r.unreachableAt = time.Now()
	}
	grant, held := r.Elector.Grant()
	now, known := r.Hosts.TrueTime(time.Now())
	if !held || !known {
		r.loaded = false
		return
	}
	if (!r.loaded || grant.Fence != r.fence) && !r.load(ctx, grant.Fence, now) {
		return
	}
	waiting, failures := r.unaccepted()
	plan := Plan(r.state, Situation{
		Now: now, Length: r.Length, Settled: settled, Contact: r.contact, SettleTime: r.scaled(settleTime),
		Incomplete: time.Since(r.unreachableAt) < r.scaled(settleTime), Waiting: waiting, Failures: failures,
	})
	r.state = plan.State
	for window := range r.retries {
		if !slices.ContainsFunc(r.state.Decided, func(report Report) bool { return report.Window == window }) {
			delete(r.retries, window)
		}
	}
	if plan.GivenUp > 0 {
		r.Events.EventN("usage_windows_given_up", plan.GivenUp)
		r.Log.Info("usage windows given up", "first", plan.FirstGivenUp, "windows", plan.GivenUp, "fence", grant.Fence)
	}
	if plan.Decide && !r.decide(ctx, now) {
		return
	}
	if plan.Send != nil {
		// The calls to the store may have taken seconds, in which the token may have changed.
		if grant, held = r.Elector.Grant(); !held || grant.Fence != r.fence {
			r.loaded = false
			return
		}
		r.send(ctx, grant, *plan.Send)
	}
	r.deleteGarbage(ctx)
}

// observeContact records whether there is contact with the store, and returns true if it was
// not lost within settleTime.
func (r *Reporter) observeContact() bool {
	now, last := time.Now(), r.steppedAt
	r.steppedAt = now
	if _, asked := r.Hosts.StoreClock(); now.Sub(asked) > r.scaled(maxContactAge) {
		r.lostAt = now
		return false
	}
	if now.Sub(r.lostAt) >= r.scaled(settleTime) {
		r.contact = 0
		return true
	}
	// A step may have waited for the store for seconds.
	r.contact += min(now.Sub(last), maxContactAge)
	return false
}

// scaled returns a time scaled to the number of hosts.
func (r *Reporter) scaled(usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * r.Hosts.IntervalFactor())
}

// unaccepted returns the windows whose report is not to be repeated yet, and the number of
// failures of each report that failed.
func (r *Reporter) unaccepted() (waiting map[int64]bool, failures map[int64]int) {
	waiting, failures = map[int64]bool{}, map[int64]int{}
	for window, retry := range r.retries {
		waiting[window], failures[window] = time.Now().Before(retry.at), retry.failures
	}
	return waiting, failures
}

// stateRow returns the id of the state row.
func stateRow() platform.RowID {
	return platform.RowID{Table: StateTable, Part: "state", Key: "state"}
}

// load reads the state row.
func (r *Reporter) load(ctx context.Context, fence uint64, now time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	id := stateRow()
	page, err := r.readRows(ctx, platform.RowRange{Table: id.Table, Part: id.Part, Limit: 1})
	if err != nil {
		r.storeFailed("read of the usage state", err)
		return false
	}
	state, version := State{}, uint64(0)
	if len(page.Rows) > 0 {
		version = page.Rows[0].Version
		if err := json.Unmarshal(page.Rows[0].Value, &state); err != nil {
			r.Log.Info("usage state can't be decoded, it is begun anew", "version", version, "error", err.Error())
			state = State{}
		}
	}
	if state.Next == 0 {
		// Without a state, reports begin with the present window or the oldest that has
		// counts and is not given up.
		oldest, err := r.oldestCounted(ctx, now)
		if err != nil {
			r.storeFailed("list of usage windows", err)
			return false
		}
		state.Next = oldest
	}
	r.loaded, r.fence, r.state, r.version = true, fence, state, version
	r.retries, r.garbage, r.sweepFrom = map[int64]retry{}, map[string][]platform.RowID{}, 0
	r.Log.Info("usage state loaded", "next", state.Next, "decided", len(state.Decided), "version", version, "fence", fence)
	return true
}

// oldestCounted returns the oldest window with rows that is not given up, or the present one.
func (r *Reporter) oldestCounted(ctx context.Context, now time.Duration) (int64, error) {
	first, present := windowAt(now-giveUpAfter, r.Length)+1, windowAt(now, r.Length)
	parts, err := r.parts(ctx, first)
	if err != nil {
		return 0, err
	}
	oldest := present
	for window := range parts {
		if window >= first {
			oldest = min(oldest, window)
		}
	}
	return oldest, nil
}

// parts returns the parts with counts, by window, from a window on.
func (r *Reporter) parts(ctx context.Context, from int64) (map[int64][]string, error) {
	parts := map[int64][]string{}
	// All parts of a window sort after its number less one followed by "~".
	after := ""
	if from > 0 {
		after = strconv.FormatInt(from-1, 10) + "~"
	}
	for {
		page, err := repeated(ctx, func() (platform.PartPage, error) { return r.Rows.Parts(ctx, Table, after) })
		if err != nil {
			return nil, err
		}
		for _, part := range page.Parts {
			if window, ok := windowOfPart(part); ok {
				parts[window] = append(parts[window], part)
			}
		}
		if !page.More || len(page.Parts) == 0 {
			return parts, nil
		}
		after = page.Parts[len(page.Parts)-1]
	}
}

// readRows reads a page of rows.
func (r *Reporter) readRows(ctx context.Context, q platform.RowRange) (platform.RowPage, error) {
	return repeated(ctx, func() (platform.RowPage, error) { return r.Rows.Read(ctx, q) })
}

// repeated makes a read, and repeats it once if it fails before ctx ends: a single read that
// the store refuses must not delay a window by settleTime.
func repeated[T any](ctx context.Context, read func() (T, error)) (T, error) {
	result, err := read()
	if err != nil && pause.For(ctx, readRepeatWait) {
		return read()
	}
	return result, err
}

// storeFailed records a failed call to the store, after which the state is read again.
func (r *Reporter) storeFailed(what string, err error) {
	r.loaded, r.lostAt = false, time.Now()
	r.Log.Info("usage reports wait for the store", "call", what, "error", err.Error())
}

// readCounts adds up the counts of a window and returns the rows, and the parts of all
// windows. From latestDelay on it returns the sum of those rows that could be read.
func (r *Reporter) readCounts(ctx context.Context, window int64, now time.Duration) (map[string]uint64, []platform.RowID, map[int64][]string, error) {
	began, timeout := time.Now(), storeTimeout
	latest := endOf(window, r.Length) + latestDelay
	if left := latest - now; left > 0 {
		timeout = min(timeout, max(left, minReadTime))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	parts, err := r.parts(ctx, min(window, r.sweepFrom))
	if err != nil {
		return nil, nil, nil, err
	}
	counts, rows, err := r.sum(ctx, parts[window])
	if err != nil && len(rows) > 0 && now+time.Since(began) >= latest {
		r.Log.Info("usage window is decided without the counts that could not be read", "window", window, "rows", len(rows), "error", err.Error())
		err = nil
	}
	return counts, rows, parts, err
}

// decide adds up the counts of the next window and commits the sum to the state row, on
// the condition that it is at the known version. It returns false if this host must read
// the state again.
func (r *Reporter) decide(ctx context.Context, now time.Duration) bool {
	window := r.state.Next
	counts, rows, parts, err := r.readCounts(ctx, window, now)
	if err != nil {
		r.storeFailed("read of usage counts", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next := State{Next: window + 1, Decided: append(append([]Report{}, r.state.Decided...), Report{Window: window, Counts: counts})}
	value, err := json.Marshal(next)
	if err != nil {
		r.Log.Error(err, "usage state can't be encoded")
		return false
	}
	result, err := r.Rows.Commit(ctx, platform.RowTransaction{
		Checks: []platform.RowCheck{{RowID: stateRow(), Version: r.version}},
		Writes: []platform.RowWrite{{RowID: stateRow(), Value: value}},
	})
	if failure.IsKind(err, failure.Conflict) {
		r.loaded = false
		r.Log.Info("usage state was changed by another host", "window", window, "fence", r.fence)
		return false
	}
	if err != nil {
		r.storeFailed("commit of the usage state", err)
		return false
	}
	r.state, r.version = next, result.Version
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	r.Log.Info("usage window decided", "window", window, "teams", len(counts), "requests", total, "rows", len(rows),
		"after", now-endOf(window, r.Length), "fence", r.fence)
	for _, row := range rows {
		r.garbage[row.Part] = append(r.garbage[row.Part], row)
	}
	r.sweep(ctx, parts)
	return true
}

// sum adds up the counts in parts and returns the ids of the rows. With an error it returns
// those of the parts that could be read.
func (r *Reporter) sum(ctx context.Context, parts []string) (map[string]uint64, []platform.RowID, error) {
	counts := map[string]uint64{}
	rows, err := r.readParts(ctx, parts)
	ids := make([]platform.RowID, 0, len(rows))
	for _, row := range rows {
		ids = append(ids, row.RowID)
		var host map[string]uint64
		if err := json.Unmarshal(row.Value, &host); err != nil {
			r.Log.Info("usage counts can't be decoded", "part", row.Part, "key", row.Key)
			continue
		}
		for team, n := range host {
			counts[team] += n
		}
	}
	return counts, ids, err
}

// readParts reads all rows of parts, maxReads at once. With an error it returns those of the
// parts that could be read.
func (r *Reporter) readParts(ctx context.Context, parts []string) ([]platform.VersionedRow, error) {
	var mu sync.Mutex
	var rows []platform.VersionedRow
	var failed error
	forEach(parts, func(part string) {
		read, err := r.readPart(ctx, part)
		mu.Lock()
		defer mu.Unlock()
		rows = append(rows, read...)
		if err != nil {
			failed = err
		}
	})
	return rows, failed
}

// readPart reads all rows of a part.
func (r *Reporter) readPart(ctx context.Context, part string) ([]platform.VersionedRow, error) {
	var rows []platform.VersionedRow
	for from := ""; ; {
		page, err := r.readRows(ctx, platform.RowRange{Table: Table, Part: part, From: from})
		if err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// forEach calls do for all parts, maxReads at once.
func forEach(parts []string, do func(part string)) {
	slots := make(chan struct{}, maxReads)
	var wait sync.WaitGroup
	for _, part := range parts {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			do(part)
		})
	}
	wait.Wait()
}

// sweep marks rows of old windows as garbage. They are listed again by the next decision
// until no part is left, because a read or a deletion may fail.
func (r *Reporter) sweep(ctx context.Context, parts map[int64][]string) {
	limit := r.state.Next - sweepAge
	var old []string
	for window, names := range parts {
		if window < limit && len(old) < maxSweep {
			old = append(old, names...)
		}
	}
	if len(old) == 0 {
		r.sweepFrom = max(r.sweepFrom, limit)
		return
	}
	rows, err := r.readParts(ctx, old)
	if err != nil {
		r.Log.V(1).Info("old usage counts not read", "error", err.Error())
	}
	swept := map[string][]platform.RowID{}
	for _, row := range rows {
		swept[row.Part] = append(swept[row.Part], row.RowID)
	}
	// The rows of a part that was marked before and is not deleted yet are among them.
	maps.Copy(r.garbage, swept)
}

// deleteGarbage deletes the rows of some parts. What is left after a failure or a
// takeover is deleted by a later sweep.
func (r *Reporter) deleteGarbage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var parts []string
	for part := range r.garbage {
		if len(parts) == maxReads {
			break
		}
		parts = append(parts, part)
	}
	var mu sync.Mutex
	forEach(parts, func(part string) {
		mu.Lock()
		rows := r.garbage[part]
		mu.Unlock()
		for len(rows) > 0 {
			n := min(len(rows), platform.MaxTransactionRows)
			var tx platform.RowTransaction
			for _, row := range rows[:n] {
				tx.Writes = append(tx.Writes, platform.RowWrite{RowID: row, Delete: true})
			}
			if _, err := r.Rows.Commit(ctx, tx); err != nil {
				r.Log.V(1).Info("usage counts not deleted", "part", part, "error", err.Error())
				break
			}
			rows = rows[n:]
		}
		mu.Lock()
		defer mu.Unlock()
		delete(r.garbage, part)
	})
}

// send sends a report. The next decision records that it is accepted; until then a new
// holder would send it again, with the same counts.
func (r *Reporter) send(ctx context.Context, grant rowlease.Grant, report Report) {
	err := r.Sender.ReportUsage(ctx, grant, report.Window, report.Counts)
	failures := r.retries[report.Window].failures
	now, _ := r.Hosts.TrueTime(time.Now())
	after := now - endOf(report.Window, r.Length)
	if err == nil {
		delete(r.retries, report.Window)
		r.state.Decided = without(r.state.Decided, report.Window)
		r.Events.Event("usage_window_reported")
		if after > r.Late {
			r.Events.Event("usage_window_late")
		}
		r.Log.Info("usage window reported", "window", report.Window, "after", after, "late", after > r.Late, "failures", failures, "fence", grant.Fence)
		return
	}
	e := failure.As(err)
	wait := max(pause.Backoff(minSendRetry, maxSendRetry, failures+1), e.RetryAfter)
	r.retries[report.Window] = retry{failures: failures + 1, at: time.Now().Add(wait)}
	r.Log.Info("usage window not reported", "window", report.Window, "after", after, "failures", failures+1, "kind", e.Kind, "outcome", e.Outcome,
		"fence", grant.Fence, "error", e.Error())
	if e.Kind == failure.StaleFencingToken {
		r.Elector.Abandon(grant.Fence)
	}
}

// without returns the reports except that of a window.
func without(reports []Report, window int64) []Report {
	var rest []Report
	for _, report := range reports {
		if report.Window != window {
			rest = append(rest, report)
		}
	}
	return rest
}
