package swap

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

// LeaseTable is the table of leases in the row service. Each lease is in its own
// part of the table.
const LeaseTable = "leases"

const (
	// weightsLeaseKey is the part and the key of the lease's row.
	weightsLeaseKey = "weights"
	// renewInterval is the time between two renewals.
	renewInterval = 600 * time.Millisecond
	// leaseMargin is how long before the end of the lease term the holder stops
	// acting. It covers an order that was sent just before.
	leaseMargin = 700 * time.Millisecond
	// takeoverMargin is added to the lease term before another host takes over.
	takeoverMargin = 200 * time.Millisecond
	// takeoverDelayPerRank is the extra wait of a host for each host that ranks before it.
	takeoverDelayPerRank = 250 * time.Millisecond
	// maxReadGap is the longest time between two reads after which an unchanged
	// row still counts as not renewed in between.
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

// Lease competes for the lease on behalf of one host. It implements follow.Sink
// for the rows of LeaseTable.
type Lease struct {
	host, incarnation string
	term              time.Duration
	rows              platform.RowStore
	ranker            Ranker
	log               logr.Logger

	mu sync.Mutex
	// row and version are the latest known content of the row.
	row     leaseRow
	version uint64
	// changed is true if the row changed since the last call of Synced.
	changed bool
	// unchangedSince is the service's clock since when the row is known to be unchanged.
	unchangedSince time.Duration
	// storeClock is the service's clock at the last call of Synced.
	storeClock time.Duration
	// caughtUp is true after the first call of Synced.
	caughtUp bool
	// held is true while this process is the holder, and until is when it must stop acting.
	held  bool
	until time.Time
	// resigned is true after Resign.
	resigned bool
}

// NewLease returns a Lease for one incarnation of a host. All hosts must use the
// same term.
func NewLease(host, incarnation string, term time.Duration, rows platform.RowStore, ranker Ranker, log logr.Logger) *Lease {
	return &Lease{host: host, incarnation: incarnation, term: term, rows: rows, ranker: ranker, log: log}
}

// Changed implements follow.Sink.
func (l *Lease) Changed(row platform.VersionedRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if row.Key != weightsLeaseKey || row.Deleted || row.Version <= l.version {
		return
	}
	var next leaseRow
	if err := json.Unmarshal(row.Value, &next); err != nil {
		l.log.Info("lease row cannot be decoded", "version", row.Version)
		return
	}
	l.observe(next, row.Version)
}

// observe records a newer row. The caller holds mu.
func (l *Lease) observe(row leaseRow, version uint64) {
	if l.held && (row.Holder != l.host || row.Incarnation != l.incarnation) {
		l.held = false
		l.log.Info("lease lost", "holder", row.Holder, "fence", row.Fence, "version", version)
	}
	l.row, l.version, l.changed = row, version, true
}

// Synced implements follow.Sink.
func (l *Lease) Synced(now time.Duration, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed || !l.caughtUp || now-l.storeClock > maxReadGap {
		l.unchangedSince, l.changed = now, false
	}
	l.storeClock, l.caughtUp = now, true
}

// Held reports whether this host may act now, and returns the fencing token and
// the time until which it may. Call it immediately before each order, because
// the process may have been paused since the last call.
func (l *Lease) Held() (fence uint64, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Fence, l.until, l.held && !l.resigned && !pause.Passed(l.until, time.Now())
}

// Resign ends acting and renewing for good. The lease expires after its term.
func (l *Lease) Resign() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resigned = true
}

// Run renews the lease or competes for it until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval / 2)
	defer ticker.Stop()
	var renewed time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		l.mu.Lock()
		held, resigned := l.held, l.resigned
		l.mu.Unlock()
		switch {
		case resigned:
		case held && time.Since(renewed) >= renewInterval:
			renewed = time.Now()
			l.renew(ctx)
		case !held && l.canTakeOver():
			l.takeOver(ctx)
		}
	}
}

// canTakeOver reports whether the lease is free: there is no row, the row is of
// an earlier process of this host, or it has not changed for a term plus this
// host's extra wait, on the service's clock.
func (l *Lease) canTakeOver() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.caughtUp || l.changed {
		return false
	}
	if l.version == 0 || l.row.Holder == l.host {
		return true
	}
	wait := l.term + takeoverMargin + time.Duration(l.ranker.Rank(weightsLeaseKey, l.host))*takeoverDelayPerRank
	return l.storeClock-l.unchangedSince >= wait
}

// renew extends the held lease.
func (l *Lease) renew(ctx context.Context) {
	l.mu.Lock()
	next, version := l.row, l.version
	l.mu.Unlock()
	next.Seq++
	l.write(ctx, next, version)
}

// takeOver tries to become the holder, with a new fencing token even if an
// earlier process of this host was the holder.
func (l *Lease) takeOver(ctx context.Context) {
	l.mu.Lock()
	next, version := leaseRow{Holder: l.host, Incarnation: l.incarnation, Fence: l.row.Fence + 1}, l.version
	l.mu.Unlock()
	if l.write(ctx, next, version) {
		l.log.Info("lease taken", "fence", next.Fence)
	}
}

// write replaces the row if it is still at version. The term starts when the
// write is sent.
func (l *Lease) write(ctx context.Context, next leaseRow, version uint64) bool {
	value, err := json.Marshal(next)
	if err != nil {
		l.log.Error(err, "lease row cannot be encoded")
		return false
	}
	id := platform.RowID{Table: LeaseTable, Part: weightsLeaseKey, Key: weightsLeaseKey}
	sent := time.Now()
	receipt, err := l.rows.Commit(ctx, platform.RowTransaction{
		Checks: []platform.RowCheck{{RowID: id, Version: version}},
		Writes: []platform.RowWrite{{RowID: id, Value: value}},
	})
	if err != nil {
		l.handleWriteError(ctx, err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if receipt.Version < l.version {
		return false
	}
	l.row, l.version, l.held, l.changed = next, receipt.Version, true, true
	l.until = sent.Add(l.term - leaseMargin)
	return true
}

// handleWriteError reads the row again after a conflict: its latest content is
// not the one known, and may be from a write of this process whose reply was lost.
func (l *Lease) handleWriteError(ctx context.Context, err error) {
	if !failure.IsKind(err, failure.Conflict) {
		l.log.V(1).Info("lease write failed", "error", err.Error())
		return
	}
	page, err := l.rows.Read(ctx, platform.RowRange{Table: LeaseTable, Part: weightsLeaseKey, Limit: 1})
	if err != nil {
		l.log.Info("lease read failed", "error", err.Error())
		return
	}
	for _, row := range page.Rows {
		l.Changed(row)
	}
}
