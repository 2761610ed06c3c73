package httpsyntax

import (
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"
)

// maxLineBytes is the largest line of a response, in bytes: a status line, a field or the
// size of a chunk with its extensions. The buffers in which headers are read are not larger.
const maxLineBytes = 8 << 10

// maxChunkSizeDigits keeps the size of a chunk in the range of int64.
const maxChunkSizeDigits = 15

// Names of the fields that state how long a body is.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// state is what a Checker expects next.
type state int

const (
	statusLine state = iota
	// field is a field of the header or the empty line at its end.
	field
	body
	// untilClose is a body that ends when the server closes the connection.
	untilClose
	chunkSize
	chunk
	// chunkEnd is the line end after a chunk.
	chunkEnd
	// trailer is a field after the last chunk or the empty line at the end.
	trailer
	// done is after the response.
	done
)

// Checker checks the bytes of a response as they arrive. It does not limit the size of the
// header or the body. Reset must be called before each response.
type Checker struct {
	state state
	// noBody is true if the response has no body whatever its header says.
	noBody bool
	// line is the part of an incomplete line that has arrived.
	line []byte
	// left is the number of bytes that the body, or the chunk, still has.
	left int64

	// The fields below belong to the header being read.
	status     int
	http10     bool
	hasLength  bool
	hasChunks  bool
	bodyLength int64
}

// Reset makes the checker expect a response. noBody is true for the response to a HEAD request.
func (c *Checker) Reset(noBody bool) {
	*c = Checker{noBody: noBody, line: c.line[:0]}
}

// Check checks the next bytes. If they make the response invalid, it returns an Error and the
// number of bytes that may be passed on: those before the line that is invalid, and one of that
// line, since the HTTP library takes any error before the first byte of a header or a trailer
// for the end of the connection. Bytes after the response are not checked.
func (c *Checker) Check(p []byte) (int, error) {
	for i := 0; i < len(p); {
		switch c.state {
		case untilClose, done:
			return len(p), nil
		case body, chunk:
			n := min(c.left, int64(len(p)-i))
			i += int(n)
			c.left -= n
			if c.left == 0 {
				c.endData()
			}
		default:
			n, err := c.checkLine(p[i:])
			if err != nil {
				return i + 1, err
			}
			i += n
		}
	}
	return len(p), nil
}

// endData ends a body with a length or a chunk.
func (c *Checker) endData() {
	c.state = done
	if c.hasChunks {
		c.state = chunkEnd
	}
}

// checkLine checks the line at the beginning of p, or keeps it until its end has arrived. It
// returns the number of bytes of p that belong to the line.
func (c *Checker) checkLine(p []byte) (int, error) {
	n := bytes.IndexByte(p, '\n') + 1
	whole := n > 0
	if !whole {
		n = len(p)
	}
	if len(c.line)+n > maxLineBytes {
		return 0, errLineTooLong
	}
	line := p[:n]
	if !whole || len(c.line) > 0 {
		c.line = append(c.line, line...)
		line = c.line
	}
	if !whole {
		return n, nil
	}
	c.line = c.line[:0]
	line, found := bytes.CutSuffix(line, []byte("\r\n"))
	if !found {
		return 0, errLineEnd
	}
	return n, c.checkWholeLine(line)
}

// checkWholeLine checks a line without its end.
func (c *Checker) checkWholeLine(line []byte) error {
	switch c.state {
	case statusLine:
		return c.checkStatusLine(line)
	case field:
		if len(line) == 0 {
			return c.endHeader()
		}
		return c.checkField(line)
	case chunkSize:
		return c.checkChunkSize(line)
	case chunkEnd:
		c.state = chunkSize
		if len(line) > 0 {
			return errChunkEnd
		}
	case trailer:
		if len(line) == 0 {
			c.state = done
			return nil
		}
		return checkTrailer(line)
	}
	return nil
}

