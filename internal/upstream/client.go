package upstream

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

// Exchanger sends one request to one upstream and reads the whole answer.
//
// Errors are *failure.Error. The outcome NotRun means that no byte of the
// request was written to the upstream, or that a leaving upstream refused it;
// Unknown means that the upstream may have run it.
type Exchanger interface {
	// Do makes one attempt without retries. It fills resp with the answer, which
	// may have an error status.
	Do(ctx context.Context, target membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response) error
}

// Generation is the result of a streamed completion.
type Generation struct {
	Text string
	// Tokens is the number of generated tokens.
	Tokens int
	// Segments lists the weight versions that generated the tokens, in order.
	Segments []engineapi.Segment
	// FinishReason is empty until the generation is complete.
	FinishReason string
	PromptTokens int
	// CachedTokens is the number of prompt tokens found in the engine's cache.
	CachedTokens int
}

// ChunkFunc receives each chunk of a stream as it arrives. An error ends the stream.
type ChunkFunc func(chunk engineapi.ChatChunk) error

// Engine is the client of model engines. Errors are as for Exchanger.
type Engine interface {
	// Generate streams a completion. If the connection breaks after the first
	// token, it opens a new one to the same engine and resumes at the token offset
	// reached, while the engine keeps the generation. On failure it returns the
	// text generated so far along with the error. An error of onChunk is returned
	// unchanged.
	Generate(ctx context.Context, target membership.Upstream, req engineapi.ChatRequest, onChunk ChunkFunc) (Generation, error)
	// Cancel ends a generation by its request id.
	Cancel(ctx context.Context, target membership.Upstream, requestID string) error
	// Order sends an order to an engine.
	Order(ctx context.Context, target membership.Upstream, order engineapi.Order) error
	// Status reads an engine's status.
	Status(ctx context.Context, target membership.Upstream) (engineapi.Status, error)
	// Load reads an engine's load report.
	Load(ctx context.Context, target membership.Upstream) (engineapi.LoadReport, error)
	// CacheEvents reads the prefix cache events after a sequence number.
	CacheEvents(ctx context.Context, target membership.Upstream, after uint64) (engineapi.CacheEvents, error)
}
