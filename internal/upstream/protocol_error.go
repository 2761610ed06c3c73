package upstream

// protocolError says why the bytes from an upstream are not a valid answer to
// the request.
type protocolError string

// Error implements error.
func (m protocolError) Error() string { return string(m) }

const (
	errOtherRequest    = protocolError("answer has the id of another request")
	errNoLength        = protocolError("answer has neither a content length nor chunked encoding")
	errTrailingBytes   = protocolError("answer is followed by unexpected bytes")
	errAnswerTooLong   = protocolError("answer is too long")
	errTooManyInterim  = protocolError("too many informational (1xx) answers")
	errNotEventStream  = protocolError("answer is not an event stream")
	errStreamTruncated = protocolError("event stream ended before its end event")
	errNoFinishReason  = protocolError("event stream ended without a finish reason")
	errOffset          = protocolError("chunk has an invalid offset, token count or number of choices")
	errChunkID         = protocolError("chunk has the id of another request")
	errEventTooLong    = protocolError("line of the event stream is too long")
	errChunkForm       = protocolError("event is not a valid chunk")
)
