package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Outcome says what is known about the execution of a request that failed.
type Outcome string

// Outcomes of a failed request.
const (
	// NotRun means that no upstream received any part of the request.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have executed the request.
	Unknown Outcome = "unknown"
	// Ran means that an upstream executed the request, but its answer is lost.
	Ran Outcome = "ran"
)

// Kind classifies an Error. Its value is stable and part of the API.
type Kind string

// Kinds of failure.
const (
	InvalidRequest      Kind = "invalid_request"
	InvalidDocument     Kind = "invalid_document"
	InvalidSettings     Kind = "invalid_settings"
	Unauthorized        Kind = "unauthorized"
	Forbidden           Kind = "forbidden"
	NotFound            Kind = "not_found"
	BodyTooLarge        Kind = "body_too_large"
	Conflict            Kind = "conflict"
	KeyReused           Kind = "idempotency_key_reused"
	KeyExpired          Kind = "idempotency_key_expired"
	QuotaExceeded       Kind = "quota_exceeded"
	QueueFull           Kind = "queue_full"
	DeadlineExceeded    Kind = "deadline_exceeded"
	Quarantined         Kind = "quarantined"
	NoUpstream          Kind = "no_upstream"
	UpstreamUnreachable Kind = "upstream_unreachable"
	UpstreamFailed      Kind = "upstream_failed"
	IncompleteAnswer    Kind = "incomplete_answer"
	OutcomeUnknown      Kind = "outcome_unknown"
	StoreUnavailable    Kind = "store_unavailable"
	StoreInDoubt        Kind = "store_in_doubt"
	HistoryLost         Kind = "history_lost"
	NotReady            Kind = "not_ready"
	Draining            Kind = "draining"
	Isolated            Kind = "isolated"
	LeaseLost           Kind = "lease_lost"
	StaleFencingToken   Kind = "stale_fence"
	PeerUnreachable     Kind = "peer_unreachable"
	SamplesStale        Kind = "samples_stale"
	Internal            Kind = "internal"
)

var statusByKind = map[Kind]int{
	InvalidRequest:      http.StatusBadRequest,
	InvalidDocument:     http.StatusUnprocessableEntity,
	InvalidSettings:     http.StatusUnprocessableEntity,
	Unauthorized:        http.StatusUnauthorized,
	Forbidden:           http.StatusForbidden,
	NotFound:            http.StatusNotFound,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	Conflict:            http.StatusConflict,
	KeyReused:           http.StatusConflict,
	KeyExpired:          http.StatusConflict,
	QuotaExceeded:       http.StatusTooManyRequests,
	QueueFull:           http.StatusServiceUnavailable,
	DeadlineExceeded:    http.StatusGatewayTimeout,
	Quarantined:         http.StatusUnprocessableEntity,
	NoUpstream:          http.StatusServiceUnavailable,
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

// Error is a failure with a stable kind. It is the JSON body of every refusal.
type Error struct {
	// Kind classifies the failure.
	Kind Kind `json:"type"`
	// Outcome says whether the request was executed; empty where the failure
	// does not end a request.
	Outcome Outcome `json:"outcome,omitempty"`
	// Message is one sentence for people.
	Message string `json:"message"`
	// Field names the input that caused the failure, if one did.
	Field string `json:"field,omitempty"`
	// Limit states the exceeded limit with its unit, if one was exceeded.
	Limit string `json:"limit,omitempty"`
	// RetryAfter is the earliest useful time of a repeat; zero if not known.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`

	cause error
}

// New returns an Error of a kind with an outcome and a formatted message.
func New(kind Kind, outcome Outcome, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error like New that records cause, with the stack where it was wrapped.
func Wrap(cause error, kind Kind, outcome Outcome, format string, args ...any) *Error {
	e := New(kind, outcome, format, args...)
	e.cause = merry.Wrap(cause, merry.WithHTTPCode(e.Status()))
	return e
}

// WithField returns e after setting its field.
func (e *Error) WithField(field string) *Error {
	e.Field = field
	return e
}

// WithLimit returns e after setting its limit, such as "1048576 bytes".
func (e *Error) WithLimit(limit string) *Error {
	e.Limit = limit
	return e
}

// WithRetryAfter returns e after setting the time to wait before a repeat.
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

// As returns err as an *Error. An error of another type becomes Internal with
// outcome Unknown, because nothing is known about what it interrupted.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, Unknown, "unexpected failure")
}

// IsKind reports whether err is an *Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// OutOfRange returns the refusal of a request whose field is not within limit.
func OutOfRange(field, limit string) *Error {
	return New(InvalidRequest, NotRun, "%s is out of range", field).WithField(field).WithLimit(limit)
}
