package platformtest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// maxPageRows is the maximum number of rows in one page.
const maxPageRows = 500

// Rows is a row store in memory. Each host uses its own RowsClient, which has
// its own faults.
type Rows struct {
	mu        sync.Mutex
	startedAt time.Time
	rows      map[platform.RowID]platform.VersionedRow
	changes   []platform.VersionedRow
	// droppedUpTo is the version up to which changes have been dropped.
	droppedUpTo uint64
	version     uint64
	changed     chan struct{}
	commits     int
	// writeTime is the duration of a transaction. Those of one part run sequentially.
	writeTime time.Duration
	busyUntil map[string]time.Time
	// readsPerSecond limits the read calls of all clients together; zero means no limit.
	readsPerSecond int
	// currentTenth is the start of the current tenth of a second, reads the number of
	// read calls in it.
	currentTenth time.Duration
	reads        int
}

// readTime is the duration of a read call while read calls are limited.
const readTime = 4 * time.Millisecond

// SetReadsPerSecond limits the read calls of all clients together; zero means no
// limit. In each tenth of a second, calls beyond n/10 are refused.
func (r *Rows) SetReadsPerSecond(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readsPerSecond = n
}

// allowRead counts a read call and returns false if it is beyond the limit.
func (r *Rows) allowRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readsPerSecond == 0 {
		return true
	}
	if tenth := r.now().Truncate(100 * time.Millisecond); tenth != r.currentTenth {
		r.currentTenth, r.reads = tenth, 0
	}
	r.reads++
	return r.reads <= r.readsPerSecond/10
}

// delayRead waits for readTime if read calls are limited.
func (r *Rows) delayRead() {
	r.mu.Lock()
	bounded := r.readsPerSecond > 0
	r.mu.Unlock()
	if bounded {
		time.Sleep(readTime)
	}
}

// NewRows returns an empty row store.
func NewRows() *Rows {
	return &Rows{startedAt: time.Now(), rows: map[platform.RowID]platform.VersionedRow{}, changed: make(chan struct{}), busyUntil: map[string]time.Time{}}
}

// SetWriteTime makes each transaction take d. Those of one part run sequentially.
func (r *Rows) SetWriteTime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeTime = d
}

// reserveWrite queues a transaction of a part and returns the time when it is done.
func (r *Rows) reserveWrite(part string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.busyUntil[part].Before(now) {
		r.busyUntil[part] = now
	}
	r.busyUntil[part] = r.busyUntil[part].Add(r.writeTime)
	return r.busyUntil[part]
}

// DropHistory drops all recorded changes: Changes after an older version returns
// HistoryLost.
func (r *Rows) DropHistory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes, r.droppedUpTo = nil, r.version
}

// Commits returns the number of transactions that took effect.
func (r *Rows) Commits() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.commits
}

// Count returns the number of rows of a part in all tables.
func (r *Rows) Count(part string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id := range r.rows {
		if id.Part == part {
			n++
		}
	}
	return n
}

// Row returns the current state of a row; version zero if it does not exist.
func (r *Rows) Row(id platform.RowID) platform.VersionedRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[id]
}

// Put writes a row as an operator or replica does.
func (r *Rows) Put(id platform.RowID, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A transaction without checks can't fail.
	_, _ = r.apply(platform.RowTransaction{Writes: []platform.RowWrite{{RowID: id, Value: value}}})
}

// Delete removes a row as an operator or replica does.
func (r *Rows) Delete(id platform.RowID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.apply(platform.RowTransaction{Writes: []platform.RowWrite{{RowID: id, Delete: true}}})
}

// Client returns a new client without faults.
func (r *Rows) Client() *RowsClient { return &RowsClient{rows: r} }

// now returns the store clock. It starts at one hour, so that it is never zero.
func (r *Rows) now() time.Duration { return time.Hour + time.Since(r.startedAt) }

