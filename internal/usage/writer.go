package usage

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// writeInterval is the time between two writes of changed counts. A host that is
	// killed loses the requests that it counted in that time.
	writeInterval = 500 * time.Millisecond
	// writeTimeout bounds the write of one row, and all writes at the stop of a host.
	writeTimeout = 1200 * time.Millisecond
	// lastWriteInterval is the time between the tries of the last write at the stop of a host.
	lastWriteInterval = 100 * time.Millisecond
	// maxWrites bounds the writes in flight. Usually one or two windows have changed.
	maxWrites = 4
	// maxRowKeyBytes is the row store's limit of a key.
	maxRowKeyBytes = 200
)

// Intervals tells by how much intervals grow with the number of hosts; see roster.Roster.
type Intervals interface {
	IntervalFactor() float64
	IntervalFactorAbove(hosts int) float64
}

// Writer writes the counts of a Counter to the row store.
type Writer struct {
	counter   *Counter
	host, key string
	rows      platform.RowStore
	intervals Intervals
	log       logr.Logger
	failing   bool
}

// NewWriter returns the writer of an incarnation of a host.
func NewWriter(counter *Counter, host, incarnation string, rows platform.RowStore, intervals Intervals, log logr.Logger) *Writer {
	key := host + "." + incarnation
	if len(key) > maxRowKeyBytes {
		key = incarnation
	}
	return &Writer{counter: counter, host: host, key: key, rows: rows, intervals: intervals, log: log}
}

// Run writes changed counts until ctx ends, and then until nothing is left to write or
// writeTimeout has passed.
func (w *Writer) Run(ctx context.Context) error {
	// Hosts that start together write at different times.
	for pause.For(ctx, rand.N(writeInterval)); ; {
		w.write(ctx)
		if !pause.For(ctx, time.Duration(float64(writeInterval)*w.intervals.IntervalFactor())) {
			break
		}
	}
	last, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	for !w.write(last) && pause.For(last, lastWriteInterval) {
	}
	return nil
}

// part returns this host's part of a window.
func (w *Writer) part(window int64) string {
	parts := uint64(math.Ceil(w.intervals.IntervalFactorAbove(hostsPerPart)))
	return partOf(window, xxhash.Sum64String(w.host)%parts)
}

// write writes all changed counts. It returns false if some are not known to be written.
func (w *Writer) write(ctx context.Context) bool {
	rows := w.counter.pending(w.part)
	slots := make(chan struct{}, maxWrites)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for _, row := range rows {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if err := w.writeRow(ctx, row); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = err
			}
		})
	}
	wait.Wait()
	if failing := failed != nil; len(rows) > 0 && failing != w.failing {
		w.failing = failing
		if failing {
			w.log.Info("usage counts not written, they are kept", "error", failed.Error())
		} else {
			w.log.Info("usage counts are written again")
		}
	}
	return failed == nil
}

// writeRow writes one row, on the condition that its version is the known one: a write
// that is executed late would otherwise replace a higher count.
func (w *Writer) writeRow(ctx context.Context, row pendingRow) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	id := platform.RowID{Table: Table, Part: row.part, Key: w.key}
	if row.inDoubt {
		version, err := w.readVersion(ctx, id)
		if err != nil {
			w.counter.failed(row.window, true)
			return err
		}
		if version == 0 && row.version > 0 {
			w.counter.close(row.window)
			return nil
		}
		row.version = version
	}
	value, err := json.Marshal(row.counts)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "usage counts can't be encoded")
	}
	result, err := w.rows.Commit(ctx, platform.RowTransaction{
		Checks: []platform.RowCheck{{RowID: id, Version: row.version}},
		Writes: []platform.RowWrite{{RowID: id, Value: value}},
	})
	switch {
	case err == nil:
		w.counter.saved(row.window, result.Version)
		return nil
	case failure.IsKind(err, failure.StoreUnavailable):
		w.counter.failed(row.window, row.inDoubt)
	default:
		w.counter.failed(row.window, true)
	}
	return err
}

// readVersion returns the version of a row; zero if it does not exist.
func (w *Writer) readVersion(ctx context.Context, id platform.RowID) (uint64, error) {
	page, err := w.rows.Read(ctx, platform.RowRange{Table: id.Table, Part: id.Part, From: id.Key, To: id.Key + "\x00", Limit: 1})
	if err != nil || len(page.Rows) == 0 {
		return 0, err
	}
	return page.Rows[0].Version, nil
}
