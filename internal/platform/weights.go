package platform

import (
	"context"
	"net/url"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// httpWeights is the HTTP client of Weights.
type httpWeights struct{ transport *transport }

func (w *httpWeights) Latest(ctx context.Context, model string) (WeightVersion, error) {
	var response WeightVersion
	err := w.transport.getJSON(ctx, weightPath(model), &response)
	if failure.IsKind(err, failure.NotFound) {
		return WeightVersion{Model: model}, nil
	}
	return response, err
}

func (w *httpWeights) Publish(ctx context.Context, version WeightVersion) error {
	path := weightPath(version.Model)
	got, err := w.transport.postJSON(ctx, path, writes, version, nil)
	if err != nil {
		return err
	}
	if got.status >= minNonSuccessStatus {
		return statusError(got, call{path: path})
	}
	return nil
}

func weightPath(model string) string { return PathWeights + url.PathEscape(model) }