// apply executes a transaction if its checks pass. The caller holds mu.
func (r *Rows) apply(tx platform.RowTransaction) (platform.CommitResult, error) {
	for _, check := range tx.Checks {
		if r.rows[check.RowID].Version != check.Version {
			return platform.CommitResult{}, failure.New(failure.Conflict, "", "row %s is at version %d", check.Key, r.rows[check.RowID].Version)
		}
	}
	r.version++
	r.commits++
	for _, write := range tx.Writes {
		row := platform.VersionedRow{RowID: write.RowID, Value: slices.Clone(write.Value), Version: r.version, Deleted: write.Delete}
		if write.Delete {
			delete(r.rows, write.RowID)
		} else {
			r.rows[write.RowID] = row
		}
		r.changes = append(r.changes, row)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return platform.CommitResult{Version: r.version, Now: r.now()}, nil
}

// RowsClient is one host's client of Rows, with faults of its own. It implements
// platform.RowStore.
type RowsClient struct {
	rows *Rows

	mu sync.Mutex
	// down makes all calls fail without an effect.
	down bool
	// lostAnswers is the number of transactions to come whose answers are lost.
	lostAnswers int
	// delayedWrites is the number of transactions to come whose answers are lost and
	// that are executed after writeDelay. If delayedTable is not empty, only those that
	// write to it count.
	delayedWrites int
	delayedTable  string
	writeDelay    time.Duration
	// slow holds the delays of the transactions that write to a table.
	slow map[string]slowness
	// slowInFlight is the number of them in flight, and maxSlowInFlight the most so far.
	slowInFlight, maxSlowInFlight int
	// pending counts the delayed transactions.
	pending      sync.WaitGroup
	changesCalls int
	reads        int
}

// Reads returns the number of calls of Read and Parts.
func (c *RowsClient) Reads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads
}

// ChangesCalls returns the number of calls of Changes.
func (c *RowsClient) ChangesCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changesCalls
}

// SetDown makes all calls fail without an effect, or ends that.
func (c *RowsClient) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// LoseAnswers makes the next n transactions fail with StoreInDoubt although they
// are executed.
func (c *RowsClient) LoseAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAnswers = n
}

// DelayWrites makes the next n transactions fail with StoreInDoubt and executes
// them after a delay, if their checks pass then.
func (c *RowsClient) DelayWrites(n int, after time.Duration) { c.DelayWritesTo("", n, after) }

// DelayWritesTo is like DelayWrites, for the next n transactions that write to a table.
func (c *RowsClient) DelayWritesTo(table string, n int, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayedTable, c.delayedWrites, c.writeDelay = table, n, after
}

// takeDelay reports whether a transaction is one of those that DelayWrites delays, and for
// how long. The caller holds mu.
func (c *RowsClient) takeDelay(tx platform.RowTransaction) (time.Duration, bool) {
	writesToTable := func(w platform.RowWrite) bool { return w.Table == c.delayedTable }
	if c.delayedWrites == 0 || c.delayedTable != "" && !slices.ContainsFunc(tx.Writes, writesToTable) {
		return 0, false
	}
	c.delayedWrites--
	return c.writeDelay, true
}

// slowness is how long transactions take until they are executed, and their answers from
// then on.
type slowness struct{ before, after time.Duration }

// SlowWrites delays the execution of all transactions that write to a table, and their
// answers once they are executed.
func (c *RowsClient) SlowWrites(table string, before, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = map[string]slowness{table: {before, after}}
}

// MaxSlowWrites returns the largest number of transactions delayed by SlowWrites that were
// in flight at once.
func (c *RowsClient) MaxSlowWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxSlowInFlight
}

// countSlow adds to the number of delayed transactions in flight.
func (c *RowsClient) countSlow(by int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowInFlight += by
	c.maxSlowInFlight = max(c.maxSlowInFlight, c.slowInFlight)
}

// WaitForDelayedWrites waits until all delayed transactions have been executed.
func (c *RowsClient) WaitForDelayedWrites() { c.pending.Wait() }

// check returns the error of a call while the store is down or its context has
// ended.
func (c *RowsClient) check(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down || ctx.Err() != nil {
		return failure.New(failure.StoreUnavailable, "", "the store can't be reached")
	}
	return nil
}

