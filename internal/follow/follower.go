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
	// minRetryDelay is the delay after a failed call. It doubles with each further
	// failure up to maxRetryDelay. These values spare the store, and a follower still
	// notices the store's return within the one second that hosts have for that.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// maxPartReaders is the number of parts that are read concurrently during a list.
	maxPartReaders = 4
)

// Config configures a Follower.
type Config struct {
	// Table is the name of the table.
	Table string
	// AllParts follows the rows of all parts. By default only the rows of the part
	// with the empty name are followed.
	AllParts bool
	// ChangesOnly skips the list and follows only changes from now on. It is for
	// tables in which every live row is written regularly, for example heartbeats.
	ChangesOnly bool
	// IsFinal reports whether the rows of a known part won't change any more until
	// they are deleted. The follower does not read such a part again when it lists
	// the table. If nil, all parts are read.
	IsFinal func(part string) bool
	// LongPollWait is how long the store may hold a poll until there is a change;
	// zero does not wait. Keep it short: a broken connection looks like a table
	// without changes until the poll times out.
	LongPollWait time.Duration
	// MinInterval is the delay between two polls; zero polls again at once. It limits
	// the number of calls for a table that changes often.
	MinInterval time.Duration
	// IntervalFactor returns a factor for MinInterval and is called before each
	// poll; nil means 1.
	IntervalFactor func() float64
}

// Sink receives the changes of a table. All calls come from one goroutine.
type Sink interface {
	// Changed is called with each row that was added, updated or deleted.
	Changed(row platform.VersionedRow)
	// Synced is called each time the copy is up to date. now is the time of
	// the store clock in the response, and asked the time on this host's clock when
	// the request was sent.
	Synced(now time.Duration, asked time.Time)
}

// Follower follows one table. Only LastSynced is safe for concurrent use.
type Follower struct {
	config Config
	rows   platform.RowStore
	sink   Sink
	log    logr.Logger

	// versions holds the version of each row in the copy.
	versions map[platform.RowID]uint64
	// after is the version of the table up to which changes were received.
	after uint64
	// listed is true if the copy is complete up to after.
	listed bool
	// listing is the list in progress; nil if there is none.
	listing *listing

	mu         sync.Mutex
	lastSynced time.Time
}

// New returns a follower that passes the changes of a table to sink. Call Run to
// start it.
func New(config Config, rows platform.RowStore, sink Sink, log logr.Logger) *Follower {
	return &Follower{config: config, rows: rows, sink: sink, log: log.WithValues("table", config.Table), versions: map[platform.RowID]uint64{}}
}

// LastSynced returns the time of the request whose response last brought the copy up
// to date; zero if there was none.
func (f *Follower) LastSynced() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastSynced
}

// Run follows the table until ctx ends. It retries all errors and returns nil.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		err := f.poll(ctx)
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
			interval = retryDelay(failures)
		}
		pause.For(ctx, interval)
	}
	return nil
}

// retryDelay returns the delay after a number of failures in a row. It has a random
// jitter of 25 percent, because hosts that fail together would otherwise retry
// together.
func retryDelay(failures int) time.Duration {
	return time.Duration(float64(pause.Backoff(minRetryDelay, maxRetryDelay, failures)) * (0.75 + rand.Float64()/2))
}

// poll makes one call for changes. It lists the table if the copy is not complete, or
// if the store no longer has all changes since the last poll.
func (f *Follower) poll(ctx context.Context) error {
	if !f.listed {
		return f.listTable(ctx)
	}
	asked := time.Now()
	page, err := f.rows.Changes(ctx, f.config.Table, f.after, f.config.LongPollWait)
	if failure.IsKind(err, failure.HistoryLost) {
		f.log.Info("changes were forgotten, the table is listed again", "after", f.after)
		f.listed, f.listing = false, nil
		return f.listTable(ctx)
	}
	if err != nil {
		return err
	}
	for _, row := range page.Rows {
		if f.config.AllParts || row.Part == "" {
			f.apply(row)
		}
	}
	f.after = max(f.after, page.Version)
	if !page.More {
		f.synced(page.Now, asked)
	}
	return nil
}

// synced records that the copy is up to date.
func (f *Follower) synced(now time.Duration, asked time.Time) {
	f.mu.Lock()
	f.lastSynced = asked
	f.mu.Unlock()
	f.sink.Synced(now, asked)
}

