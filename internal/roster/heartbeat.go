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
	// beatTimeout bounds one heartbeat; a lost one is made up by the next.
	beatTimeout = time.Second
	// sweepEvery is the number of heartbeats between two removals of old rows.
	sweepEvery = 25
)

// Heartbeat writes this host's row.
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

// NewHeartbeat returns the heartbeat of a host.
func NewHeartbeat(self Host, rows platform.RowStore, roster *Roster, log logr.Logger) *Heartbeat {
	self.State = Serving
	return &Heartbeat{rows: rows, roster: roster, log: log, self: self}
}

// Self returns the host as its last heartbeat showed it.
func (h *Heartbeat) Self() Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self
}

// Run beats until ctx ends.
func (h *Heartbeat) Run(ctx context.Context) error {
	for next := time.Now(); ; {
		h.beat(ctx)
		next = next.Add(h.Self().within(beatInterval))
		// A host that stood still goes on from now.
		if late := time.Now(); next.Before(late) {
			next = late
		}
		if !pause.For(ctx, time.Until(next)) {
			return nil
		}
	}
}

// SetDraining announces that the host takes no new work. It implements drain.Announcer.
func (h *Heartbeat) SetDraining() {
	h.mu.Lock()
	h.self.State = Leaving
	h.mu.Unlock()
	h.beat(context.Background())
}

// Remove deletes the host's row at the end of a stop. There are no heartbeats after it.
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
		h.log.Info("host row is left to be forgotten", "error", err.Error())
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
	// Others must know of a longer time before it begins.
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
		h.log.Error(err, "heartbeat can't be encoded")
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

// report logs when the heartbeat starts or ends to fail.
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
			h.log.Info("row of a dead host is kept", "id", row.Part, "error", err.Error())
			return
		}
		// A row that is at another version was deleted or written unseen, while the
		// store's history was lost.
		h.roster.Forget(row)
	}
}
