package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

// maxResumes bounds the resumes of a generation that bring no new token.
const maxResumes = 2

// generation collects one generation over its connections.
type generation struct {
	client  *Client
	target  membership.Upstream
	req     engineapi.ChatRequest
	onChunk ChunkFunc
	result  Generation
	text    strings.Builder
	// finished is true once a chunk with a finish reason was passed on.
	finished bool
	// abort is the error by which onChunk ended the stream.
	abort error
}

// Generate implements Engine. A generation of which no chunk arrived is not
// resumed, because the engine may not hold it: the caller decides on a retry.
func (c *Client) Generate(ctx context.Context, target membership.Upstream, req engineapi.ChatRequest, onChunk ChunkFunc) (Generation, error) {
	req.Stream = true
	if req.RequestID == "" {
		req.RequestID = uuid.NewString()
	}
	g := &generation{client: c, target: target, req: req, onChunk: onChunk}
	err := g.run(ctx)
	g.result.Text = g.text.String()
	return g.result, err
}

// run streams until the generation is whole, resuming while it makes progress.
func (g *generation) run(ctx context.Context) error {
	err := g.attempt(ctx, g.client.sendPatiently)
	for tries := 0; err != nil && tries < maxResumes && g.resumable(ctx, err); tries++ {
		before := g.result.Tokens
		g.req.ResumeFrom = before
		g.result.FinishReason = ""
		err = g.attempt(ctx, g.client.sendFresh)
		if g.result.Tokens > before {
			tries = -1
		}
	}
	if g.abort != nil {
		return g.abort
	}
	return err
}

// resumable reports whether a new connection may continue the generation.
func (g *generation) resumable(ctx context.Context, err error) bool {
	if ctx.Err() != nil || g.abort != nil || g.result.Tokens == 0 {
		return false
	}
	var refused *refusal
	return !errors.As(err, &refused)
}

// sendPatiently is send for generations, whose first token may wait in the engine's queue.
func (c *Client) sendPatiently(ctx context.Context, target membership.Upstream, req *fasthttp.Request) (*checkout, error) {
	return c.send(ctx, target, req, c.pool.timing.ProgressTimeout)
}

type sendFunc func(ctx context.Context, target membership.Upstream, req *fasthttp.Request) (*checkout, error)

// attempt streams over one connection.
func (g *generation) attempt(ctx context.Context, send sendFunc) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := g.encode(req); err != nil {
		return err
	}
	co, err := send(ctx, g.target, req)
	if err != nil {
		return g.partial(err)
	}
	if err = g.client.readHeader(co.conn, req, resp); err != nil {
		co.abandon()
		return g.partial(g.client.broken(ctx, g.target, co.conn, err))
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return g.refused(ctx, co, resp)
	}
	if err = g.readStream(co, resp); err != nil {
		co.abandon()
		return g.client.broken(ctx, g.target, co.conn, err)
	}
	co.finish(&resp.Header)
	return nil
}

func (g *generation) encode(req *fasthttp.Request) error {
	body, err := json.Marshal(&g.req)
	if err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "completion request can't be encoded")
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(engineapi.PathChat)
	req.Header.SetContentType("application/json")
	req.Header.Set(engineapi.HeaderRequestID, g.req.RequestID)
	req.SetBodyRaw(body)
	g.client.prepare(req, g.target)
	return nil
}

// readStream reads the whole event stream into the generation.
func (g *generation) readStream(co *checkout, resp *fasthttp.Response) error {
	if !strings.HasPrefix(string(resp.Header.ContentType()), "text/event-stream") {
		return errNotEventStream
	}
	resp.StreamBody = true
	if err := resp.ReadBody(co.reader, 0); err != nil {
		return err
	}
	err := readEvents(resp.BodyStream(), g.add)
	closeErr := resp.CloseBodyStream()
	if err != nil {
		return err
	}
	if closeErr != nil {
		return closeErr
	}
	if g.result.FinishReason == "" {
		return errNoFinishReason
	}
	return nothingLeft(co.conn)
}

// add takes the next chunk into the result. A resumed stream repeats a finish
// reason whose end event was lost; it is passed on once.
func (g *generation) add(chunk engineapi.ChatChunk) error {
	if chunk.ID != g.req.RequestID {
		return errChunkID
	}
	if chunk.Offset != g.result.Tokens || chunk.Tokens < 0 || len(chunk.Choices) != 1 {
		return errOffset
	}
	if g.result.FinishReason != "" {
		return errTrailingBytes
	}
	if g.result.Tokens == 0 && chunk.PromptTokens > 0 {
		g.result.PromptTokens = chunk.PromptTokens
		g.result.CachedTokens = chunk.CachedTokens
	}
	choice := chunk.Choices[0]
	g.text.WriteString(choice.Delta.Content)
	g.result.Tokens += chunk.Tokens
	g.result.FinishReason = choice.FinishReason
	g.result.Segments = engineapi.AppendSegment(g.result.Segments, engineapi.Segment{WeightVersion: chunk.WeightVersion, Tokens: chunk.Tokens})
	if g.onChunk == nil || g.finished {
		return nil
	}
	g.finished = choice.FinishReason != ""
	g.abort = g.onChunk(chunk)
	return g.abort
}

// partial corrects the outcome of a failed attempt: once a chunk arrived, the engine did run the request.
func (g *generation) partial(err error) error {
	e := failure.As(err)
	if g.result.Tokens > 0 && e.Outcome == failure.NotRun {
		return failure.Wrap(err, failure.IncompleteAnswer, failure.Unknown, "generation on upstream %s broke off", g.target.ID)
	}
	return err
}

// refusal is an answer by which an engine declined a generation.
type refusal struct {
	Status int
	Body   string
}

// Error implements error.
func (r *refusal) Error() string { return "status " + fasthttp.StatusMessage(r.Status) + ": " + r.Body }

// maxRefusalText bounds the part of a refusal's body that is kept, in bytes.
const maxRefusalText = 512

// refused reads an error answer and turns it into a failure.
func (g *generation) refused(ctx context.Context, co *checkout, resp *fasthttp.Response) error {
	if err := readBody(co.conn, resp); err != nil {
		co.abandon()
		return g.partial(g.client.broken(ctx, g.target, co.conn, err))
	}
	co.finish(&resp.Header)
	if err := g.client.checkLeaving(g.target, resp); err != nil {
		return g.partial(err)
	}
	return g.client.refusedAnswer(g.target, resp)
}

// refusedAnswer turns an error status into a failure. Nothing but the leaving
// header promises that the upstream did not run the request.
func (c *Client) refusedAnswer(target membership.Upstream, resp *fasthttp.Response) error {
	body := resp.Body()
	cause := &refusal{Status: resp.StatusCode(), Body: string(body[:min(len(body), maxRefusalText)])}
	kind := failure.UpstreamFailed
	switch resp.StatusCode() {
	case fasthttp.StatusBadRequest, fasthttp.StatusUnprocessableEntity:
		kind = failure.InvalidRequest
	case fasthttp.StatusConflict:
		kind = failure.StaleFence
	case fasthttp.StatusGone:
		kind = failure.IncompleteAnswer
	}
	return failure.Wrap(cause, kind, failure.Unknown, "upstream %s answered status %d", target.ID, resp.StatusCode())
}
