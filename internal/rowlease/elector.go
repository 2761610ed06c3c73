package rowlease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// Table is the table of leases in the row store. Each lease is in its own part of
// the table.
const Table = "leases"

// Names of the leases. The name is the part and the key of the lease's row.
const (
	// Weights is the lease for ordering engines to load weights.
	Weights = "weights"
	// Usage is the lease for reporting usage to the control API.
	Usage = "usage"
	// Scaling is the lease for ordering replicas from the control API.
	Scaling = "scaling"
)

const (
	// renewInterval is the time between two renewals.
	renewInterval = 600 * time.Millisecond
	// leaseMargin is how long before the end of the lease term the holder stops
	// acting. It exceeds the timeout of a load order (500 ms, package swap), so an
	// order sent just before ends within the term.
	leaseMargin = 700 * time.Millisecond
	// takeoverMargin is added to the lease term before another host takes over.
	takeoverMargin = 200 * time.Millisecond
	// takeoverDelayPerRank is the extra wait of a host for each host that ranks before it.
	takeoverDelayPerRank = 250 * time.Millisecond
	// maxReadGap is the longest gap between two reads that may count towards the
	// wait before a takeover. After a longer gap, such as an outage of the store,
	// the wait starts again, which leaves the holder time to renew.
	maxReadGap = 2 * time.Second
)

// leaseRow is the value of the lease's row.
type leaseRow struct {
	// Holder is the id of the host that holds the lease, and Incarnation that of its process.
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Fence is the fencing token. It increases with each new holder.
	Fence uint64 `json:"fence"`
	// Seq increases with each renewal.
	Seq uint64 `json:"seq"`
}

// Ranker orders the hosts that compete for a lease.
type Ranker interface {
	// Rank returns the number of hosts that are preferred for key over host id.
	Rank(key, id string) int
}

// Grant is the permission to perform a duty for a limited time.
type Grant struct {
	// Host is the id of the host that holds the lease.
	Host string
	// Fence is the fencing token.
	Fence uint64
	// Until is when the permission ends.
	Until pause.Deadline
}

// ActingTime returns how long a renewal of a lease with a term allows its holder to
// act, counted from when the renewal is sent.
func ActingTime(term time.Duration) time.Duration { return term - leaseMargin }

// Elector competes for one named lease on behalf of one host. It implements
// follow.Sink for the rows of Table and ignores those of other leases. Unlike the
// elector of package lease, which polls a platform.Table and measures the wait before a
// takeover on this host's clock, it follows the row store and measures the wait on the
// store clock.
type Elector struct {
	name, host, incarnation string
	term                    time.Duration
	rows                    platform.RowStore
	ranker                  Ranker
	log                     logr.Logger

	mu sync.Mutex
	// row and version are the latest known content of the row. If it was deleted, version is
	// zero, row the last content, and absentAt the store's version without the row.
	row      leaseRow
	version  uint64
	absentAt uint64
	// changed is true if the row changed since the last call of Synced.
	changed bool
	// unchangedSince is the time on the store clock since which the row is known to be unchanged.
	unchangedSince time.Duration
	// storeClock is the store clock at the last call of Synced.
	storeClock time.Duration
	// caughtUp is true after the first call of Synced.
	caughtUp bool
	// held is true while this process is the holder, and until is when it must stop acting.
	held  bool
	until pause.Deadline
	// abandoned is the highest token under which this process must not act; zero if there
	// is none.
	abandoned uint64
	// resigned is true after Resign.
	resigned bool
	// yieldsUntil is the end of the time for which this host does not compete; see Yield.
	yieldsUntil pause.Deadline
}

// NewElector returns an Elector of the lease with a name, for one incarnation of a
// host. All hosts must use the same term.
func NewElector(name, host, incarnation string, term time.Duration, rows platform.RowStore, ranker Ranker, log logr.Logger) *Elector {
	return &Elector{name: name, host: host, incarnation: incarnation, term: term, rows: rows, ranker: ranker, log: log.WithValues("lease", name)}
}

// Term returns the term of the lease.
func (e *Elector) Term() time.Duration { return e.term }

// Changed implements follow.Sink.
func (e *Elector) Changed(row platform.VersionedRow) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if row.Part != e.name || row.Key != e.name || row.Deleted || row.Version <= max(e.version, e.absentAt) {
		return
	}
	var next leaseRow
	if err := json.Unmarshal(row.Value, &next); err != nil {
		e.log.Info("lease row cannot be decoded", "version", row.Version)
		return
	}
	e.observe(next, row.Version)
}

// observe records a newer row. The caller holds mu.
func (e *Elector) observe(row leaseRow, version uint64) {
	if e.held && (row.Holder != e.host || row.Incarnation != e.incarnation) {
		e.held = false
		e.log.Info("lease lost", "holder", row.Holder, "fence", row.Fence, "version", version)
	}
	e.row, e.version, e.changed = row, version, true
}

// Synced implements follow.Sink.
func (e *Elector) Synced(now time.Duration, _ time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed || !e.caughtUp || now-e.storeClock > maxReadGap {
		e.unchangedSince, e.changed = now, false
	}
	e.storeClock, e.caughtUp = now, true
}

// Held reports whether this host may act now, and returns the fencing token and
// the time until which it may. Call it immediately before each order, because
// the process may have been paused since the last call.
func (e *Elector) Held() (fence uint64, until pause.Deadline, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.row.Fence, e.until, e.isHolder() && !e.resigned && !e.until.Passed()
}

// Grant returns the permission of this host, if it may act now.
func (e *Elector) Grant() (Grant, bool) {
	fence, until, ok := e.Held()
	return Grant{Host: e.host, Fence: fence, Until: until}, ok
}

