package jsonhttp

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// ReadJSON decodes the request body into out. It answers the request and returns false if that fails.
func ReadJSON(ctx *fasthttp.RequestCtx, out any) bool {
	if err := json.Unmarshal(ctx.PostBody(), out); err != nil {
		WriteError(ctx, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "request body is not valid JSON").WithField("body"))
		return false
	}
	return true
}

// WriteJSON answers a request with a JSON body.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		WriteError(ctx, failure.Wrap(err, failure.Internal, failure.Ran, "answer cannot be encoded"))
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// WriteError answers a request with a failure.
func WriteError(ctx *fasthttp.RequestCtx, err error) {
	refusal := failure.As(err)
	WriteJSON(ctx, refusal.Status(), refusal)
}
