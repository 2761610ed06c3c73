package intake

import (
	"errors"
	"io"
	"sync"

	"github.com/valyala/fasthttp"
)

const (
	// firstPartBytes is the size of the first part of a body of unknown length. Each further
	// part is twice as large, up to partBytes.
	firstPartBytes = 4 << 10
	partBytes      = 128 << 10
)

// largeParts holds parts of partBytes that are not in use.
var largeParts = sync.Pool{New: func() any { return new([partBytes]byte) }}

// ReadGrowing reads a body of unknown length and of at most limit bytes, for which it reserves
// as the body grows. The error is ErrNoMemory if that fails.
func ReadGrowing(body io.Reader, account *Account, limit int) ([]byte, error) {
	r := growingReader{body: body, account: account, limit: limit}
	defer r.free()
	for {
		if err := r.grow(); err != nil {
			return nil, err
		}
		switch err := r.fill(); {
		case errors.Is(err, io.EOF):
			return r.whole()
		case err != nil:
			return nil, err
		}
	}
}

// growingReader holds what has arrived of a body in parts. One buffer that grows would leave
// garbage each time, which fills the memory before it is collected.
type growingReader struct {
	body    io.Reader
	account *Account
	limit   int
	// parts are full except for the last one, of which used bytes are in use.
	parts [][]byte
	used  int
	// size is the number of bytes in all parts, and reserved what is reserved for them.
	size, reserved int64
}

// grow adds an empty part.
func (r *growingReader) grow() error {
	size := firstPartBytes
	if last := len(r.parts) - 1; last >= 0 {
		size = min(2*len(r.parts[last]), partBytes)
	}
	if !r.account.Reserve(int64(size)) {
		return ErrNoMemory
	}
	r.reserved += int64(size)
	r.parts, r.used = append(r.parts, newPart(size)), 0
	return nil
}

func newPart(size int) []byte {
	if size < partBytes {
		return make([]byte, size)
	}
	part, _ := largeParts.Get().(*[partBytes]byte)
	return part[:]
}

// fill reads until the last part is full. The error is io.EOF at the end of the body.
func (r *growingReader) fill() error {
	part := r.parts[len(r.parts)-1]
	for r.used < len(part) {
		n, err := r.body.Read(part[r.used:])
		r.used += n
		r.size += int64(n)
		switch {
		case r.size > int64(r.limit):
			return fasthttp.ErrBodyTooLarge
		case err == nil:
			continue
		case !errors.Is(err, io.EOF):
			return err
		}
		// The library returns io.EOF also for a body that ends within a chunk. The next read
		// then has another error.
		if _, again := r.body.Read(nil); !errors.Is(again, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return io.EOF
	}
	return nil
}

// whole returns the body, for which its size stays reserved.
func (r *growingReader) whole() ([]byte, error) {
	last := len(r.parts) - 1
	if last == 0 {
		part := r.parts[0][:r.used]
		r.parts, r.reserved = nil, 0
		return part, nil
	}
	if !r.account.Reserve(r.size) {
		return nil, ErrNoMemory
	}
	whole := make([]byte, 0, r.size)
	for _, part := range r.parts[:last] {
		whole = append(whole, part...)
	}
	return append(whole, r.parts[last][:r.used]...), nil
}

// free returns the parts.
func (r *growingReader) free() {
	for _, part := range r.parts {
		if len(part) == partBytes {
			largeParts.Put((*[partBytes]byte)(part))
		}
	}
	r.account.Release(r.reserved)
}
