package upstream

import (
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/httpsyntax"
)

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
	errHeaderTooLong   = protocolError("header of the answer is too long")
	errMalformed       = protocolError("answer is malformed")
	errTooManyInterim  = protocolError("too many informational (1xx) answers")
	errNotEventStream  = protocolError("answer is not an event stream")
	errStreamTruncated = protocolError("event stream ended before its end event")
	errNoFinishReason  = protocolError("event stream ended without a finish reason")
	errOffset          = protocolError("chunk has an invalid offset, token count or number of choices")
	errChunkID         = protocolError("chunk has the id of another request")
	errEventTooLong    = protocolError("event of the event stream is too long")
	errTextTooLong     = protocolError("text of the completion is too long")
	errChunkForm       = protocolError("event is not a valid chunk")
)

// isProtocolError reports whether an exchange failed because of what the upstream has sent.
func isProtocolError(err error) bool {
	var (
		protocol protocolError
		invalid  httpsyntax.Error
	)
	return errors.As(err, &protocol) || errors.As(err, &invalid)
}

// withoutContents returns the cause of an error of the HTTP library, which quotes what the
// upstream has sent.
func withoutContents(err error) error {
	var (
		protocol protocolError
		network  net.Error
		tooLong  *fasthttp.ErrSmallBuffer
	)
	switch {
	case errors.As(err, &protocol):
		return protocol
	case errors.As(err, &network):
		return network
	case errors.As(err, &tooLong):
		return errHeaderTooLong
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errAnswerTooLong
	}
	for _, cause := range []error{fasthttp.ErrTimeout, io.ErrUnexpectedEOF, io.EOF} {
		if errors.Is(err, cause) {
			return cause
		}
	}
	return errMalformed
}
