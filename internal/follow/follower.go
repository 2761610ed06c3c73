package follow

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// retryPause is the wait after a failed call; it doubles with each further one
	// up to longestRetry. That leaves the store room and finds its return within
	// the second that hosts have to come back.
	retryPause   = 150 * time.Millisecond
	longestRetry = 600 * time.Millisecond
	// partReaders bounds the parts that are read at once while a table is listed.
	partReaders = 4
)

// Config says how a table is followed.
type Config struct {
	Table string
	// AllParts lists the rows of all parts; otherwise only those of the empty part.
	AllParts bool
	// ChangesOnly says that every row that counts is written again and again, so that
	// the table need not be listed: what is there shows itself.
	ChangesOnly bool
	// Settled reports whether a part that is known will not change any more but for
	// its removal, so that it need not be read again where changes were lost; may be nil.
	Settled func(part string) bool
	// LongPollWait is how long one question for changes may be kept waiting. It is short
	// because a connection that went silent looks like a table without changes.
	LongPollWait time.Duration
	// MinInterval is the least time between two questions; zero asks again at once.
	// It bounds the calls where a table changes often.
	MinInterval time.Duration
	// IntervalFactor multiplies Interval before each question; nil does not.
	IntervalFactor func() float64
}

// Sink receives rows. Calls come from one goroutine.
type Sink interface {
	// Changed receives a row that is new, was written, or was deleted.
	Changed(row platform.VersionedRow)
	// Synced receives the service's clock each time the copy is up to date, with
	// the time on this host's clock when the question was sent.
	Synced(now time.Duration, asked time.Time)
}

// Follower follows one table.
type Follower struct {
	config Config
	rows   platform.RowStore
	sink   Sink
	log    logr.Logger

	known  map[platform.RowID]uint64
	after  uint64
	listed bool
	// listing is a list of all parts that is not finished; nil if there is none.
	listing *listing

	mu      sync.Mutex
	contact time.Time
}

// New returns a follower that passes what it learns to sink.
func New(config Config, rows platform.RowStore, sink Sink, log logr.Logger) *Follower {
	return &Follower{config: config, rows: rows, sink: sink, log: log.WithValues("table", config.Table), known: map[platform.RowID]uint64{}}
}

// LastSynced returns when the question was sent by whose answer the copy was last
// known to be up to date; zero if it never was.
func (f *Follower) LastSynced() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err != nil && ctx.Err() == nil && failures == 0 {
			f.log.Info("table lost", "error", err.Error())
		}
		if err == nil && failures > 0 {
			f.log.Info("table regained", "version", f.after, "failures", failures)
		}
		failures++
		if err == nil {
			failures = 0
		}
		interval := f.config.MinInterval
		if f.config.IntervalFactor != nil {
			interval = time.Duration(float64(interval) * f.config.IntervalFactor())
		}
		if err != nil {
			interval = retryAfter(failures)
		}
		pause.For(ctx, interval)
	}
	return nil
}

// retryAfter is the wait after a number of failures in a row. It is spread, so
// that hosts that were refused together don't come again together.
func retryAfter(failures int) time.Duration {
	return time.Duration(float64(pause.Doubled(retryPause, longestRetry, failures)) * (0.75 + rand.Float64()/2))
}

