// Package standinapi holds the control interface of the stand-ins: faults are
// switched and execution records read over a control address of their own,
// which no fault touches.
package standinapi

// Paths of the control interface.
const (
	// PathFault takes a Fault by POST.
	PathFault = "/fault"
	// PathLog answers a LogResponse. The query parameter "after" leaves out that many entries from the start.
	PathLog = "/log"
	// PathCounters answers a CountersResponse.
	PathCounters = "/counters"
	// PathResults answers a trainer's TrainerResults.
	PathResults = "/results"
)

// FaultKind names a fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultDown closes the listener and all connections; off reopens it.
	FaultDown FaultKind = "down"
	// FaultSlow delays every answer by DelayMillis.
	FaultSlow FaultKind = "slow"
	// FaultReplyLost executes matching calls, then closes the connection without an answer.
	FaultReplyLost FaultKind = "reply-lost"
	// FaultFreeze stops reading, executing and answering; off continues where it stopped.
	FaultFreeze FaultKind = "freeze"
	// FaultCrashOnMatch ends the process when a request whose body contains Match starts to run.
	FaultCrashOnMatch FaultKind = "crash-on"
	// FaultSilentConnections makes established connections swallow all bytes without an answer; new connections work.
	FaultSilentConnections FaultKind = "silent"
	// FaultWeightLoadFailure makes a weight load fail after part of it.
	FaultWeightLoadFailure FaultKind = "swap-fails"
	// FaultIgnoreFencing makes an engine obey orders with an old fencing number.
	FaultIgnoreFencing FaultKind = "ignore-fencing"
	// FaultTruncateResponse closes the connection after Bytes of an answer.
	FaultTruncateResponse FaultKind = "cut-answer"
	// FaultWrongRequestID answers with another request's id.
	FaultWrongRequestID FaultKind = "wrong-id"
	// FaultResetConnection closes each connection before reading the request.
	FaultResetConnection FaultKind = "reset-before"
	// FaultLeaving makes the upstream refuse new work with the leaving header.
	FaultLeaving FaultKind = "leaving"
	// FaultUnavailable answers matching requests with status 503 without executing them.
	FaultUnavailable FaultKind = "unavailable"
	// FaultReportLag sets the delay of the membership list, load reports or cache events to DelayMillis.
	FaultReportLag FaultKind = "lag"
)

// Fault switches one fault.
type Fault struct {
	Kind FaultKind `json:"kind"`
	On   bool      `json:"on"`
	// DelayMillis applies to Slow and Lag, in milliseconds.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// Match restricts the fault to requests whose path or body contains it; empty matches all.
	Match string `json:"match,omitempty"`
	// Count ends the fault after so many uses; zero means until switched off.
	Count int `json:"count,omitempty"`
	// Bytes applies to CutAnswer: the length of the body that is still sent.
	Bytes int `json:"bytes,omitempty"`
}

// LogEntry records one execution, written when it starts.
type LogEntry struct {
	AtMillis  int64  `json:"at_ms"`
	RequestID string `json:"request_id,omitempty"`
	// Key is the request's Idempotency-Key.
	Key    string `json:"key,omitempty"`
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// BodyHash is the xxhash of the request body, in hexadecimal.
	BodyHash string `json:"body_hash,omitempty"`
	// Version is the weight version at an engine when a segment started or a load ended.
	Version uint64 `json:"version,omitempty"`
	// Offset is the first token of the segment at Version.
	Offset int `json:"offset,omitempty"`
	// Generation identifies what an engine generates by its prompt and seed, in hexadecimal.
	Generation string `json:"generation,omitempty"`
	// Event is "run", "segment", "order", "loaded", "load-failed", "finish", "cancel", "step", "sample".
	Event string `json:"event"`
	// Detail holds event-specific text, such as a sample's id.
	Detail string `json:"detail,omitempty"`
}