// checkRead is like check, for a read call.
func (c *RowsClient) checkRead(ctx context.Context) error {
	if err := c.check(ctx); err != nil {
		return err
	}
	c.rows.delayRead()
	if !c.rows.allowRead() {
		return failure.New(failure.StoreUnavailable, "", "the store answered 429")
	}
	return nil
}

// Read implements platform.RowStore.
func (c *RowsClient) Read(ctx context.Context, q platform.RowRange) (platform.RowPage, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	if err := c.checkRead(ctx); err != nil {
		return platform.RowPage{}, err
	}
	r := c.rows
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := q.Limit
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	page := platform.RowPage{Version: r.version, Now: r.now()}
	for id, row := range r.rows {
		if id.Table == q.Table && id.Part == q.Part && id.Key >= q.From && (q.To == "" || id.Key < q.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b platform.VersionedRow) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > limit {
		page.Rows, page.More = page.Rows[:limit], true
	}
	return page, nil
}

// Parts implements platform.RowStore.
func (c *RowsClient) Parts(ctx context.Context, table, after string) (platform.PartPage, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	if err := c.checkRead(ctx); err != nil {
		return platform.PartPage{}, err
	}
	r := c.rows
	r.mu.Lock()
	defer r.mu.Unlock()
	page := platform.PartPage{Version: r.version, Now: r.now()}
	for id := range r.rows {
		if id.Table == table && id.Part > after && !slices.Contains(page.Parts, id.Part) {
			page.Parts = append(page.Parts, id.Part)
		}
	}
	slices.Sort(page.Parts)
	return page, nil
}

// Changes implements platform.RowStore.
func (c *RowsClient) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.RowPage, error) {
	c.mu.Lock()
	c.changesCalls++
	c.mu.Unlock()
	if err := c.checkRead(ctx); err != nil {
		return platform.RowPage{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := c.check(ctx); err != nil {
			return platform.RowPage{}, err
		}
		page, changed, err := c.rows.changesSince(table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			// check returns the error in the next iteration.
		}
	}
}

// changesSince returns the changes of a table after a version, and a channel that
// is closed at the next change of any table.
func (r *Rows) changesSince(table string, after uint64) (platform.RowPage, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.droppedUpTo {
		return platform.RowPage{}, nil, failure.New(failure.HistoryLost, "", "changes up to version %d are no longer known", r.droppedUpTo)
	}
	page := platform.RowPage{Version: r.version, Now: r.now()}
	for _, row := range r.changes {
		if row.Table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, r.changed, nil
}

// Commit implements platform.RowStore.
func (c *RowsClient) Commit(ctx context.Context, tx platform.RowTransaction) (platform.CommitResult, error) {
	if err := c.check(ctx); err != nil {
		return platform.CommitResult{}, err
	}
	c.mu.Lock()
	lose := c.lostAnswers > 0
	c.lostAnswers = max(0, c.lostAnswers-1)
	after, late := c.takeDelay(tx)
	var slow slowness
	for _, write := range tx.Writes {
		if s, ok := c.slow[write.Table]; ok {
			slow = s
		}
	}
	c.mu.Unlock()
	if late {
		c.pending.Go(func() {
			time.Sleep(after)
			c.rows.mu.Lock()
			defer c.rows.mu.Unlock()
			// A failed check is a possible outcome of a late write.
			_, _ = c.rows.apply(tx)
		})
		return platform.CommitResult{}, failure.New(failure.StoreInDoubt, "", "the store did not answer")
	}
	if len(tx.Writes) > 0 {
		// All rows of a transaction are in one part.
		time.Sleep(time.Until(c.rows.reserveWrite(tx.Writes[0].Part)))
	}
	if slow != (slowness{}) {
		c.countSlow(1)
		defer c.countSlow(-1)
	}
	time.Sleep(slow.before)
	c.rows.mu.Lock()
	result, err := c.rows.apply(tx)
	c.rows.mu.Unlock()
	time.Sleep(slow.after)
	if lose || ctx.Err() != nil {
		return platform.CommitResult{}, failure.New(failure.StoreInDoubt, "", "the store did not answer")
	}
	return result, err
}
