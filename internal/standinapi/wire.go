// Package standinapi defines the control interface of stand-ins. A stand-in is a
// simulated platform, engine, service, scorer or trainer, as used by the tests, the
// load tool and the demonstration. Clients switch faults on and off and read what a
// stand-in recorded. The interface has an address of its own, to which no fault
// applies.
package standinapi

// Paths of the control interface. All bodies are JSON.
const (
	// PathFault accepts a Fault by POST and returns the list of active faults by GET.
	PathFault = "/fault"
	// PathLog returns a LogResponse. The query parameter "after" skips that many entries from the start.
	PathLog = "/log"
	// PathCounters returns a CountersResponse.
	PathCounters = "/counters"
	// PathResults returns the TrainerResults of a trainer.
	PathResults = "/results"
)

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultDown closes the listener and all connections. When it is switched off, the listener is opened again.
	FaultDown FaultKind = "down"
	// FaultSlow delays the responses to matching requests by DelayMillis.
	FaultSlow FaultKind = "slow"
	// FaultReplyLost executes matching requests, then closes the connection without a response.
	FaultReplyLost FaultKind = "reply-lost"
	// FaultFreeze suspends the stand-in, like SIGSTOP. When it is switched off, the stand-in continues where it stopped.
	FaultFreeze FaultKind = "freeze"
	// FaultCrashOnMatch ends the process when the execution of a matching request starts.
	FaultCrashOnMatch FaultKind = "crash-on"
	// FaultSilentConnections makes the open connections discard all bytes in both directions without closing. New connections work.
	FaultSilentConnections FaultKind = "silent"
	// FaultWeightLoadFailure makes an engine's load of weights fail after a part of them.
	FaultWeightLoadFailure FaultKind = "swap-fails"
	// FaultIgnoreFencing makes an engine accept each engineapi.Order, also with an outdated fencing token.
	FaultIgnoreFencing FaultKind = "ignore-fencing"
	// FaultTruncateResponse closes the connection after Bytes of the body of the response to a matching request.
	FaultTruncateResponse FaultKind = "cut-answer"
	// FaultWrongRequestID responds to matching requests with the id of another request.
	FaultWrongRequestID FaultKind = "wrong-id"
	// FaultResetConnection resets each new connection before a request is read.
	FaultResetConnection FaultKind = "reset-before"
	// FaultLeaving makes an upstream refuse new requests as if it were leaving, with the header engineapi.HeaderUpstreamState.
	FaultLeaving FaultKind = "leaving"
	// FaultUnavailable responds to matching requests with status 503 and does not execute them.
	FaultUnavailable FaultKind = "unavailable"
	// FaultReportLag sets the delay of a platform's membership list, or of an engine's load reports and cache events, to DelayMillis.
	FaultReportLag FaultKind = "lag"
)

// Fault switches one fault on or off.
type Fault struct {
	Kind FaultKind `json:"kind"`
	On   bool      `json:"on"`
	// DelayMillis is the delay of FaultSlow and FaultReportLag, in milliseconds.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// Match restricts a fault with matching requests to those whose path or body contains this text. Empty matches all requests.
	// Leave Match empty for the other faults.
	Match string `json:"match,omitempty"`
	// Count is the number of matching requests that the fault affects before it ends; of connections for
	// FaultResetConnection, and of loads for FaultWeightLoadFailure. The other faults without matching requests ignore it.
	// Zero keeps the fault on until it is switched off.
	Count int `json:"count,omitempty"`
	// Bytes is the number of body bytes that FaultTruncateResponse lets through.
	Bytes int `json:"bytes,omitempty"`
}

// LogEntry is one event in the execution log of a stand-in. The entry of a
// request is written when its execution starts, before any response.
type LogEntry struct {
	// AtMillis is when the entry was written, in milliseconds since the Unix epoch.
	AtMillis int64 `json:"at_ms"`
	// RequestID is the request's X-Request-Id.
	RequestID string `json:"request_id,omitempty"`
	// Key is the request's Idempotency-Key.
	Key    string `json:"key,omitempty"`
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// BodyHash is the xxhash of the request body, in hexadecimal.
	BodyHash string `json:"body_hash,omitempty"`
	// Version is the weight version that the event is about. For a trainer's
	// "step" it is the newest published version.
	Version uint64 `json:"version,omitempty"`
	// Offset is the index of the first token of a "segment", and the length of the
	// text at the other events of a generation, in tokens, prior text included.
	Offset int `json:"offset,omitempty"`
	// Generation is a hash of the prompt and the seed, in hexadecimal, which determine the text that an engine generates.
	Generation string `json:"generation,omitempty"`
	// Event is one of
	//   - "run": the execution of a request started;
	//   - "segment": a weight version generated its first token of a text;
	//   - "finish" or "cancel": a text is complete, or was cancelled;
	//   - "order": an engine accepted or refused an engineapi.Order;
	//   - "loaded" or "load-failed": a weight version came into use, or its load failed;
	//   - "step" or "sample": a trainer received a complete step, or one of its samples.
	Event string `json:"event"`
	// Detail is text that depends on the event, such as the id of a sample.
	Detail string `json:"detail,omitempty"`
}

