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
	// beatInterval is the time between two heartbeats.
	beatInterval = 400 * time.Millisecond
	// beatTimeout bounds the write of one heartbeat. A lost one is not retried; the
	// next one replaces it.
	beatTimeout = time.Second
	// sweepEvery is the number of heartbeats between two deletions of old rows.
	sweepEvery = 25
)

// Heartbeat writes this host's row every 400 ms, or less often with many hosts.
type Heartbeat struct {
	rows   platform.RowStore
	roster *Roster
	log    logr.Logger

	// writing is held while the row is written.
	writing sync.Mutex

	mu      sync.Mutex
	self    Host
	lost    bool
	removed bool
}

// NewHeartbeat returns the heartbeat of self. The roster receives the duration of
// each write and supplies the factor for the interval.
func NewHeartbeat(self Host, rows platform.RowStore, roster *Roster, log logr.Logger) *Heartbeat {
	self.State = Serving
	return &Heartbeat{rows: rows, roster: roster, log: log, self: self}
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
		h.beat(ctx)
		next = next.Add(h.Self().within(beatInterval))
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
	h.self.State = Leaving
	h.mu.Unlock()
	h.beat(context.Background())
}

// Remove deletes the host's row at the end of a stop. Later heartbeats are not
// written. If the write fails, other hosts delete the row after a minute.
func (h *Heartbeat) Remove(ctx context.Context) {
	h.mu.Lock()
	h.removed = true
	h.mu.Unlock()
	h.writing.Lock()
	defer h.writing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	row := rowID(h.Self().ID)
	if _, err := h.rows.Commit(ctx, platform.RowTransaction{Writes: []platform.RowWrite{{RowID: row, Delete: true}}}); err != nil {
		h.log.Info("own host row not deleted, other hosts will delete it", "error", err.Error())
	}
}

func (h *Heartbeat) beat(ctx context.Context) {
	h.writing.Lock()
	defer h.writing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	stretch := h.roster.IntervalFactor()
	h.mu.Lock()
	h.self.Beat++
	// The row announces a longer interval before it applies.
	h.self.Stretch = 0
	if stretch > 1 {
		h.self.Stretch = stretch
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
		h.roster.SetDelay(time.Since(sent))
	}
	h.report(err)
	if err == nil && self.Beat%sweepEvery == 0 {
		h.sweep(ctx)
	}
}

// report logs when heartbeats start to fail and when they succeed again.
func (h *Heartbeat) report(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if lost := err != nil; lost != h.lost {
		h.lost = lost
		if lost {
			h.log.Info("heartbeat fails", "error", err.Error())
		} else {
			h.log.Info("heartbeat goes on", "beat", h.self.Beat)
		}
	}
}

// sweep deletes the rows of hosts that have been dead for long.
func (h *Heartbeat) sweep(ctx context.Context) {
	for _, row := range h.roster.Forgettable() {
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
