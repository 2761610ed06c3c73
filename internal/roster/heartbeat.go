package roster

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

const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 400 * time.Millisecond
	// heartbeatTimeout bounds the write of one heartbeat, including the deletion of old
	// rows after it, and the removal of the host's own row. A lost heartbeat is not
	// retried; the next one replaces it.
	heartbeatTimeout = time.Second
	// heartbeatsPerSweep is the number of heartbeats between two deletions of the
	// rows of dead hosts.
	heartbeatsPerSweep = 25
)

// Heartbeat writes this host's row every heartbeatInterval, or less often with many
// hosts.
type Heartbeat struct {
	rows   platform.RowStore
	roster *Roster
	log    logr.Logger
	// demand, requests and timeOfDay may be nil.
	demand    func() map[string]float64
	requests  func() map[string]int
	timeOfDay func() time.Time

	// writing is held while the row is written.
	writing sync.Mutex

	// mu protects the fields below.
	mu      sync.Mutex
	self    Host
	failing bool
	removed bool
}

// NewHeartbeat returns the heartbeat of self. The roster receives the duration of
// each write and supplies the factor for the interval.
func NewHeartbeat(self Host, rows platform.RowStore, roster *Roster, log logr.Logger) *Heartbeat {
	self.State = StateServing
	return &Heartbeat{rows: rows, roster: roster, log: log, self: self}
}

// SetDemand sets the function that returns Host.Demand. Call it before Run.
func (h *Heartbeat) SetDemand(demand func() map[string]float64) { h.demand = demand }

// SetRequests sets the function that returns Host.Requests. Call it before Run.
func (h *Heartbeat) SetRequests(requests func() map[string]int) { h.requests = requests }

// AnnounceClock makes the heartbeats announce Host.ClockOffset. now returns the time of
// day, usually time.Now. Call it before Run.
func (h *Heartbeat) AnnounceClock(now func() time.Time) { h.timeOfDay = now }

// clockOffset returns Host.ClockOffset; zero if it is not announced or not known yet.
func (h *Heartbeat) clockOffset() int64 {
	storeClock, asked := h.roster.StoreClock()
	if h.timeOfDay == nil || asked.IsZero() {
		return 0
	}
	return h.timeOfDay().UnixMilli() - (storeClock + time.Since(asked)).Milliseconds()
}

// Self returns this host as in its last heartbeat.
func (h *Heartbeat) Self() Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self
}

// Run writes heartbeats until ctx ends.
func (h *Heartbeat) Run(ctx context.Context) error {
	for next := time.Now(); ; {
		h.write(ctx)
		next = next.Add(h.Self().scaled(heartbeatInterval))
		// A host that was suspended does not make up for missed heartbeats.
		if late := time.Now(); next.Before(late) {
			next = late
		}
		if !pause.For(ctx, time.Until(next)) {
			return nil
		}
	}
}

// SetDraining announces at once that the host takes no new work. It implements
// drain.Announcer.
func (h *Heartbeat) SetDraining() {
	h.mu.Lock()
	h.self.State = StateLeaving
	h.mu.Unlock()
	h.write(context.Background())
}

// Remove deletes the host's row at the end of a stop. Later heartbeats are not
// written. If the write fails, other hosts delete the row after keepRowFor.
func (h *Heartbeat) Remove(ctx context.Context) {
	h.mu.Lock()
	h.removed = true
	h.mu.Unlock()
	h.writing.Lock()
	defer h.writing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	row := rowID(h.Self().ID)
	if _, err := h.rows.Commit(ctx, platform.RowTransaction{Writes: []platform.RowWrite{{RowID: row, Delete: true}}}); err != nil {
		h.log.Info("own host row not deleted, other hosts will delete it", "error", err.Error())
	}
}

// write writes the row, unless it has been removed, and regularly deletes the rows
// of dead hosts.
func (h *Heartbeat) write(ctx context.Context) {
	h.writing.Lock()
	defer h.writing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	factor, offset := h.roster.IntervalFactor(), h.clockOffset()
	h.mu.Lock()
	h.self.Sequence++
	h.self.ClockOffset = offset
	if h.demand != nil {
		h.self.Demand = h.demand()
	}
	if h.requests != nil {
		h.self.Requests = h.requests()
	}
	// The row announces a longer interval before it applies.
	h.self.IntervalFactor = 0
	if factor > 1 {
		h.self.IntervalFactor = factor
	}
	self, removed := h.self, h.removed
	h.mu.Unlock()
	if removed {
		return
	}
	value, err := json.Marshal(self)
	if err != nil {
		h.log.Error(err, "can't encode the heartbeat")
		return
	}
	tx := platform.RowTransaction{Writes: []platform.RowWrite{{RowID: rowID(self.ID), Value: value}}}
	sent := time.Now()
	_, err = h.rows.Commit(ctx, tx)
	if err == nil {
		h.roster.SetWriteLatency(time.Since(sent))
	}
	h.report(err)
	if err == nil && self.Sequence%heartbeatsPerSweep == 0 {
		h.deleteOldRows(ctx)
	}
}

// report logs when heartbeats start to fail and when they succeed again.
func (h *Heartbeat) report(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if failing := err != nil; failing != h.failing {
		h.failing = failing
		if failing {
			h.log.Info("heartbeat fails", "error", err.Error())
		} else {
			h.log.Info("heartbeat goes on", "beat", h.self.Sequence)
		}
	}
}

// deleteOldRows deletes the rows that have not changed for keepRowFor.
func (h *Heartbeat) deleteOldRows(ctx context.Context) {
	for _, row := range h.roster.ExpiredRows() {
		tx := platform.RowTransaction{Checks: []platform.RowCheck{row}, Writes: []platform.RowWrite{{RowID: row.RowID, Delete: true}}}
		if _, err := h.rows.Commit(ctx, tx); err != nil && !failure.IsKind(err, failure.Conflict) {
			h.log.Info("row of a dead host not deleted", "id", row.Part, "error", err.Error())
			return
		}
		// On a conflict the row was deleted or written while the store's history of
		// changes was lost, so this host did not see the change.
		h.roster.Forget(row)
	}
}
