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
	"github.com/sapphirehatch/sapphirehatch/internal/intake"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

const (
	// maxTextBytes bounds the text of a completion, and maxTokenBytes that of a token on average.
	// The longest tokens of common vocabularies have 128 bytes.
	maxTextBytes  = 16 << 20
	maxTokenBytes = 1 << 10
	// firstTextBytes is the part of a text that needs no tokens and is not charged to an account.
	firstTextBytes = 64 << 10
)

// maxResumes bounds the consecutive resumes of a generation that yield no new token.
const maxResumes = 2

// generation collects the result of one generation over several connections.
type generation struct {
	client  *Client
	target  membership.Upstream
	req     engineapi.ChatRequest
	onChunk ChunkFunc
	result  Generation
	text    strings.Builder
	// account is charged with the text; it may be nil. charged is the size of the text up to
	// which that was done, in bytes.
	account *intake.Account
	charged int
	// finishSent is true once a chunk with a finish reason was passed to onChunk.
	finishSent bool
	// callbackErr is the error with which onChunk ended the stream.
	callbackErr error
}

// Generate implements Engine. A generation that failed before its first token
// is not resumed, because the engine may not know it; the caller may retry it.
func (c *Client) Generate(ctx context.Context, target membership.Upstream, req engineapi.ChatRequest, onChunk ChunkFunc) (Generation, error) {
	req.Stream = true
	if req.RequestID == "" {
		req.RequestID = uuid.NewString()
	}
	g := &generation{client: c, target: target, req: req, onChunk: onChunk, account: intake.AccountOf(ctx), charged: firstTextBytes}
	err := g.run(ctx)
	g.result.Text = g.text.String()
	return g.result, err
}

// run streams until the generation is complete, and resumes it while it makes progress.
func (g *generation) run(ctx context.Context) error {
	err := g.attempt(ctx, g.client.sendWithFullTimeout)
	for tries := 0; err != nil && tries < maxResumes && g.resumable(ctx, err); tries++ {
		before := g.result.Tokens
		g.req.ResumeFrom = before
		g.result.FinishReason = ""
		err = g.attempt(ctx, g.client.sendOnNewConn)
		if g.result.Tokens > before {
			tries = -1
		}
	}
	if g.callbackErr != nil {
		return g.callbackErr
	}
	return err
}

// resumable reports whether a new connection may continue the generation.
func (g *generation) resumable(ctx context.Context, err error) bool {
	if ctx.Err() != nil || g.callbackErr != nil || g.result.Tokens == 0 || errors.Is(err, intake.ErrNoMemory) {
		return false
	}
	var refused *statusError
	return !errors.As(err, &refused)
}

// sendWithFullTimeout is send without the shorter timeout for reused
// connections: the first token may be delayed by the engine's queue.
func (c *Client) sendWithFullTimeout(ctx context.Context, target membership.Upstream, req *fasthttp.Request) (*activeConn, error) {
	return c.send(ctx, target, req, c.pool.timing.ProgressTimeout)
}

type sendFunc func(ctx context.Context, target membership.Upstream, req *fasthttp.Request) (*activeConn, error)

// attempt streams over one connection.
func (g *generation) attempt(ctx context.Context, send sendFunc) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := g.encode(req); err != nil {
		return err
	}
	ac, err := send(ctx, g.target, req)
	if err != nil {
		return g.correctOutcome(err)
	}
	if err = g.client.readHeader(ac.conn, req, resp); err != nil {
		ac.discard()
		return g.correctOutcome(g.client.classifyFailure(ctx, g.target, req, ac.conn, err))
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return g.readStatusError(ctx, ac, req, resp)
	}
	if err = g.readStream(ac, resp); err != nil {
		ac.discard()
		return g.client.classifyFailure(ctx, g.target, req, ac.conn, err)
	}
	ac.release(&resp.Header)
	return nil
}

