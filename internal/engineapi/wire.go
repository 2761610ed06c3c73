package engineapi

// Paths of an engine's HTTP interface. All bodies are JSON.
const (
	// PathChat takes a ChatRequest; answers a ChatResponse, or server-sent ChatChunk events ended by "[DONE]".
	PathChat = "/v1/chat/completions"
	// PathCancel takes a CancelRequest.
	PathCancel = "/v1/cancel"
	// PathOrder takes an Order; answers 202, or 409 to a stale fencing number where the engine checks it.
	PathOrder = "/admin/order"
	// PathStatus answers a Status, read at the moment of the call.
	PathStatus = "/admin/status"
	// PathLoadReport answers a Load; it lags. Plain services answer it too.
	PathLoadReport = "/admin/load"
	// PathCacheEvents answers CacheEvents after the query parameter "after"; late and with gaps.
	PathCacheEvents = "/admin/cache-events"
)

// HeaderRequestID carries the request's id to the upstream and back in its answer.
const HeaderRequestID = "X-Request-Id"

// HeaderUpstreamState is set to UpstreamStateLeaving on the answers of an
// upstream that takes no new work.
const HeaderUpstreamState = "X-Upstream-State"

// UpstreamStateLeaving is the value of HeaderUpstreamState on refusals of an upstream that leaves.
const UpstreamStateLeaving = "leaving"

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Priorities of a ChatRequest; a larger number is served first.
const (
	PriorityRollout     = 0
	PriorityInteractive = 10
)

// ChatRequest asks for a completion.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	Seed      int64     `json:"seed,omitempty"`
	// RequestID identifies the generation for resuming and cancelling.
	RequestID string `json:"request_id,omitempty"`
	Priority  int    `json:"priority,omitempty"`
	// ResumeFrom is the number of tokens of RequestID that the caller already has.
	// The engine continues the generation it holds, and answers 410 if it no longer holds it.
	ResumeFrom int `json:"resume_from,omitempty"`
	// PriorText holds text of an earlier part of this generation, produced elsewhere,
	// that the engine must continue; PriorTokens is its length, in tokens. The answer holds only
	// what follows: offsets, segments, usage and MaxTokens do not count the prior tokens.
	PriorText   string `json:"prior,omitempty"`
	PriorTokens int    `json:"prior_tokens,omitempty"`
	// Extra holds the fields that are not named here.
	Extra Extra `json:"-"`
}

// ChatChunk is one server-sent event of a streamed completion.
type ChatChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	// WeightVersion is the version that produced this chunk's tokens.
	WeightVersion uint64 `json:"weight_version"`
	// Offset is the number of tokens of this answer before this chunk.
	Offset int `json:"offset"`
	// Tokens is the number of tokens in this chunk.
	Tokens int `json:"tokens"`
	// CachedTokens is the number of prompt tokens found in the prefix cache; on the first chunk only.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// PromptTokens is the number of prompt tokens; on the first chunk only.
	PromptTokens int `json:"prompt_tokens,omitempty"`
}

// ChunkChoice is the one choice of a ChatChunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Message `json:"delta"`
	FinishReason string  `json:"finish_reason,omitempty"`
}

// FinishReason values.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// StreamEnd is the data of the last event of a complete stream.
const StreamEnd = "[DONE]"

// ChatResponse is a whole completion.
type ChatResponse struct {
	ID       string       `json:"id"`
	Object   string       `json:"object"`
	Model    string       `json:"model"`
	Choices  []ChatChoice `json:"choices"`
	Usage    Usage        `json:"usage"`
	Segments []Segment    `json:"segments"`
}

// ChatChoice is the one choice of a ChatResponse.
type ChatChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage counts the tokens of a completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Segment is a run of tokens that one weight version produced.
type Segment struct {
	WeightVersion uint64 `json:"weight_version"`
	Tokens        int    `json:"tokens"`
}

// CancelRequest stops a generation.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// OrderKind says what an Order asks for.
type OrderKind string

// Kinds of orders. Orders are absolute, so repeating one has no further effect.
const (
	OrderLoadVersion OrderKind = "load-version"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderSetRole     OrderKind = "set-role"
)

// Order changes what an engine serves.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version uint64    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	// Fence is the fencing number of the lease under which the order is given.
	Fence uint64 `json:"fence"`
}

// Status is an engine's own account of what it runs.
type Status struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Model       string `json:"model"`
	// Version is the weight version that produces tokens now.
	Version uint64 `json:"version"`
	// LoadingVersion is the version being loaded; zero if none is.
	LoadingVersion uint64 `json:"loading_version"`
	// FailedVersion is the version whose last load failed; zero if none did.
	FailedVersion uint64 `json:"failed_version"`
	// Fence is the highest fencing number seen.
	Fence uint64 `json:"fence"`
	Role  string `json:"role"`
}

// LoadReport is an upstream's report of its load.
type LoadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the number of requests the upstream runs at once.
	Slots int `json:"slots"`
	// CacheUsed is the used part of the KV cache, 0 to 1.
	CacheUsed float64 `json:"cache_used"`
	// TokensPerSecond is the current rate of the whole replica.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// AgeMillis is the age of the report when it was answered, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// CacheEvent reports a prefix block stored in or evicted from the prefix cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Stored bool   `json:"stored"`
	// Block is a value of PrefixBlocks.
	Block uint64 `json:"block"`
}

// CacheEvents is a page of cache events. A gap in Seq means that events were lost.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}
