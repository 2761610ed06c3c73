package job

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// sweepInterval is the time between two searches for expired jobs.
	sweepInterval = 5 * time.Second
	// retentionMargin is how much longer than the configured retention a job is kept.
	retentionMargin = 30 * time.Second
)

// sweepJobs deletes the rows of expired jobs until ctx ends.
func (m *Manager) sweepJobs(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, id := range m.expiredJobs() {
			if err := m.deleteJob(ctx, id); err != nil {
				m.log.Info("deleting an expired job failed, will retry", "job", id, "error", err.Error())
				break
			}
			m.log.Info("expired job deleted", "job", id)
		}
	}
}

// expiredJobs returns the expired jobs that this host has to delete: those that were
// accepted longer ago than the retention plus retentionMargin, were ended longer ago than
// retentionMargin, do not run here, and for which this host ranks first. A complete job
// that is not ended is open: its trainer may still read it.
func (m *Manager) expiredJobs() []string {
	clock := m.storeNow()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.retention <= 0 || m.draining || clock == 0 {
		return nil
	}
	var old []string
	for id, state := range m.jobs {
		if state.ended && time.Since(state.endedAt) > retentionMargin && m.isOld(state, clock) && m.runs[id] == nil && m.hosts.Rank(id, m.host) == 0 {
			old = append(old, id)
		}
	}
	return old
}

// isOld reports whether a job was accepted longer ago than the retention plus
// retentionMargin.
func (m *Manager) isOld(state *jobState, clock time.Duration) bool {
	return state.version > 0 && state.owner.AcceptedMS > 0 && clock > state.owner.acceptedAt()+m.retention+retentionMargin
}

// countUnended returns the number of old jobs that are complete and not ended, and for
// which this host ranks first.
func (m *Manager) countUnended(clock time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for id, state := range m.jobs {
		if !state.ended && state.over() && m.isOld(state, clock) && m.hosts.Rank(id, m.host) == 0 {
			n++
		}
	}
	return n
}

// deleteJob deletes all rows of a job. The rows of TableJobs come last, because they
// are how hosts find the job if the deletion is interrupted.
func (m *Manager) deleteJob(ctx context.Context, id string) error {
	for _, table := range []string{tableTexts, tableResults, tableSpecs, TableJobs} {
		rows, err := follow.ReadPart(ctx, m.store.rows, table, id)
		if err != nil {
			return err
		}
		for len(rows) > 0 {
			var tx platform.RowTransaction
			for _, row := range rows[:min(len(rows), platform.MaxTransactionRows)] {
				tx.Writes = append(tx.Writes, platform.RowWrite{RowID: row.RowID, Delete: true})
			}
			rows = rows[len(tx.Writes):]
			if _, err := m.store.rows.Commit(ctx, tx); err != nil {
				return err
			}
		}
	}
	return nil
}
