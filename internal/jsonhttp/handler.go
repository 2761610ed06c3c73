package jsonhttp

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// ReadJSON decodes the request body into out. If the body is not valid JSON, it
// writes an InvalidRequest error as the response and returns false.
func ReadJSON(ctx *fasthttp.RequestCtx, out any) bool {
	if err := json.Unmarshal(ctx.PostBody(), out); err != nil {
		WriteError(ctx, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the request body of %d bytes is not valid JSON", len(ctx.PostBody())).WithField("body"))
		return false
	}
	return true
}

// WriteJSON writes a response with a status code and a JSON body.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		WriteError(ctx, failure.Wrap(err, failure.Internal, failure.Ran, "cannot encode the response"))
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// WriteError writes err as the response, with the status code of its kind.
func WriteError(ctx *fasthttp.RequestCtx, err error) {
	refusal := failure.As(err)
	WriteJSON(ctx, refusal.Status(), refusal)
}