// apply passes a row to the sink unless the copy has the same or a newer version. A
// deleted row is passed on only if the copy has the row, whatever its version.
func (f *Follower) apply(row platform.VersionedRow) {
	if row.Deleted {
		if _, ok := f.versions[row.RowID]; !ok {
			return
		}
		delete(f.versions, row.RowID)
		f.sink.Changed(row)
		return
	}
	if f.versions[row.RowID] >= row.Version {
		return
	}
	f.versions[row.RowID] = row.Version
	f.sink.Changed(row)
}

// listTable reads the whole table and passes all differences from the copy to the
// sink, including deleted rows. After an error in reading the parts, the next call
// continues the list. With ChangesOnly it reads no rows.
func (f *Follower) listTable(ctx context.Context) error {
	if f.config.ChangesOnly {
		return f.startAtPresent(ctx)
	}
	if f.listing == nil {
		f.listing = &listing{asked: time.Now(), present: map[platform.RowID]bool{}}
		if err := f.listParts(ctx); err != nil {
			f.listing = nil
			return err
		}
	}
	l := f.listing
	if err := f.readParts(ctx); err != nil {
		return err
	}
	for id, known := range f.versions {
		if !l.present[id] && known <= l.version && !l.skipped[id.Part] {
			f.apply(platform.VersionedRow{RowID: id, Version: l.version, Deleted: true})
		}
	}
	f.after, f.listed, f.listing = l.version, true, nil
	// Changes made during the list come with the next poll.
	f.synced(l.now, l.asked)
	return nil
}

// startAtPresent starts to follow a table at its present version, without a list.
func (f *Follower) startAtPresent(ctx context.Context) error {
	asked := time.Now()
	page, err := f.rows.Parts(ctx, f.config.Table, afterAllParts)
	if err != nil {
		return err
	}
	f.after, f.listed = page.Version, true
	f.synced(page.Now, asked)
	return nil
}

// afterAllParts sorts after the names of all parts. A list of the parts after it is
// empty and returns only the version and the store clock.
const afterAllParts = "~"

// listing is the state of a list in progress. Parts that were read are not read again
// after an error, because later changes come with the next poll. Otherwise a list of
// many parts would never finish while the store refuses some calls, and starting
// again would make it refuse more.
type listing struct {
	// asked is when the list was started.
	asked time.Time
	// version is the version of the table, and now the time of the store clock, at
	// the start of the list.
	version uint64
	now     time.Duration
	// remaining holds the parts that still have to be read.
	remaining []string
	// skipped holds the parts that are not read because they are final.
	skipped map[string]bool
	// present holds the rows found so far.
	present map[platform.RowID]bool
}

// listParts finds the parts to read. It sets the version and the time of the list
// from the first response.
func (f *Follower) listParts(ctx context.Context) error {
	l := f.listing
	if !f.config.AllParts {
		l.remaining = []string{""}
		return nil
	}
	l.skipped = map[string]bool{}
	known := map[string]bool{}
	for id := range f.versions {
		known[id.Part] = true
	}
	page, err := f.rows.Parts(ctx, f.config.Table, "")
	if err != nil {
		return err
	}
	l.version, l.now = page.Version, page.Now
	for {
		for _, part := range page.Parts {
			if known[part] && f.config.IsFinal != nil && f.config.IsFinal(part) {
				l.skipped[part] = true
				continue
			}
			l.remaining = append(l.remaining, part)
		}
		if !page.More || len(page.Parts) == 0 {
			return nil
		}
		if page, err = f.rows.Parts(ctx, f.config.Table, page.Parts[len(page.Parts)-1]); err != nil {
			return err
		}
	}
}

// readParts reads the remaining parts, up to maxPartReaders at once. It returns the
// first error after the concurrent reads have ended.
func (f *Follower) readParts(ctx context.Context) error {
	l := f.listing
	for len(l.remaining) > 0 {
		batch := l.remaining[:min(maxPartReaders, len(l.remaining))]
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
				f.apply(row)
			}
		}
		l.remaining = append(left, l.remaining[len(batch):]...)
		if first != nil {
			return first
		}
	}
	return nil
}

// readPart reads all rows of a part, and returns the version of the table and the
// time of the store clock from the first response.
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

// ReadPart reads all rows of a part of a table, with as many calls as necessary.
func ReadPart(ctx context.Context, rows platform.RowStore, table, part string) ([]platform.VersionedRow, error) {
	all, _, _, err := readPart(ctx, rows, table, part)
	return all, err
}
