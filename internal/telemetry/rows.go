package telemetry

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// RowStore is a row service whose calls are recorded.
type RowStore struct {
	rows     platform.RowStore
	recorder *Recorder
}

// NewRowStore returns rows with its calls recorded.
func NewRowStore(rows platform.RowStore, recorder *Recorder) *RowStore {
	return &RowStore{rows: rows, recorder: recorder}
}

// Read implements platform.Rows.
func (r *RowStore) Read(ctx context.Context, q platform.RowRange) (platform.RowPage, error) {
	began := time.Now()
	page, err := r.rows.Read(ctx, q)
	r.recorder.StoreCall("read", time.Since(began), err)
	return page, err
}

// Parts implements platform.Rows.
func (r *RowStore) Parts(ctx context.Context, table, after string) (platform.PartPage, error) {
	began := time.Now()
	page, err := r.rows.Parts(ctx, table, after)
	r.recorder.StoreCall("parts", time.Since(began), err)
	return page, err
}

// Changes implements platform.Rows.
func (r *RowStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.RowPage, error) {
	began := time.Now()
	page, err := r.rows.Changes(ctx, table, after, wait)
	r.recorder.StoreCall("changes", time.Since(began), err)
	return page, err
}

// Commit implements platform.Rows.
func (r *RowStore) Commit(ctx context.Context, tx platform.RowTransaction) (platform.CommitResult, error) {
	began := time.Now()
	receipt, err := r.rows.Commit(ctx, tx)
	r.recorder.StoreCall("commit", time.Since(began), err)
	return receipt, err
}
