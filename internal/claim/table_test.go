package claim

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// fault is what happens to one call of the fake table.
type fault int

const (
	noFault fault = iota
	// down: the call fails without effect, and the caller knows it.
	down
	// replyLost: the call takes effect, but the outcome is unknown to the caller.
	replyLost
	// noEffect: the call has no effect, and the outcome is unknown to the caller.
	noEffect
	// late: the call may take effect later, and the outcome is unknown to the caller.
	late
)

// fakeTable is a linearizable table in memory.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	// faults and reads hold the faults of the next writes and reads.
	faults []fault
	reads  []fault
	// delayed holds the writes that were late.
	delayed []platform.Transaction
	// writes counts the transactions.
	writes int
}

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]platform.Row)} }

// next removes and returns the first of faults, or noFault.
func next(faults *[]fault) fault {
	if len(*faults) == 0 {
		return noFault
	}
	f := (*faults)[0]
	*faults = (*faults)[1:]
	return f
}

func (f *fakeTable) Read(_ context.Context, keys ...string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next(&f.reads) != noFault {
		return nil, failure.New(failure.StoreUnavailable, "", "down")
	}
	var rows []platform.Row
	for _, k := range keys {
		row := f.rows[k]
		row.Key = k
		rows = append(rows, row)
	}
	return rows, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []platform.Row
	for k, r := range f.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(len(rows), limit)], nil
}

func (f *fakeTable) Transact(_ context.Context, tx platform.Transaction) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	doubt := failure.New(failure.StoreInDoubt, "", "reply lost")
	switch next(&f.faults) {
	case down:
		return failure.New(failure.StoreUnavailable, "", "down")
	case noEffect:
		return doubt
	case late:
		f.delayed = append(f.delayed, tx)
		return doubt
	case replyLost:
		_ = f.apply(tx)
		return doubt
	}
	return f.apply(tx)
}

// apply applies a transaction. A row that is deleted and written again starts at
// version 1. The caller holds mu.
func (f *fakeTable) apply(tx platform.Transaction) error {
	for _, c := range tx.Checks {
		if f.rows[c.Key].Version != c.Version {
			return failure.New(failure.Conflict, "", "row %s", c.Key)
		}
	}
	for _, w := range tx.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: f.rows[w.Key].Version + 1}
	}
	return nil
}

// applyDelayed applies the delayed transaction at index i.
func (f *fakeTable) applyDelayed(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tx := f.delayed[i]
	f.delayed = slices.Delete(f.delayed, i, i+1)
	_ = f.apply(tx)
}
