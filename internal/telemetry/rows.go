package telemetry

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// RowStore records the calls to another platform.RowStore.
type RowStore struct {
	next     platform.RowStore
	recorder *Recorder
}

// NewRowStore returns a RowStore that calls next and records the calls.
func NewRowStore(next platform.RowStore, recorder *Recorder) *RowStore {
	return &RowStore{next: next, recorder: recorder}
}

// Read implements platform.RowStore.
func (r *RowStore) Read(ctx context.Context, q platform.RowRange) (platform.RowPage, error) {
	began := time.Now()
	page, err := r.next.Read(ctx, q)
	r.recorder.StoreCall("read", time.Since(began), err)
	return page, err
}

// Parts implements platform.RowStore.
func (r *RowStore) Parts(ctx context.Context, table, after string) (platform.PartPage, error) {
	began := time.Now()
	page, err := r.next.Parts(ctx, table, after)
	r.recorder.StoreCall("parts", time.Since(began), err)
	return page, err
}

// Changes implements platform.RowStore.
func (r *RowStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.RowPage, error) {
	began := time.Now()
	page, err := r.next.Changes(ctx, table, after, wait)
	r.recorder.StoreCall("changes", time.Since(began), err)
	return page, err
}

// Commit implements platform.RowStore.
func (r *RowStore) Commit(ctx context.Context, tx platform.RowTransaction) (platform.CommitResult, error) {
	began := time.Now()
	result, err := r.next.Commit(ctx, tx)
	r.recorder.StoreCall("commit", time.Since(began), err)
	return result, err
}
