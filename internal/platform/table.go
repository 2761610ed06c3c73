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
	var answer RowsResponse
	if err := t.rows(ctx, PathTableRead, ReadRequest{Keys: keys}, &answer); err != nil {
		return nil, err
	}
	byKey := lo.KeyBy(answer.Rows, func(r Row) string { return r.Key })
	return lo.Map(keys, func(key string, _ int) Row {
		row := byKey[key]
		row.Key = key
		return row
	}), nil
}

func (t *httpTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var answer RowsResponse
	err := t.rows(ctx, PathTableScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &answer)
	return answer.Rows, err
}

func (t *httpTable) rows(ctx context.Context, path string, request any, answer *RowsResponse) error {
	got, err := t.transport.postJSON(ctx, path, reads, request, answer)
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

// conflict returns the error for an answer with status 409.
func conflict(got reply) error {
	var answer ConflictResponse
	if err := json.Unmarshal(got.body, &answer); err != nil {
		return failure.Wrap(err, failure.Conflict, "", "a check of the transaction failed")
	}
	return failure.New(failure.Conflict, "", "row %s is at version %d", answer.Key, answer.Version).WithField(answer.Key)
}
