// Package platformtest provides an in-memory table and an in-memory row store for
// tests, with faults that tests inject.
package platformtest

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// Fault is a fault of one call.
type Fault int

// Faults of a call. Reads fail with StoreUnavailable under each except None.
const (
	// None lets the call succeed.
	None Fault = iota
	// Down fails the call with StoreUnavailable; it has no effect.
	Down
	// RequestLost fails a write with StoreInDoubt; it has no effect.
	RequestLost
	// ReplyLost fails a write with StoreInDoubt although it takes effect.
	ReplyLost
	// Late fails a write with StoreInDoubt. It takes effect at ApplyLateWrites, if its
	// checks pass then.
	Late
)

// Table is a platform.Table in memory.
type Table struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	// next holds the faults of the next calls, always that of the calls after them.
	next   []Fault
	always Fault
	late   []platform.Transaction
	// reads and writes count calls.
	reads  int
	writes int
}

var _ platform.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]platform.Row{}} }

// FailNext sets the faults of the next calls, in order.
func (t *Table) FailNext(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = append(t.next, faults...)
}

// FailAll sets the fault of all calls for which FailNext has set none.
func (t *Table) FailAll(fault Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.always = fault
}

// Client returns a client of the table that has its own faults.
func (t *Table) Client() *Client { return &Client{table: t} }

// ApplyLateWrites executes the writes that were delayed by Late and whose checks
// pass now.
func (t *Table) ApplyLateWrites() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tx := range t.late {
		_ = t.apply(tx)
	}
	t.late = nil
}

// Snapshot returns the content of the table.
func (t *Table) Snapshot() map[string]platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make(map[string]platform.Row, len(t.rows))
	for key, row := range t.rows {
		rows[key] = row
	}
	return rows
}

// Restore replaces the content of the table by that of a Snapshot.
func (t *Table) Restore(rows map[string]platform.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = make(map[string]platform.Row, len(rows))
	for key, row := range rows {
		t.rows[key] = row
	}
}

// Calls returns the number of calls of Read and Scan (reads) and of Transact (writes).
func (t *Table) Calls() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// Read implements platform.Table.
func (t *Table) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if err := t.readFault(ctx); err != nil {
		return nil, err
	}
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.rows[key]
		rows[i].Key = key
		rows[i].Value = slices.Clone(rows[i].Value)
	}
	return rows, nil
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if err := t.readFault(ctx); err != nil {
		return nil, err
	}
	var rows []platform.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// Transact implements platform.Table.
func (t *Table) Transact(ctx context.Context, tx platform.Transaction) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	if err := ctx.Err(); err != nil {
		return failure.Wrap(err, failure.StoreUnavailable, "", "the call was cancelled")
	}
	return t.transact(tx, t.fault())
}

// transact executes a transaction under a fault. The caller holds mu.
func (t *Table) transact(tx platform.Transaction, fault Fault) error {
	inDoubt := failure.New(failure.StoreInDoubt, "", "the reply was lost")
	switch fault {
	case Down:
		return failure.New(failure.StoreUnavailable, "", "the table is down")
	case RequestLost:
		return inDoubt
	case ReplyLost:
		_ = t.apply(tx)
		return inDoubt
	case Late:
		t.late = append(t.late, tx)
		return inDoubt
	default:
		return t.apply(tx)
	}
}

// readFault returns the error of a read call under the next fault. The caller
// holds mu.
func (t *Table) readFault(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return failure.Wrap(err, failure.StoreUnavailable, "", "the call was cancelled")
	}
	if t.fault() != None {
		return failure.New(failure.StoreUnavailable, "", "the table did not answer")
	}
	return nil
}

// fault consumes and returns the fault of the current call. The caller holds mu.
func (t *Table) fault() Fault {
	if len(t.next) == 0 {
		return t.always
	}
	fault := t.next[0]
	t.next = t.next[1:]
	return fault
}

// apply executes a transaction if its checks pass. The caller holds mu.
func (t *Table) apply(tx platform.Transaction) error {
	for _, check := range tx.Checks {
		if at := t.rows[check.Key].Version; at != check.Version {
			return failure.New(failure.Conflict, "", "row %s is at version %d", check.Key, at).WithField(check.Key)
		}
	}
	for _, write := range tx.Writes {
		if write.Delete {
			delete(t.rows, write.Key)
			continue
		}
		t.rows[write.Key] = platform.Row{Key: write.Key, Value: slices.Clone(write.Value), Version: t.rows[write.Key].Version + 1}
	}
	return nil
}
