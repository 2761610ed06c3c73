package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// httpRows is the HTTP client of RowStore.
type httpRows struct{ transport *transport }

// Read implements RowStore.
func (r *httpRows) Read(ctx context.Context, q RowRange) (RowPage, error) {
	var page RowPage
	err := r.call(ctx, PathRowsRead, reads, q, &page)
	return page, err
}

// Parts implements RowStore.
func (r *httpRows) Parts(ctx context.Context, table, after string) (PartPage, error) {
	var page PartPage
	err := r.call(ctx, PathRowsParts, reads, PartsRequest{Table: table, After: after}, &page)
	return page, err
}

// Changes implements RowStore.
func (r *httpRows) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (RowPage, error) {
	var page RowPage
	// Half of the call's timeout is left for the reply to arrive.
	wait = min(wait, r.transport.timeout/2)
	err := r.call(ctx, PathRowsChanges, reads, ChangesRequest{Table: table, After: after, Wait: wait}, &page)
	return page, err
}

// Commit implements RowStore.
func (r *httpRows) Commit(ctx context.Context, tx RowTransaction) (CommitResult, error) {
	var result CommitResult
	err := r.call(ctx, PathRowsCommit, writes, tx, &result)
	return result, err
}

func (r *httpRows) call(ctx context.Context, path string, effect effect, request, response any) error {
	got, err := r.transport.postJSON(ctx, path, effect, request, response)
	switch {
	case err != nil:
		return err
	case got.status == http.StatusConflict:
		return failure.New(failure.Conflict, "", "a check of the transaction failed")
	case got.status == http.StatusGone:
		return failure.New(failure.HistoryLost, "", "the store no longer has the requested changes")
	case got.status >= minNonSuccessStatus:
		return statusError(got, call{path: path})
	}
	return nil
}
