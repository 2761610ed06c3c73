package job

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// sweepInterval is how often a host looks for jobs that need not be kept.
	sweepInterval = 5 * time.Second
	// sweepMargin is how much longer than promised a job is kept.
	sweepMargin = 30 * time.Second
)

// sweepJobs deletes the rows of old jobs until ctx ends.
func (m *Manager) sweepJobs(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, id := range m.forgettable() {
			if err := m.forget(ctx, id); err != nil {
				m.log.Info("old job is kept for now", "job", id, "error", err.Error())
				break
			}
			m.log.Info("job forgotten", "job", id)
		}
	}
}

// forgettable returns the jobs that this host is to delete: those that are over
// and were accepted long enough ago.
func (m *Manager) forgettable() []string {
	clock := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.retention <= 0 || m.leaving || clock == 0 {
		return nil
	}
	var old []string
	for id, k := range m.jobs {
		over := k.ended || k.owner.Listed >= k.owner.Total
		if k.version > 0 && k.owner.AcceptedMS > 0 && over && m.runs[id] == nil && clock > k.owner.accepted()+m.retention+sweepMargin && m.hosts.Rank(id, m.host) == 0 {
			old = append(old, id)
		}
	}
	return old
}

// forget deletes all rows of a job, those that name it last.
func (m *Manager) forget(ctx context.Context, id string) error {
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
			if _, err := m.store.rows.Commit(ctx, tx); err != nil && !failure.IsKind(err, failure.StoreInDoubt) {
				return err
			}
		}
	}
	return nil
}