// step lists the table if need be and asks once for changes.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	asked := time.Now()
	page, err := f.rows.Changes(ctx, f.config.Table, f.after, f.config.LongPollWait)
	if failure.IsKind(err, failure.HistoryLost) {
		f.log.Info("changes were forgotten, the table is listed again", "after", f.after)
		f.listed, f.listing = false, nil
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	for _, row := range page.Rows {
		if f.config.AllParts || row.Part == "" {
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
	f.sink.Synced(now, asked)
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
	if f.config.ChangesOnly {
		return f.begin(ctx)
	}
	if f.listing == nil {
		f.listing = &listing{asked: time.Now(), present: map[platform.RowID]bool{}}
		if err := f.parts(ctx); err != nil {
			f.listing = nil
			return err
		}
	}
	l := f.listing
	if err := f.readParts(ctx); err != nil {
		return err
	}
	for id, known := range f.known {
		if !l.present[id] && known <= l.version && !l.skipped[id.Part] {
			f.take(platform.VersionedRow{RowID: id, Version: l.version, Deleted: true})
		}
	}
	f.after, f.listed, f.listing = l.version, true, nil
	// Changes since then are asked for next.
	f.caught(l.now, l.asked)
	return nil
}

// begin starts to follow a table whose rows are renewed from its present version on.
func (f *Follower) begin(ctx context.Context) error {
	asked := time.Now()
	page, err := f.rows.Parts(ctx, f.config.Table, lastPart)
	if err != nil {
		return err
	}
	f.after, f.listed = page.Version, true
	f.caught(page.Now, asked)
	return nil
}

// lastPart comes behind all parts, so that only the version and the clock are answered.
const lastPart = "~"

// listing is a list of all parts on its way. A part that was read stays read when
// another can't be: changes since version are asked for behind the list anyway.
// Else a table of many parts is never whole where the store refuses some calls,
// and starting anew makes it refuse more.
type listing struct {
	asked   time.Time
	version uint64
	now     time.Duration
	// left are the parts that are still to be read, skipped those that need not be.
	left    []string
	skipped map[string]bool
	present map[platform.RowID]bool
}

// parts finds the parts to read. The version is that of the first answer.
func (f *Follower) parts(ctx context.Context) error {
	l := f.listing
	if !f.config.AllParts {
		l.left = []string{""}
		return nil
	}
	l.skipped = map[string]bool{}
	known := map[string]bool{}
	for id := range f.known {
		known[id.Part] = true
	}
	page, err := f.rows.Parts(ctx, f.config.Table, "")
	if err != nil {
		return err
	}
	l.version, l.now = page.Version, page.Now
	for {
		for _, part := range page.Parts {
			if known[part] && f.config.Settled != nil && f.config.Settled(part) {
				l.skipped[part] = true
				continue
			}
			l.left = append(l.left, part)
		}
		if !page.More || len(page.Parts) == 0 {
			return nil
		}
		if page, err = f.rows.Parts(ctx, f.config.Table, page.Parts[len(page.Parts)-1]); err != nil {
			return err
		}
	}
}

// readParts reads the parts that are left, some at once.
func (f *Follower) readParts(ctx context.Context) error {
	l := f.listing
	for len(l.left) > 0 {
		batch := l.left[:min(partReaders, len(l.left))]
		type answer struct {
			rows    []platform.VersionedRow
			version uint64
			now     time.Duration
			err     error
		}
		answers := make([]answer, len(batch))
		var wait sync.WaitGroup
		for i, part := range batch {
			wait.Go(func() {
				a := &answers[i]
				a.rows, a.version, a.now, a.err = readPart(ctx, f.rows, f.config.Table, part)
			})
		}
		wait.Wait()
		var left []string
		var first error
		for i, a := range answers {
			if a.err != nil {
				left = append(left, batch[i])
				first = cmp.Or(first, a.err)
				continue
			}
			if !f.config.AllParts {
				l.version, l.now = a.version, a.now
			}
			for _, row := range a.rows {
				l.present[row.RowID] = true
				f.take(row)
			}
		}
		l.left = append(left, l.left[len(batch):]...)
		if first != nil {
			return first
		}
	}
	return nil
}

// readPart reads all rows of one part, with the version and clock of the first answer.
func readPart(ctx context.Context, rows platform.RowStore, table, part string) ([]platform.VersionedRow, uint64, time.Duration, error) {
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
func ReadPart(ctx context.Context, rows platform.RowStore, table, part string) ([]platform.VersionedRow, error) {
	all, _, _, err := readPart(ctx, rows, table, part)
	return all, err
}