// LogResponse holds entries of an execution log, oldest first. A stand-in with
// a log file includes the entries of earlier processes.
type LogResponse struct {
	Entries []LogEntry `json:"entries"`
}

// CountersResponse holds the counters of a stand-in since its process started.
// Counters that do not apply to a kind of stand-in are zero.
type CountersResponse struct {
	// Reads and Writes count the calls to a platform's table and row store.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// RowsRead and RowsWritten count the rows of the calls to the table.
	RowsRead    uint64 `json:"rows_read"`
	RowsWritten uint64 `json:"rows_written"`
	// Conflicts counts the transactions of the table that failed one of their checks.
	Conflicts uint64 `json:"conflicts"`
	// ObjectReads and ObjectWrites count the calls to a platform's object store.
	ObjectReads  uint64 `json:"object_reads"`
	ObjectWrites uint64 `json:"object_writes"`
	// MemberCalls counts the calls to a platform's membership list.
	MemberCalls uint64 `json:"member_calls"`
	// Requests counts the requests that an upstream accepted.
	Requests uint64 `json:"requests"`
	// Tokens counts the tokens that an engine generated.
	Tokens uint64 `json:"tokens"`
	// PromptTokens counts the prompt tokens of an engine's requests, and CachedTokens those found in its prefix cache.
	PromptTokens uint64 `json:"prompt_tokens"`
	CachedTokens uint64 `json:"cached_tokens"`
	// BusySlotMillis is the time that slots of an engine or service were in use, summed over the slots, in milliseconds.
	BusySlotMillis int64 `json:"busy_slot_ms"`
}

// Echo is the response of a plain service stand-in. It repeats the request.
type Echo struct {
	// Service is the name of the service in the deployment document.
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id,omitempty"`
	// Key is the request's Idempotency-Key.
	Key string `json:"key,omitempty"`
	// BodyHash is the xxhash of the request body, in hexadecimal.
	BodyHash string `json:"body_hash"`
	Body     string `json:"body"`
}

// TrainerResults is what a trainer stand-in recorded about its steps.
type TrainerResults struct {
	Trainer string       `json:"trainer"`
	Steps   []StepResult `json:"steps"`
	// Duplicates lists the ids of samples that were delivered more than once, in one step or in several.
	Duplicates []string `json:"duplicates"`
	// ChangedSteps lists the steps for which a second fetch returned other samples than the first.
	ChangedSteps []uint64 `json:"changed"`
	// CancelledSteps lists the steps that the trainer cancelled because their samples exceeded the staleness bound before they reached it.
	CancelledSteps []uint64 `json:"lost,omitempty"`
	// Problems describes errors found in samples, such as a text that does not match its prompt.
	Problems []string `json:"problems"`
	// FailedCalls counts the calls to hosts that failed or were refused, and after which the trainer tried the next host.
	FailedCalls int `json:"refusals"`
	// Finished is true once all steps are done.
	Finished bool `json:"finished"`
}

// StepResult is what a trainer recorded about one step.
type StepResult struct {
	Step uint64 `json:"step"`
	// Samples is the number of delivered samples.
	Samples int `json:"samples"`
	// IdleMillis is the time that the trainer waited for the samples, in milliseconds.
	IdleMillis int64 `json:"idle_ms"`
	// CompleteMillis has the same value as IdleMillis, also for a step that was requested in advance.
	CompleteMillis int64 `json:"whole_ms"`
	// Newest is the newest published weight version when the request that returned the samples was sent.
	Newest uint64 `json:"newest"`
	// Staleness maps a staleness to the number of samples that have it. The
	// staleness of a sample is the difference between Newest and its oldest
	// weight version.
	Staleness map[uint64]int `json:"staleness"`
	// MaxStaleness is the largest key of Staleness.
	MaxStaleness uint64 `json:"max_staleness"`
	// Delivered summarizes the samples.
	Delivered []DeliveredSample `json:"delivered"`
}

// DeliveredSample summarizes one sample.
type DeliveredSample struct {
	ID string `json:"id"`
	// Generation is the generation id of the text, as in LogEntry.
	Generation string `json:"generation"`
	// Tokens is the number of tokens in the text.
	Tokens int `json:"tokens"`
	// Versions lists the weight versions that generated the text, in order, with the number of tokens of each.
	Versions []VersionTokens `json:"versions"`
}

// VersionTokens is the number of tokens that one weight version generated.
type VersionTokens struct {
	Version uint64 `json:"version"`
	Tokens  int    `json:"tokens"`
}
