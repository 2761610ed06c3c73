package telemetry

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// Rows is a row service whose calls are recorded.
type Rows struct {
	rows     platform.RowStore
	recorder *Recorder
}

// NewRows returns rows with its calls recorded.
func NewRows(rows platform.RowStore, recorder *Recorder) *Rows {
	return &Rows{rows: rows, recorder: recorder}
}

// Read implements platform.Rows.
func (r *Rows) Read(ctx context.Context, q platform.RowRange) (platform.RowPage, error) {
	began := time.Now()
	page, err := r.rows.Read(ctx, q)
	r.recorder.Store("read", time.Since(began), err)
	return page, err
}

// Parts implements platform.Rows.
func (r *Rows) Parts(ctx context.Context, table, after string) (platform.PartPage, error) {
	began := time.Now()
	page, err := r.rows.Parts(ctx, table, after)
	r.recorder.Store("parts", time.Since(began), err)
	return page, err
}

// Changes implements platform.Rows.
func (r *Rows) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.RowPage, error) {
	began := time.Now()
	page, err := r.rows.Changes(ctx, table, after, wait)
	r.recorder.Store("changes", time.Since(began), err)
	return page, err
}

// Commit implements platform.Rows.
func (r *Rows) Commit(ctx context.Context, tx platform.RowTransaction) (platform.CommitResult, error) {
	began := time.Now()
	receipt, err := r.rows.Commit(ctx, tx)
	r.recorder.Store("commit", time.Since(began), err)
	return receipt, err
}
