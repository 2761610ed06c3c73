package upstream

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, target membership.Upstream, requestID string) error {
	return c.call(ctx, target, fasthttp.MethodPost, engineapi.PathCancel, engineapi.CancelRequest{RequestID: requestID}, nil)
}

// Order implements Engine. It fails with StaleFencingToken if the engine rejects the fencing token.
func (c *Client) Order(ctx context.Context, target membership.Upstream, order engineapi.Order) error {
	return c.call(ctx, target, fasthttp.MethodPost, engineapi.PathOrder, order, nil)
}

// Status implements Engine.
func (c *Client) Status(ctx context.Context, target membership.Upstream) (engineapi.Status, error) {
	var status engineapi.Status
	err := c.call(ctx, target, fasthttp.MethodGet, engineapi.PathStatus, nil, &status)
	return status, err
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context, target membership.Upstream) (engineapi.LoadReport, error) {
	var load engineapi.LoadReport
	err := c.call(ctx, target, fasthttp.MethodGet, engineapi.PathLoadReport, nil, &load)
	return load, err
}

// maxCacheEventsBytes bounds a page of cache events, each of which has about 64 bytes.
const maxCacheEventsBytes = 8 << 20

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, target membership.Upstream, after uint64) (engineapi.CacheEvents, error) {
	var events engineapi.CacheEvents
	path := engineapi.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.callUpTo(ctx, maxCacheEventsBytes, target, fasthttp.MethodGet, path, nil, &events)
	return events, err
}

// call is callUpTo for an answer of at most SmallAnswerBytes.
func (c *Client) call(ctx context.Context, target membership.Upstream, method, path string, in, out any) error {
	return c.callUpTo(ctx, SmallAnswerBytes, target, method, path, in, out)
}

// callUpTo sends in as JSON and decodes the answer, of at most maxAnswer bytes, into out; both
// may be nil.
func (c *Client) callUpTo(ctx context.Context, maxAnswer int, target membership.Upstream, method, path string, in, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.Set(engineapi.HeaderRequestID, uuid.NewString())
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return failure.Wrap(err, failure.Internal, failure.NotRun, "request for %s cannot be encoded", path)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.exchange(WithMaxAnswer(ctx, maxAnswer), target, req, resp, c.pool.timing.ProgressTimeout); err != nil {
		return err
	}
	if resp.StatusCode() >= fasthttp.StatusMultipleChoices {
		return c.statusFailure(target, resp)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return failure.Wrap(err, failure.IncompleteAnswer, failure.Unknown, "answer of upstream %s to %s is not valid JSON", target.ID, path)
	}
	return nil
}
