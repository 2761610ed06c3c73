package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Outcome tells whether a failed request was executed, which decides whether it is safe to repeat it.
type Outcome string

// Outcomes of a failed request.
const (
	// NotRun means that the request was not executed. It is safe to repeat it.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have executed the request.
	Unknown Outcome = "unknown"
	// Ran means that an upstream executed the request, but its response is lost.
	Ran Outcome = "ran"
)

// Kind is the type of an Error. Its values are stable and part of the API.
type Kind string

// Kinds of failure.
const (
	InvalidRequest  Kind = "invalid_request"
	InvalidDocument Kind = "invalid_document"
	InvalidSettings Kind = "invalid_settings"
	Unauthorized    Kind = "unauthorized"
	Forbidden       Kind = "forbidden"
	NotFound        Kind = "not_found"
	BodyTooLarge    Kind = "body_too_large"
	HeaderTooLarge  Kind = "header_too_large"
	// NotReceived means that a request was not received completely in time.
	NotReceived Kind = "not_received"
	// Overloaded means that a host has no memory for a request.
	Overloaded Kind = "overloaded"
	Conflict   Kind = "conflict"
	// KeyReused means that the idempotency key was used for another request.
	KeyReused Kind = "idempotency_key_reused"
	// KeyExpired means that the idempotency key is too old to tell whether its request was executed.
	KeyExpired       Kind = "idempotency_key_expired"
	QuotaExceeded    Kind = "quota_exceeded"
	QueueFull        Kind = "queue_full"
	DeadlineExceeded Kind = "deadline_exceeded"
	// Quarantined means that upstreams have crashed while they executed the request.
	Quarantined Kind = "quarantined"
	// NoUpstream means that no upstream can take the request.
	NoUpstream Kind = "no_upstream"
	// CapacityUnavailable means that the control API has no replica of the ordered kind to give at the moment.
	CapacityUnavailable Kind = "capacity_unavailable"
	// UpstreamUnreachable means that an upstream cannot be reached or is leaving.
	UpstreamUnreachable Kind = "upstream_unreachable"
	// UpstreamFailed means that an upstream did not answer, or answered with an error.
	UpstreamFailed Kind = "upstream_failed"
	// IncompleteAnswer means that an answer is truncated or malformed.
	IncompleteAnswer Kind = "incomplete_answer"
	// OutcomeUnknown means that the request may have been executed earlier, but its answer is not known.
	OutcomeUnknown   Kind = "outcome_unknown"
	StoreUnavailable Kind = "store_unavailable"
	// StoreInDoubt means that a write may or may not have been applied.
	StoreInDoubt Kind = "store_in_doubt"
	// HistoryLost means that the store no longer has the requested changes.
	HistoryLost Kind = "history_lost"
	// NotReady means that this host has not received the configuration or the
	// membership list yet, or has no contact with all hosts that the request needs.
	NotReady Kind = "not_ready"
	// Draining means that the host or upstream is stopping and accepts no new requests.
	Draining Kind = "draining"
	// Isolated means that the host has contact with neither the platform nor its peers.
	Isolated  Kind = "isolated"
	LeaseLost Kind = "lease_lost"
	// StaleFencingToken means that the receiver has already seen a higher fencing token.
	StaleFencingToken Kind = "stale_fence"
	PeerUnreachable   Kind = "peer_unreachable"
	// SamplesStale means that the samples have passed the staleness bound.
	SamplesStale Kind = "samples_stale"
	Internal     Kind = "internal"
)

var statusByKind = map[Kind]int{
	InvalidRequest:      http.StatusBadRequest,
	InvalidDocument:     http.StatusUnprocessableEntity,
	InvalidSettings:     http.StatusUnprocessableEntity,
	Unauthorized:        http.StatusUnauthorized,
	Forbidden:           http.StatusForbidden,
	NotFound:            http.StatusNotFound,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	HeaderTooLarge:      http.StatusRequestHeaderFieldsTooLarge,
	NotReceived:         http.StatusRequestTimeout,
	Overloaded:          http.StatusServiceUnavailable,
	Conflict:            http.StatusConflict,
	KeyReused:           http.StatusConflict,
	KeyExpired:          http.StatusConflict,
	QuotaExceeded:       http.StatusTooManyRequests,
	QueueFull:           http.StatusServiceUnavailable,
	DeadlineExceeded:    http.StatusGatewayTimeout,
	Quarantined:         http.StatusUnprocessableEntity,
	NoUpstream:          http.StatusServiceUnavailable,
	CapacityUnavailable: http.StatusConflict,
	UpstreamUnreachable: http.StatusBadGateway,
	UpstreamFailed:      http.StatusBadGateway,
	IncompleteAnswer:    http.StatusBadGateway,
	OutcomeUnknown:      http.StatusBadGateway,
	StoreUnavailable:    http.StatusServiceUnavailable,
	StoreInDoubt:        http.StatusServiceUnavailable,
	HistoryLost:         http.StatusGone,
	NotReady:            http.StatusServiceUnavailable,
	Draining:            http.StatusServiceUnavailable,
	Isolated:            http.StatusServiceUnavailable,
	LeaseLost:           http.StatusConflict,
	StaleFencingToken:   http.StatusConflict,
	PeerUnreachable:     http.StatusBadGateway,
	SamplesStale:        http.StatusConflict,
	Internal:            http.StatusInternalServerError,
}

// Error is a typed error, and the JSON body of error responses. Some APIs add
// fields to it, such as adminapi.ErrorResponse.
type Error struct {
	// Kind classifies the failure.
	Kind Kind `json:"type"`
	// Outcome tells whether the request was executed; empty if the error did not end a request.
	Outcome Outcome `json:"outcome,omitempty"`
	// Message is a human-readable sentence.
	Message string `json:"message"`
	// Field is the name of the invalid input, if any.
	Field string `json:"field,omitempty"`
	// Limit is the limit or requirement that was not met, such as "1048576 bytes" or
	// "role editor", if any.
	Limit string `json:"limit,omitempty"`
	// RetryAfter is the time to wait before the request is repeated; zero if not known.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`

	cause error
}

// New returns an Error of a kind with an outcome and a formatted message.
func New(kind Kind, outcome Outcome, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// Wrap is New with a cause. The error records the stack of the call of Wrap.
func Wrap(cause error, kind Kind, outcome Outcome, format string, args ...any) *Error {
	e := New(kind, outcome, format, args...)
	e.cause = merry.Wrap(cause, merry.WithHTTPCode(e.Status()))
	return e
}

// WithField sets the field of e, and returns e.
func (e *Error) WithField(field string) *Error {
	e.Field = field
	return e
}

// WithLimit sets the limit of e, such as "1048576 bytes", and returns e.
func (e *Error) WithLimit(limit string) *Error {
	e.Limit = limit
	return e
}

// WithRetryAfter sets the time to wait before the request is repeated, and returns e.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	e.RetryAfter = wait
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return string(e.Kind) + ": " + e.Message
	}
	return string(e.Kind) + ": " + e.Message + ": " + e.cause.Error()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Status returns the HTTP status code for the error's kind.
func (e *Error) Status() int {
	if status, ok := statusByKind[e.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// As returns the *Error in the chain of err. Any other error becomes Internal with
// outcome Unknown, because nothing is known about the operation that failed.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, Unknown, "unexpected error")
}

// IsKind reports whether the chain of err has an *Error, and whether its kind is kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// OutOfRange returns an InvalidRequest error for a field whose value is not within limit.
func OutOfRange(field, limit string) *Error {
	return New(InvalidRequest, NotRun, "%s is out of range (%s)", field, limit).WithField(field).WithLimit(limit)
}
