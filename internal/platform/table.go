package platform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// httpTable is the HTTP client of Table.
type httpTable struct{ transport *transport }

func (t *httpTable) Read(ctx context.Context, keys ...string) ([]Row, error) {
	var response RowsResponse
	if err := t.rows(ctx, PathTableRead, ReadRequest{Keys: keys}, &response); err != nil {
		return nil, err
	}
	byKey := lo.KeyBy(response.Rows, func(r Row) string { return r.Key })
	return lo.Map(keys, func(key string, _ int) Row {
		row := byKey[key]
		row.Key = key
		return row
	}), nil
}

func (t *httpTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var response RowsResponse
	err := t.rows(ctx, PathTableScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &response)
	return response.Rows, err
}

func (t *httpTable) rows(ctx context.Context, path string, request any, response *RowsResponse) error {
	got, err := t.transport.postJSON(ctx, path, reads, request, response)
	if err != nil {
		return err
	}
	if got.status >= minNonSuccessStatus {
		return statusError(got, call{path: path})
	}
	return nil
}

func (t *httpTable) Transact(ctx context.Context, tx Transaction) error {
	got, err := t.transport.postJSON(ctx, PathTableTransact, writes, tx, nil)
	if err != nil {
		return err
	}
	switch {
	case got.status < minNonSuccessStatus:
		return nil
	case got.status == http.StatusConflict:
		return conflict(got)
	default:
		return statusError(got, call{path: PathTableTransact})
	}
}

// conflict returns the error for a reply with status 409.
func conflict(got reply) error {
	var response ConflictResponse
	if err := json.Unmarshal(got.body, &response); err != nil {
		return failure.Wrap(err, failure.Conflict, "", "a check of the transaction failed")
	}
	return failure.New(failure.Conflict, "", "row %s is at version %d", response.Key, response.Version).WithField(response.Key)
}