// Abandon ends acting under a fencing token, for example because the receiver of a
// call has seen a higher one. This host competes for the lease again, and acts only
// under a new token.
func (e *Elector) Abandon(fence uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held && e.row.Fence == fence {
		e.abandoned = fence
		e.log.Info("lease abandoned", "fence", fence)
	}
}

// Yield ends acting under a fencing token and does not compete for the lease for a time, so
// that a host takes over that can reach what the holder has to call.
func (e *Elector) Yield(fence uint64, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isHolder() && e.row.Fence == fence {
		e.abandoned, e.yieldsUntil = fence, pause.DeadlineAfter(d)
		e.log.Info("lease yielded", "fence", fence, "for", d)
	}
}

// yields reports whether this host does not compete after Yield. The caller holds mu.
func (e *Elector) yields() bool { return !e.yieldsUntil.IsZero() && !e.yieldsUntil.Passed() }

// isHolder reports whether this process holds the lease under a token that it has not
// abandoned. The caller holds mu.
func (e *Elector) isHolder() bool { return e.held && e.row.Fence > e.abandoned }

// Resign ends acting and renewing for good. The lease expires after its term.
func (e *Elector) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigned = true
}

// Run renews the lease or competes for it until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval / 2)
	defer ticker.Stop()
	var renewed time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		e.mu.Lock()
		held, resigned := e.isHolder(), e.resigned
		e.mu.Unlock()
		switch {
		case resigned:
		case held && time.Since(renewed) >= renewInterval:
			renewed = time.Now()
			e.renew(ctx)
		case !held && e.canTakeOver():
			e.takeOver(ctx)
		}
	}
}

// canTakeOver reports whether the lease is free: there was never a row, the row names this
// process (from a write whose reply was lost, or an abandoned token), or it has not
// changed for long enough on the store clock. That is a term plus takeoverMargin and this
// host's extra wait, also after the row was deleted, or less for a row of an earlier process
// of this host. The caller has checked that this process does not hold the lease.
func (e *Elector) canTakeOver() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.caughtUp || e.changed || e.yields() {
		return false
	}
	deleted := e.absentAt > 0 && e.version == 0
	if !deleted && (e.version == 0 || e.row.Holder == e.host && e.row.Incarnation == e.incarnation) {
		return true
	}
	wait := e.term + takeoverMargin + time.Duration(e.ranker.Rank(e.name, e.host))*takeoverDelayPerRank
	if !deleted && e.row.Holder == e.host {
		wait = e.restartWait()
	}
	return e.storeClock-e.unchangedSince >= wait
}

// restartWait returns how long the row of an earlier process of this host must be
// unchanged before this process takes the lease. The earlier process may still act for
// ActingTime, and the control API may get its calls after those of this process. Weights is
// taken at once, as in earlier deployments, so that a restart doesn't delay orders to load.
func (e *Elector) restartWait() time.Duration {
	if e.name == Weights {
		return 0
	}
	return ActingTime(e.term)
}

// renew extends the held lease.
func (e *Elector) renew(ctx context.Context) {
	e.mu.Lock()
	next, version := e.row, e.version
	e.mu.Unlock()
	next.Seq++
	e.write(ctx, next, version)
}

// takeOver tries to become the holder, with a new fencing token even if an
// earlier process of this host was the holder.
func (e *Elector) takeOver(ctx context.Context) {
	e.mu.Lock()
	next, version := leaseRow{Holder: e.host, Incarnation: e.incarnation, Fence: e.row.Fence + 1}, e.version
	e.mu.Unlock()
	if e.write(ctx, next, version) {
		e.log.Info("lease taken", "fence", next.Fence)
	}
}

// write replaces the row if it is still at version, and then makes this process the
// holder. It returns false if the write failed, or if a newer row was observed before
// the reply arrived. The term starts when the write is sent.
func (e *Elector) write(ctx context.Context, next leaseRow, version uint64) bool {
	value, err := json.Marshal(next)
	if err != nil {
		e.log.Error(err, "lease row cannot be encoded")
		return false
	}
	id := platform.RowID{Table: Table, Part: e.name, Key: e.name}
	until := pause.DeadlineAfter(e.term - leaseMargin)
	result, err := e.rows.Commit(ctx, platform.RowTransaction{
		Checks: []platform.RowCheck{{RowID: id, Version: version}},
		Writes: []platform.RowWrite{{RowID: id, Value: value}},
	})
	if err != nil {
		e.handleWriteError(ctx, err)
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if result.Version < e.version {
		return false
	}
	e.row, e.version, e.held, e.changed = next, result.Version, true, true
	e.until = until
	return true
}

// handleWriteError logs a failed write. After a conflict it reads the row again
// instead, because the known version is outdated; the newer row may even be from a
// write of this process whose reply was lost.
func (e *Elector) handleWriteError(ctx context.Context, err error) {
	if !failure.IsKind(err, failure.Conflict) {
		e.log.V(1).Info("lease write failed", "error", err.Error())
		return
	}
	page, err := e.rows.Read(ctx, platform.RowRange{Table: Table, Part: e.name, Limit: 1})
	if err != nil {
		e.log.Info("lease read failed", "error", err.Error())
		return
	}
	for _, row := range page.Rows {
		e.Changed(row)
	}
	if len(page.Rows) == 0 {
		e.rowDeleted(page.Version)
	}
}

// rowDeleted records that the row is gone as of a version of the store, for example because
// an operator deleted it. The token is kept, as the next one must be higher, and the lease is
// free after the same wait as after a last renewal: the row may have been another host's.
func (e *Elector) rowDeleted(version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version == 0 || version < e.version {
		return
	}
	e.version, e.absentAt, e.held, e.changed = 0, version, false, true
	e.log.Info("lease row is gone", "fence", e.row.Fence, "version", version)
}
