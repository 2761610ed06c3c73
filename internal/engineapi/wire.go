package engineapi

// Paths of an engine's HTTP interface. All bodies are JSON.
const (
	// PathChat takes a ChatRequest. It returns a ChatResponse or, for a stream, server-sent ChatChunk events that end with StreamEnd.
	PathChat = "/v1/chat/completions"
	// PathCancel takes a CancelRequest.
	PathCancel = "/v1/cancel"
	// PathOrder takes an Order. It returns 202 before the order is carried out, or 409 if the engine checks fencing tokens and this one is outdated.
	PathOrder = "/admin/order"
	// PathStatus returns the current Status.
	PathStatus = "/admin/status"
	// PathLoadReport answers a Load; it lags. Plain services answer it too.
	PathLoadReport = "/admin/load"
	// PathCacheEvents returns the CacheEvents with a Seq above the query parameter "after". Events may be late or missing.
	PathCacheEvents = "/admin/cache-events"
)

// HeaderRequestID holds the request id. The upstream copies it to the response,
// where a different id shows that the response belongs to another request.
const HeaderRequestID = "X-Request-Id"

// HeaderUpstreamState is set to UpstreamStateLeaving on the responses of an
// upstream that shuts down and refuses new requests.
const HeaderUpstreamState = "X-Upstream-State"

// UpstreamStateLeaving is the value of HeaderUpstreamState when an upstream shuts down.
const UpstreamStateLeaving = "leaving"

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Priorities of a ChatRequest. Requests with a higher number are served first.
const (
	PriorityRollout     = 0
	PriorityInteractive = 10
)

// ChatRequest requests a completion.
type ChatRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	// MaxTokens bounds the generated tokens. Zero leaves the bound to the engine.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Stream requests server-sent events instead of one response.
	Stream bool  `json:"stream,omitempty"`
	Seed   int64 `json:"seed,omitempty"`
	// RequestID identifies the generation in later requests that resume or cancel it.
	RequestID string `json:"request_id,omitempty"`
	// Priority is PriorityRollout or PriorityInteractive.
	Priority int `json:"priority,omitempty"`
	// ResumeFrom is the number of tokens of generation RequestID that the client
	// has already received. The engine continues after them, or returns 410 if it
	// no longer keeps the generation.
	ResumeFrom int `json:"resume_from,omitempty"`
	// PriorText holds text of an earlier part of this generation, produced elsewhere,
	// that the engine must continue; PriorTokens is its length, in tokens. The answer holds only
	// what follows: offsets, segments, usage and MaxTokens do not count the prior tokens.
	PriorText   string `json:"prior,omitempty"`
	PriorTokens int    `json:"prior_tokens,omitempty"`
	// Extra holds the other fields of the JSON object.
	Extra Extra `json:"-"`
}

// ChatChunk is one server-sent event of a streamed completion. All its tokens
// come from one weight version.
type ChatChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	// WeightVersion is the weight version that generated the tokens of this chunk.
	WeightVersion uint64 `json:"weight_version"`
	// Offset is the number of generated tokens before this chunk, prior tokens excluded.
	Offset int `json:"offset"`
	// Tokens is the number of tokens in this chunk.
	Tokens int `json:"tokens"`
	// CachedTokens is the number of prompt tokens found in the prefix cache. It is set on the first chunk only.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// PromptTokens is the number of prompt tokens. It is set on the first chunk only.
	PromptTokens int `json:"prompt_tokens,omitempty"`
}

// ChunkChoice is the only choice of a ChatChunk.
type ChunkChoice struct {
	Index int     `json:"index"`
	Delta Message `json:"delta"`
	// FinishReason is set on the last chunk only.
	FinishReason string `json:"finish_reason,omitempty"`
}

// Values of FinishReason.
const (
	// FinishStop means that the model ended the completion.
	FinishStop = "stop"
	// FinishLength means that the completion reached MaxTokens.
	FinishLength = "length"
)

// StreamEnd is the data of the last event of a complete stream.
const StreamEnd = "[DONE]"

// ChatResponse is a complete completion that was not streamed.
type ChatResponse struct {
	ID       string       `json:"id"`
	Object   string       `json:"object"`
	Model    string       `json:"model"`
	Choices  []ChatChoice `json:"choices"`
	Usage    Usage        `json:"usage"`
	Segments []Segment    `json:"segments"`
}

// ChatChoice is the only choice of a ChatResponse.
type ChatChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage holds the token counts of a completion.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
	// CompletionTokens is the number of generated tokens, prior tokens excluded.
	CompletionTokens int `json:"completion_tokens"`
}

// Segment is a sequence of consecutive tokens generated by one weight version.
type Segment struct {
	WeightVersion uint64 `json:"weight_version"`
	Tokens        int    `json:"tokens"`
}

// CancelRequest cancels a generation.
type CancelRequest struct {
	// RequestID is the RequestID of the ChatRequest.
	RequestID string `json:"request_id"`
}

// OrderKind is the kind of an Order.
type OrderKind string

// Kinds of orders. Orders are absolute, so repeating one has no further effect.
const (
	OrderLoadVersion OrderKind = "load-version"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderSetRole     OrderKind = "set-role"
)

// Order sets what an engine serves.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Model string    `json:"model,omitempty"`
	// Version is the weight version to load.
	Version uint64 `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the fencing token of the lease under which the order is sent.
	Fence uint64 `json:"fence"`
}

// Status is the state of an engine as the engine reports it.
type Status struct {
	ID string `json:"id"`
	// Incarnation identifies the engine's process. It changes with each restart.
	Incarnation string `json:"incarnation"`
	Model       string `json:"model"`
	// Version is the weight version in use.
	Version uint64 `json:"version"`
	// LoadingVersion is the version being loaded. Zero means that no load is in progress.
	LoadingVersion uint64 `json:"loading_version"`
	// FailedVersion is the version of the last load if that load failed, else zero.
	FailedVersion uint64 `json:"failed_version"`
	// Fence is the highest fencing token that the engine has seen.
	Fence uint64 `json:"fence"`
	Role  string `json:"role"`
}

// LoadReport is an upstream's report of its load.
type LoadReport struct {
	// Running and Waiting are the numbers of requests that run and that wait for a slot.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the number of requests that the upstream runs at the same time.
	Slots int `json:"slots"`
	// CacheUsed is the fraction of the KV cache in use, 0 to 1.
	CacheUsed float64 `json:"cache_used"`
	// TokensPerSecond is the current token rate over all requests.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// AgeMillis is the age of the report when the response was sent, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// CacheEvent reports that a prefix block was stored in the prefix cache or evicted from it.
type CacheEvent struct {
	// Seq numbers the events of an incarnation.
	Seq uint64 `json:"seq"`
	// Stored is true for a stored block and false for an evicted one.
	Stored bool `json:"stored"`
	// Block is a hash as returned by PrefixBlocks.
	Block uint64 `json:"block"`
}

// CacheEvents is a page of cache events in order of Seq. A gap in Seq means that events were lost.
type CacheEvents struct {
	// Incarnation is that of the engine, as in Status.
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}
