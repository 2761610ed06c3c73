package follow

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// retryPause is the wait after a failed call. It leaves the store room and
	// finds its return within the second that hosts have to come back.
	retryPause = 150 * time.Millisecond
	// partReaders bounds the parts that are read at once while a table is listed.
	partReaders = 4
)

// Config says how a table is followed.
type Config struct {
	Table string
	// Parted lists the rows of all parts; otherwise only those of the empty part.
	Parted bool
	// Wait is how long one question for changes may be kept waiting. It is short
	// because a connection that went silent looks like a table without changes.
	Wait time.Duration
	// Interval is the least time between two questions; zero asks again at once.
	// It bounds the calls where a table changes often.
	Interval time.Duration
	// Stretch multiplies Interval before each question; nil does not.
	Stretch func() float64
}

// Sink receives rows. Calls come from one goroutine.
type Sink interface {
	// Changed receives a row that is new, was written, or was deleted.
	Changed(row platform.VersionedRow)
	// Caught receives the service's clock each time the copy is up to date, with
	// the time on this host's clock when the question was sent.
	Caught(now time.Duration, asked time.Time)
}

// Follower follows one table.
type Follower struct {
	config Config
	rows   platform.Rows
	sink   Sink
	log    logr.Logger

	known  map[platform.RowID]uint64
	after  uint64
	listed bool

	mu      sync.Mutex
	contact time.Time
}

// New returns a follower that passes what it learns to sink.
func New(config Config, rows platform.Rows, sink Sink, log logr.Logger) *Follower {
	return &Follower{config: config, rows: rows, sink: sink, log: log.WithValues("table", config.Table), known: map[platform.RowID]uint64{}}
}

// Contact returns when the question was sent by whose answer the copy was last
// known to be up to date; zero if it never was.
func (f *Follower) Contact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	lost := false
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err != nil && ctx.Err() == nil && !lost {
			f.log.Info("table lost", "error", err.Error())
		}
		if err == nil && lost {
			f.log.Info("table regained", "version", f.after)
		}
		lost = err != nil
		interval := f.config.Interval
		if f.config.Stretch != nil {
			interval = time.Duration(float64(interval) * f.config.Stretch())
		}
		if err != nil {
			interval = retryPause
		}
		pause.For(ctx, interval)
	}
	return nil
}

// step lists the table if need be and asks once for changes.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	asked := time.Now()
	page, err := f.rows.Changes(ctx, f.config.Table, f.after, f.config.Wait)
	if failure.IsKind(err, failure.HistoryLost) {
		f.log.Info("changes were forgotten, the table is listed again", "after", f.after)
		f.listed = false
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	for _, row := range page.Rows {
		if f.config.Parted || row.Part == "" {
			f.take(row)
		}
	}
	f.after = max(f.after, page.Version)
	if !page.More {
		f.caught(page.Now, asked)
	}
	return nil
}

func (f *Follower) caught(now time.Duration, asked time.Time) {
	f.mu.Lock()
	f.contact = asked
	f.mu.Unlock()
	f.sink.Caught(now, asked)
}

// take passes a row on unless it is known already.
func (f *Follower) take(row platform.VersionedRow) {
	if row.Deleted {
		if _, ok := f.known[row.RowID]; !ok {
			return
		}
		delete(f.known, row.RowID)
		f.sink.Changed(row)
		return
	}
	if f.known[row.RowID] >= row.Version {
		return
	}
	f.known[row.RowID] = row.Version
	f.sink.Changed(row)
}

// list reads the whole table and reports what changed, also what is gone.
func (f *Follower) list(ctx context.Context) error {
	asked := time.Now()
	var found []platform.VersionedRow
	var version uint64
	var now time.Duration
	var err error
	if f.config.Parted {
		found, version, now, err = f.listParts(ctx)
	} else {
		found, version, now, err = readPart(ctx, f.rows, f.config.Table, "")
	}
	if err != nil {
		return err
	}
	present := make(map[platform.RowID]bool, len(found))
	for _, row := range found {
		present[row.RowID] = true
		f.take(row)
	}
	for id, known := range f.known {
		if !present[id] && known <= version {
			f.take(platform.VersionedRow{RowID: id, Version: version, Deleted: true})
		}
	}
	f.after, f.listed = version, true
	f.caught(now, asked)
	return nil
}

// listParts reads all parts. The version is that of the first answer: what
// changed while the others were read is asked for again.
func (f *Follower) listParts(ctx context.Context) ([]platform.VersionedRow, uint64, time.Duration, error) {
	page, err := f.rows.Parts(ctx, f.config.Table, "")
	if err != nil {
		return nil, 0, 0, err
	}
	version, now, parts := page.Version, page.Now, page.Parts
	for page.More && len(page.Parts) > 0 {
		if page, err = f.rows.Parts(ctx, f.config.Table, parts[len(parts)-1]); err != nil {
			return nil, 0, 0, err
		}
		parts = append(parts, page.Parts...)
	}
	rows, err := f.readParts(ctx, parts)
	return rows, version, now, err
}

func (f *Follower) readParts(ctx context.Context, parts []string) ([]platform.VersionedRow, error) {
	var mu sync.Mutex
	var all []platform.VersionedRow
	var first error
	var wait sync.WaitGroup
	turns := make(chan struct{}, partReaders)
	for _, part := range parts {
		turns <- struct{}{}
		wait.Go(func() {
			defer func() { <-turns }()
			rows, _, _, err := readPart(ctx, f.rows, f.config.Table, part)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, rows...)
			if err != nil && first == nil {
				first = err
			}
		})
	}
	wait.Wait()
	return all, first
}

// readPart reads all rows of one part, with the version and clock of the first answer.
func readPart(ctx context.Context, rows platform.Rows, table, part string) ([]platform.VersionedRow, uint64, time.Duration, error) {
	page, err := rows.Read(ctx, platform.RowRange{Table: table, Part: part})
	if err != nil {
		return nil, 0, 0, err
	}
	all, version, now := page.Rows, page.Version, page.Now
	for page.More && len(page.Rows) > 0 {
		from := page.Rows[len(page.Rows)-1].Key + "\x00"
		if page, err = rows.Read(ctx, platform.RowRange{Table: table, Part: part, From: from}); err != nil {
			return nil, 0, 0, err
		}
		all = append(all, page.Rows...)
	}
	return all, version, now, nil
}

// ReadPart reads all rows of one part of a table.
func ReadPart(ctx context.Context, rows platform.Rows, table, part string) ([]platform.VersionedRow, error) {
	all, _, _, err := readPart(ctx, rows, table, part)
	return all, err
}