// checkStatusLine checks a status line. Several blanks before the status are allowed (RFC 9112,
// section 4).
func (c *Checker) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	http10 := string(version) == "HTTP/1.0"
	if !http10 && string(version) != "HTTP/1.1" {
		return errVersion
	}
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(status) != 3 || !isNumber(status) {
		return errStatusLine
	}
	code, err := strconv.Atoi(string(status))
	if err != nil || !ValidStatus(code) {
		return errStatus
	}
	if code == fasthttp.StatusSwitchingProtocols {
		return errSwitched
	}
	if !isText(reason) {
		return errReason
	}
	c.status, c.http10 = code, http10
	c.hasLength, c.hasChunks, c.bodyLength = false, false, 0
	c.state = field
	return nil
}

// checkField checks a field of the header.
func (c *Checker) checkField(line []byte) error {
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	switch {
	case bytes.EqualFold(name, contentLength):
		if c.hasLength {
			return errLengths
		}
		c.hasLength = true
		c.bodyLength, err = strconv.ParseInt(string(value), 10, 64)
		if err != nil || !isNumber(value) {
			return errLength
		}
	case bytes.EqualFold(name, transferEncoding):
		if c.hasChunks || !bytes.EqualFold(value, []byte("chunked")) {
			return errCoding
		}
		c.hasChunks = true
	}
	return nil
}

// checkTrailer checks a field of the trailer, which can't state how long the body is.
func checkTrailer(line []byte) error {
	name, _, err := parseField(line)
	if err == nil && (bytes.EqualFold(name, contentLength) || bytes.EqualFold(name, transferEncoding)) {
		err = errLateLength
	}
	return err
}

// endHeader decides by the header what follows it (RFC 9112, section 6.3).
func (c *Checker) endHeader() error {
	switch {
	case c.hasChunks && c.hasLength:
		return errLengthAndChunk
	case c.hasChunks && c.http10:
		return errOldChunks
	case c.status < fasthttp.StatusOK:
		c.state = statusLine
	case c.noBody || c.status == fasthttp.StatusNoContent || c.status == fasthttp.StatusNotModified || c.hasLength && c.bodyLength == 0:
		c.state = done
	case c.hasChunks:
		c.state = chunkSize
	case c.hasLength:
		c.state, c.left = body, c.bodyLength
	default:
		c.state = untilClose
	}
	return nil
}

// checkChunkSize checks the line with the size of a chunk. Either extensions or blanks may follow
// the size: some servers pad it.
func (c *Checker) checkChunkSize(line []byte) error {
	digits := line
	if end := bytes.IndexFunc(line, func(r rune) bool { return !isHexDigit(r) }); end >= 0 {
		digits = line[:end]
	}
	rest := line[len(digits):]
	extended := bytes.HasPrefix(rest, []byte(";")) && isText(rest)
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits || !extended && len(bytes.Trim(rest, " \t")) > 0 {
		return errChunkLine
	}
	size, err := strconv.ParseInt(string(digits), 16, 64)
	if err != nil {
		return errChunkLine
	}
	c.state, c.left = chunk, size
	if size == 0 {
		c.state = trailer
	}
	return nil
}

// parseField returns the name and the value of a field.
func parseField(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, errFolded
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found:
		return nil, nil, errNoColon
	case !isToken(name):
		return nil, nil, errName
	case !isText(value):
		return nil, nil, errValue
	}
	return name, bytes.Trim(value, " \t"), nil
}

// ValidStatus reports whether a number is a status of a response (RFC 9110, section 15).
func ValidStatus(status int) bool { return status >= 100 && status <= 599 }

// ValidField reports whether a field of a header has a valid name and value.
func ValidField(name, value string) bool { return isToken([]byte(name)) && isText([]byte(value)) }

func isHexDigit(r rune) bool {
	return r >= '0' && r <= '9' || r >= 'a' && r <= 'f' || r >= 'A' && r <= 'F'
}

// isNumber reports whether text has only digits, and at least one.
func isNumber(text []byte) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether text has no control characters except tabs.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether text is a token (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	for _, b := range text {
		if !tokenBytes[b] {
			return false
		}
	}
	return len(text) > 0
}

var tokenBytes = func() (table [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[b] = true
	}
	return table
}()
