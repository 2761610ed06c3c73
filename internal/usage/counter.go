package usage

import (
	"maps"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

// maxTallies bounds the windows for which a host keeps counts. giveUpAfter contains 12
// windows of 5 s; more can only be due to steps of the clocks.
const maxTallies = 64

// tally is the counts of one window.
type tally struct {
	counts map[string]uint64
	// changed is true while counts has requests that are not in the row.
	changed bool
	// part is the part of the row, which is fixed by the first write, because the number
	// of parts depends on the number of hosts.
	part string
	// version is the version of the row; zero if it does not exist.
	version uint64
	// inDoubt is true while version is not known, because a write got no reply.
	inDoubt bool
	// closed is true once the row was deleted, which follows the decision on the window.
	closed bool
}

// Counter counts the requests of a host. It is safe for concurrent use.
type Counter struct {
	clock  Clock
	length time.Duration
	events *telemetry.Recorder

	mu      sync.Mutex
	tallies map[int64]*tally
}

// NewCounter returns a counter for windows of a length. events may be nil.
func NewCounter(clock Clock, length time.Duration, events *telemetry.Recorder) *Counter {
	return &Counter{clock: clock, length: length, events: events, tallies: map[int64]*tally{}}
}

// Began counts a request of a team that began to run at a replica at a time. The caller
// excludes requests without a team.
func (c *Counter) Began(team string, at time.Time) {
	since1970, ok := c.clock.TrueTime(at)
	if !ok {
		// Only in the first moments of a host, before it has read the store clock.
		since1970 = time.Duration(at.UnixNano())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	window := windowAt(since1970, c.length)
	t := c.tallies[window]
	if t == nil {
		t = &tally{counts: map[string]uint64{}}
		c.tallies[window] = t
	}
	if t.closed {
		c.events.Event("usage_counted_late")
		return
	}
	t.counts[team]++
	t.changed = true
	c.limit()
}

// limit drops the oldest tally if there are more than maxTallies, and records an event if
// that loses counts. The caller holds mu.
func (c *Counter) limit() {
	if len(c.tallies) <= maxTallies {
		return
	}
	oldest := int64(0)
	for window := range c.tallies {
		if oldest == 0 || window < oldest {
			oldest = window
		}
	}
	if c.tallies[oldest].changed {
		c.events.Event("usage_counted_late")
	}
	delete(c.tallies, oldest)
}

// pendingRow is a row that has to be written.
type pendingRow struct {
	window  int64
	counts  map[string]uint64
	part    string
	version uint64
	inDoubt bool
}

// pending returns the rows that have to be written, and drops the windows that are given
// up. newPart returns the part for a window without a row.
func (c *Counter) pending(newPart func(window int64) string) []pendingRow {
	now, known := c.clock.TrueTime(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows []pendingRow
	for window, t := range c.tallies {
		if known && now > endOf(window, c.length)+giveUpAfter {
			if t.changed {
				c.events.Event("usage_counted_late")
			}
			delete(c.tallies, window)
			continue
		}
		if !t.changed || t.closed {
			continue
		}
		if t.part == "" {
			t.part = newPart(window)
		}
		t.changed = false
		rows = append(rows, pendingRow{window: window, counts: maps.Clone(t.counts), part: t.part, version: t.version, inDoubt: t.inDoubt})
	}
	return rows
}

// saved records that a row was written at a version.
func (c *Counter) saved(window int64, version uint64) {
	c.update(window, func(t *tally) { t.version, t.inDoubt = version, false })
}

// failed records that a row was not written or, if inDoubt is true, that this is not known.
func (c *Counter) failed(window int64, inDoubt bool) {
	c.update(window, func(t *tally) { t.changed, t.inDoubt = true, t.inDoubt || inDoubt })
}

// close records that the window of a row was decided without the latest counts.
func (c *Counter) close(window int64) {
	c.update(window, func(t *tally) { t.closed = true })
	c.events.Event("usage_counted_late")
}

func (c *Counter) update(window int64, change func(*tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tallies[window]; t != nil {
		change(t)
	}
}
