package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/sapphirehatch/sapphirehatch/internal/intake"
)

// EventReader reads the events of an event stream, each of which has at most maxEventBytes. It
// is not safe for concurrent use.
type EventReader struct {
	body *bufio.Reader
	// account is charged with the buffer beyond readBufferSize; it may be nil.
	account *intake.Account
	charged int64
	event   []byte
}

// NewEventReader returns a reader of the events in body. The memory for a large event is charged
// to an account, which may be nil. Close must be called at the end.
func NewEventReader(body io.Reader, account *intake.Account) *EventReader {
	return &EventReader{body: bufio.NewReaderSize(body, readBufferSize), account: account}
}

// Next returns the lines of the next event, up to the empty line that ends it. Each line ends in
// a line feed. The event is valid until the next call. At the end of the body the error is
// io.EOF, along with the lines of an event that has no end.
func (r *EventReader) Next() ([]byte, error) {
	r.event = r.event[:0]
	for {
		empty, err := r.readLine()
		if err != nil {
			return r.event, err
		}
		if empty {
			return r.event, nil
		}
	}
}

// Line returns the next line, without its end, instead of a whole event. The error is as for Next.
func (r *EventReader) Line() ([]byte, error) {
	r.event = r.event[:0]
	_, err := r.readLine()
	return bytes.TrimSuffix(r.event, []byte("\n")), err
}

// readLine appends the next line to the event. It reports whether the line is empty.
func (r *EventReader) readLine() (empty bool, err error) {
	begin := len(r.event)
	for {
		part, err := r.body.ReadSlice('\n')
		if grown := r.grow(len(part) + 1); grown != nil {
			return false, grown
		}
		r.event = append(r.event, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == nil:
			r.event = r.event[:len(r.event)-1]
		case len(r.event) == begin:
			return false, err
		}
		if end := len(r.event) - 1; end >= begin && r.event[end] == '\r' {
			r.event = r.event[:end]
		}
		empty = len(r.event) == begin
		r.event = append(r.event, '\n')
		return empty, err
	}
}

// grow makes room for n further bytes.
func (r *EventReader) grow(n int) error {
	size := len(r.event) + n
	if size > maxEventBytes {
		return errEventTooLong
	}
	if size <= cap(r.event) {
		return nil
	}
	room := min(max(size, 2*cap(r.event)), maxEventBytes)
	if room > readBufferSize {
		if !r.account.TryReserve(int64(room)) {
			return intake.ErrNoMemory
		}
		r.account.Release(r.charged)
		r.charged = int64(room)
	}
	event := make([]byte, len(r.event), room)
	copy(event, r.event)
	r.event = event
	return nil
}

// Close returns what is charged to the account.
func (r *EventReader) Close() {
	r.account.Release(r.charged)
	r.charged, r.event = 0, nil
}
