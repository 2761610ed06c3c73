package platform

import (
	"slices"
	"strings"
	"sync"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// table is the transactional table. All rows take their versions from one
// counter: a row that is deleted and created again has a higher version than before.
type table struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	keys []string // sorted
	// version is the version of the latest row that was put; a delete does not raise it.
	version uint64
}

func newTable() *table { return &table{rows: map[string]platform.Row{}} }

// read returns one row per key. A row that does not exist has version zero.
func (t *table) read(keys []string) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		row, ok := t.rows[key]
		if !ok {
			row = platform.Row{Key: key}
		}
		rows[i] = row
	}
	return rows
}

// scan returns at most limit rows whose keys have a prefix and are greater than after, in order of key.
func (t *table) scan(prefix, after string, limit int) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	start, _ := slices.BinarySearch(t.keys, max(prefix, after))
	var rows []platform.Row
	for _, key := range t.keys[start:] {
		if len(rows) >= limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, t.rows[key])
		}
	}
	return rows
}

// transact applies tx and returns nil, or returns the first check that failed.
func (t *table) transact(tx platform.Transaction) (conflict *platform.ConflictResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, check := range tx.Checks {
		if version := t.rows[check.Key].Version; version != check.Version {
			return &platform.ConflictResponse{Key: check.Key, Version: version}
		}
	}
	for _, write := range tx.Writes {
		t.apply(write)
	}
	return nil
}

// apply applies one write; t.mu is held.
func (t *table) apply(write platform.Write) {
	i, exists := slices.BinarySearch(t.keys, write.Key)
	if write.Delete {
		delete(t.rows, write.Key)
		if exists {
			t.keys = slices.Delete(t.keys, i, i+1)
		}
		return
	}
	t.version++
	t.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Version: t.version}
	if !exists {
		t.keys = slices.Insert(t.keys, i, write.Key)
	}
}