func (g *generation) encode(req *fasthttp.Request) error {
	body, err := json.Marshal(&g.req)
	if err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "completion request cannot be encoded")
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
func (g *generation) readStream(ac *activeConn, resp *fasthttp.Response) error {
	if !strings.HasPrefix(string(resp.Header.ContentType()), "text/event-stream") {
		return errNotEventStream
	}
	stream, err := bodyStream(ac.conn, resp)
	if err != nil {
		return err
	}
	err = readEvents(stream, g.account, g.add)
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
	return checkDrained(ac.conn)
}

// add checks the next chunk, appends it to the result and passes it to onChunk. A
// resumed stream may repeat the finish reason if only the end event was lost;
// onChunk gets it once.
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
	if err := g.charge(len(choice.Delta.Content), chunk.Tokens); err != nil {
		return err
	}
	g.text.WriteString(choice.Delta.Content)
	g.result.Tokens += chunk.Tokens
	g.result.FinishReason = choice.FinishReason
	g.result.Segments = engineapi.AppendSegment(g.result.Segments, engineapi.Segment{WeightVersion: chunk.WeightVersion, Tokens: chunk.Tokens})
	if g.onChunk == nil || g.finishSent {
		return nil
	}
	g.finishSent = choice.FinishReason != ""
	g.callbackErr = g.onChunk(chunk)
	return g.callbackErr
}

// charge charges the account before n bytes of a number of tokens are added to the text. They
// stay charged until the request that has the account ends.
func (g *generation) charge(n, tokens int) error {
	size := g.text.Len() + n
	if size > maxTextBytes || (size-firstTextBytes)/maxTokenBytes > g.result.Tokens+tokens {
		return errTextTooLong
	}
	for size > g.charged {
		if !g.account.TryReserve(int64(g.charged)) {
			return intake.ErrNoMemory
		}
		g.charged *= 2
	}
	return nil
}

// correctOutcome replaces the outcome NotRun of a failed resume by Unknown, with
// the kind IncompleteAnswer: tokens that arrived earlier show that the engine ran
// the request.
func (g *generation) correctOutcome(err error) error {
	e := failure.As(err)
	if g.result.Tokens > 0 && e.Outcome == failure.NotRun {
		return failure.Wrap(err, failure.IncompleteAnswer, failure.Unknown, "generation on upstream %s was interrupted and could not be resumed", g.target.ID)
	}
	return err
}

// statusError is the cause of a failure by an answer with an error status.
type statusError struct {
	Status int
	Body   string
}

// Error implements error.
func (r *statusError) Error() string {
	return "status " + fasthttp.StatusMessage(r.Status) + ": " + r.Body
}

// maxStatusErrorBytes bounds the part of the answer's body that is kept.
const maxStatusErrorBytes = 512

// readStatusError reads an answer with a status other than 200 and returns its failure.
func (g *generation) readStatusError(ctx context.Context, ac *activeConn, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := readBody(WithMaxAnswer(ctx, SmallAnswerBytes), ac.conn, resp); err != nil {
		ac.discard()
		return g.correctOutcome(g.client.classifyFailure(ctx, g.target, req, ac.conn, err))
	}
	ac.release(&resp.Header)
	if err := g.client.checkLeaving(g.target, resp); err != nil {
		return g.correctOutcome(err)
	}
	return g.client.statusFailure(g.target, resp)
}

// statusFailure returns the failure for an error status. Its outcome is
// Unknown: only the leaving header guarantees that the request was not run.
func (c *Client) statusFailure(target membership.Upstream, resp *fasthttp.Response) error {
	body := resp.Body()
	cause := &statusError{Status: resp.StatusCode(), Body: string(body[:min(len(body), maxStatusErrorBytes)])}
	kind := failure.UpstreamFailed
	switch resp.StatusCode() {
	case fasthttp.StatusBadRequest, fasthttp.StatusUnprocessableEntity:
		kind = failure.InvalidRequest
	case fasthttp.StatusConflict:
		kind = failure.StaleFencingToken
	case fasthttp.StatusGone:
		kind = failure.IncompleteAnswer
	}
	return failure.Wrap(cause, kind, failure.Unknown, "upstream %s answered status %d", target.ID, resp.StatusCode())
}
