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

// LeaseTable is the table of leases, each in a part of its own.
const LeaseTable = "leases"

const (
	keyWeights = "weights"
	// renewInterval is the time between two renewals.
	renewInterval = 600 * time.Millisecond
	// holdMargin is how long before the end of its term a holder stops acting;
	// it covers an order that was sent just before.
	holdMargin = 700 * time.Millisecond
	// takeMargin is how much longer than the term a waiting host sees the row stand still.
	takeMargin = 200 * time.Millisecond
	// takeStep is how much longer each next host waits.
	takeStep = 250 * time.Millisecond
	// longestLook is the longest time between two looks at the row within which
	// a row that stood still says something.
	longestLook = 2 * time.Second
)

type leaseRow struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Fence is the fencing token; it grows with each new holder.
	Fence uint64 `json:"fence"`
	// Seq grows with each renewal.
	Seq uint64 `json:"seq"`
}

// Ranker tells in which order hosts take up a piece of work.
type Ranker interface {
	Rank(key, id string) int
}

// Lease is one host's part in the competition for the lease. It is a sink of the follower of Table.
type Lease struct {
	host, incarnation string
	term              time.Duration
	rows              platform.RowStore
	ranker            Ranker
	log               logr.Logger

	mu sync.Mutex
	// row and version are the newest known, seen is the store's clock when it was first seen.
	row     leaseRow
	version uint64
	fresh   bool
	seen    time.Duration
	clock   time.Duration
	listed  bool
	held    bool
	until   time.Time
	leaving bool
}

// NewLease returns a lease with a term, for one incarnation of a host.
func NewLease(host, incarnation string, term time.Duration, rows platform.RowStore, ranker Ranker, log logr.Logger) *Lease {
	return &Lease{host: host, incarnation: incarnation, term: term, rows: rows, ranker: ranker, log: log}
}

// Changed implements follow.Sink.
func (l *Lease) Changed(row platform.VersionedRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if row.Key != keyWeights || row.Deleted || row.Version <= l.version {
		return
	}
	var next leaseRow
	if err := json.Unmarshal(row.Value, &next); err != nil {
		l.log.Info("lease row can't be read", "version", row.Version)
		return
	}
	l.observe(next, row.Version)
}

// observe takes a newer row. The caller holds mu.
func (l *Lease) observe(row leaseRow, version uint64) {
	if l.held && (row.Holder != l.host || row.Incarnation != l.incarnation) {
		l.held = false
		l.log.Info("lease lost", "holder", row.Holder, "fence", row.Fence, "version", version)
	}
	l.row, l.version, l.fresh = row, version, true
}

// Synced implements follow.Sink.
func (l *Lease) Synced(now time.Duration, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fresh || !l.listed || now-l.clock > longestLook {
		l.seen, l.fresh = now, false
	}
	l.clock, l.listed = now, true
}

// Held returns the fencing token and true while this host may act, until the
// returned time. It reads the clocks anew: a process that was paused finds out here.
func (l *Lease) Held() (fence uint64, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Fence, l.until, l.held && !l.leaving && !pause.Passed(l.until, time.Now())
}

// Resign stops acting for good.
func (l *Lease) Resign() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// Run renews or competes until ctx ends.
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
		held, leaving := l.held, l.leaving
		l.mu.Unlock()
		switch {
		case leaving:
		case held && time.Since(renewed) >= renewInterval:
			renewed = time.Now()
			l.renew(ctx)
		case !held && l.free():
			l.take(ctx)
		}
	}
}

// free reports whether the row has stood still for a term, on the store's clock.
func (l *Lease) free() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.listed || l.fresh {
		return false
	}
	if l.version == 0 || l.row.Holder == l.host {
		return true
	}
	wait := l.term + takeMargin + time.Duration(l.ranker.Rank(keyWeights, l.host))*takeStep
	return l.clock-l.seen >= wait
}

func (l *Lease) renew(ctx context.Context) {
	l.mu.Lock()
	next, version := l.row, l.version
	l.mu.Unlock()
	next.Seq++
	l.write(ctx, next, version)
}

// take tries to become the holder. A holder that restarted gets a new token, too.
func (l *Lease) take(ctx context.Context) {
	l.mu.Lock()
	next, version := leaseRow{Holder: l.host, Incarnation: l.incarnation, Fence: l.row.Fence + 1}, l.version
	l.mu.Unlock()
	if l.write(ctx, next, version) {
		l.log.Info("lease taken", "fence", next.Fence)
	}
}

// write replaces the row at a version; the term counts from before the write.
func (l *Lease) write(ctx context.Context, next leaseRow, version uint64) bool {
	value, err := json.Marshal(next)
	if err != nil {
		l.log.Error(err, "lease row can't be encoded")
		return false
	}
	id := platform.RowID{Table: LeaseTable, Part: keyWeights, Key: keyWeights}
	sent := time.Now()
	receipt, err := l.rows.Commit(ctx, platform.RowTransaction{
		Checks: []platform.RowCheck{{RowID: id, Version: version}},
		Writes: []platform.RowWrite{{RowID: id, Value: value}},
	})
	if err != nil {
		l.failed(ctx, err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if receipt.Version < l.version {
		return false
	}
	l.row, l.version, l.held, l.fresh = next, receipt.Version, true, true
	l.until = sent.Add(l.term - holdMargin)
	return true
}

// failed takes in that a write failed; a refused one shows that the row is
// another than the one known, perhaps an own one whose answer was lost.
func (l *Lease) failed(ctx context.Context, err error) {
	if !failure.IsKind(err, failure.Conflict) {
		l.log.V(1).Info("lease not written", "error", err.Error())
		return
	}
	page, err := l.rows.Read(ctx, platform.RowRange{Table: LeaseTable, Part: keyWeights, Limit: 1})
	if err != nil {
		l.log.Info("lease can't be read", "error", err.Error())
		return
	}
	for _, row := range page.Rows {
		l.Changed(row)
	}
}
