package httpsyntax

// Error says why the bytes of a server are not a valid response. It has none of the bytes.
type Error string

// Error implements error.
func (e Error) Error() string { return string(e) }

const (
	errLineTooLong    = Error("line of the response is too long")
	errLineEnd        = Error("line of the response does not end in CR LF")
	errStatusLine     = Error("status line is malformed")
	errVersion        = Error("response is neither HTTP/1.0 nor HTTP/1.1")
	errStatus         = Error("response has an invalid status")
	errSwitched       = Error("server switches protocols unasked")
	errReason         = Error("reason in the status line has a control character")
	errFolded         = Error("field is continued on another line")
	errNoColon        = Error("field has no colon")
	errName           = Error("name of a field is empty or has an invalid character")
	errValue          = Error("value of a field has a control character")
	errLength         = Error("content length is not a number in range")
	errLengths        = Error("response has several content lengths")
	errCoding         = Error("response has an unknown transfer coding")
	errLengthAndChunk = Error("response has a content length and chunks")
	errOldChunks      = Error("response of HTTP/1.0 has a transfer coding")
	errLateLength     = Error("trailer has a content length or a transfer coding")
	errChunkLine      = Error("line with the size of a chunk is malformed")
	errChunkEnd       = Error("chunk is longer than its size")
)