// LogResponse is the whole record since the process started.
type LogResponse struct {
	Entries []LogEntry `json:"entries"`
}

// CountersResponse holds what a stand-in counted since it started.
type CountersResponse struct {
	// Reads and Writes count the calls to a platform's table.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// RowsRead and RowsWritten count the rows of these calls.
	RowsRead    uint64 `json:"rows_read"`
	RowsWritten uint64 `json:"rows_written"`
	// Conflicts counts transactions whose check did not hold.
	Conflicts uint64 `json:"conflicts"`
	// ObjectReads and ObjectWrites count the calls to a platform's object store.
	ObjectReads  uint64 `json:"object_reads"`
	ObjectWrites uint64 `json:"object_writes"`
	// MemberCalls counts the calls to a platform's membership list.
	MemberCalls uint64 `json:"member_calls"`
	// Requests counts the requests that an upstream took.
	Requests uint64 `json:"requests"`
	// Tokens counts the tokens that an engine generated.
	Tokens uint64 `json:"tokens"`
	// PromptTokens and CachedTokens count prompt tokens, and those found in an engine's prefix cache.
	PromptTokens uint64 `json:"prompt_tokens"`
	CachedTokens uint64 `json:"cached_tokens"`
	// BusySlotMillis sums the time that each of an engine's or service's slots was taken, in milliseconds.
	BusySlotMillis int64 `json:"busy_slot_ms"`
}

// Echo is the answer of a plain service stand-in.
type Echo struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id,omitempty"`
	Key       string `json:"key,omitempty"`
	// BodyHash is the xxhash of the request body, in hexadecimal.
	BodyHash string `json:"body_hash"`
	Body     string `json:"body"`
}

// TrainerResults is a trainer stand-in's account of its steps.
type TrainerResults struct {
	Trainer string       `json:"trainer"`
	Steps   []StepResult `json:"steps"`
	// Duplicates lists sample ids that arrived in two steps, or twice in one.
	Duplicates []string `json:"duplicates"`
	// ChangedSteps lists steps whose second fetch differed from the first.
	ChangedSteps []uint64 `json:"changed"`
	// AbandonedSteps lists steps that were given up because their samples grew too old before they arrived.
	AbandonedSteps []uint64 `json:"lost,omitempty"`
	// Problems lists what was wrong with samples, such as a text that does not belong to its prompt.
	Problems []string `json:"problems"`
	// Refusals counts the refused or failed calls to hosts, which the trainer repeated.
	Refusals int  `json:"refusals"`
	Finished bool `json:"finished"`
}

// StepResult is one step as a trainer saw it.
type StepResult struct {
	Step    uint64 `json:"step"`
	Samples int    `json:"samples"`
	// IdleMillis is the time the trainer waited without work, in milliseconds.
	IdleMillis int64 `json:"idle_ms"`
	// WholeMillis is the time from the step's request until all its samples were there, in milliseconds.
	WholeMillis int64 `json:"whole_ms"`
	// Newest is the newest published weight version when the samples were asked for last.
	Newest uint64 `json:"newest"`
	// Staleness holds the number of samples by the difference between Newest and their oldest version.
	Staleness map[uint64]int `json:"staleness"`
	// MaxStaleness is the largest key of Staleness.
	MaxStaleness uint64 `json:"max_staleness"`
	// Delivered lists the samples in brief.
	Delivered []DeliveredSample `json:"delivered"`
}

// DeliveredSample is one sample in brief.
type DeliveredSample struct {
	ID         string `json:"id"`
	Generation string `json:"generation"`
	// Tokens is the number of tokens in the text.
	Tokens int `json:"tokens"`
	// Versions names the weight versions of the text's segments, with the number of tokens of each.
	Versions []VersionTokens `json:"versions"`
}

// VersionTokens is one segment of a delivered sample.
type VersionTokens struct {
	Version uint64 `json:"version"`
	Tokens  int    `json:"tokens"`
}
