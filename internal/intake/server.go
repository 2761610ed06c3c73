package intake

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// chunkedLength is the length of a body in chunks at the HTTP library.
const chunkedLength = -1

// retryAfter is the Retry-After of requests that are refused for want of memory.
const retryAfter = time.Second

// Refuse writes the response to a request that failed with an error.
type Refuse func(ctx *fasthttp.RequestCtx, e *failure.Error)

// Protect makes a server receive bodies within the limits of a listener from Listen. The
// handler of the server gets requests with a whole body. refuse answers all others.
func Protect(server *fasthttp.Server, listener *Listener, refuse Refuse) {
	handler := server.Handler
	if server.ReadBufferSize == 0 {
		server.ReadBufferSize = headerBufferBytes
	}
	server.StreamRequestBody = true
	// A connection that has not sent a request yet has no buffers.
	server.ReduceMemoryUsage = true
	server.ReadTimeout, server.IdleTimeout = defaultHeaderTimeout, defaultIdleTimeout
	server.ConnState = stateChanged
	received := server.HeaderReceived
	server.HeaderReceived = func(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
		var config fasthttp.RequestConfig
		if received != nil {
			config = received(header)
		}
		// The library reads up to MaxRequestBodySize bytes of a body before it calls the
		// handler, and leaves it to the handler to refuse a larger one.
		config.MaxRequestBodySize = 1
		if length := header.ContentLength(); length > 0 || length == chunkedLength {
			config.ReadTimeout = listener.gate.limits.StallTimeout
		}
		return config
	}
	refuseAndCount := func(ctx *fasthttp.RequestCtx, e *failure.Error) {
		listener.gate.refused(e.Kind)
		ctx.SetConnectionClose()
		if c, ok := ctx.Conn().(*Conn); ok {
			c.refused.Store(true)
		}
		refuse(ctx, e)
	}
	server.ErrorHandler = func(ctx *fasthttp.RequestCtx, err error) { refuseAndCount(ctx, readError(err)) }
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		if e := receive(ctx, listener.limits()); e != nil {
			refuseAndCount(ctx, e)
			return
		}
		handler(ctx)
	}
}

// receive reads the body of a request.
func receive(ctx *fasthttp.RequestCtx, limits RequestLimits) *failure.Error {
	header := &ctx.Request.Header
	if len(header.RawHeaders()) > limits.HeaderBytes || len(header.RequestURI()) > limits.HeaderBytes {
		return failure.New(failure.HeaderTooLarge, failure.NotRun, "the request headers are too large")
	}
	conn, ok := ctx.Conn().(*Conn)
	if !ok || !ctx.Request.IsBodyStream() {
		if ok {
			conn.enter(phaseAnswer)
		}
		return nil
	}
	length := header.ContentLength()
	if length > limits.BodyBytes {
		return tooLarge()
	}
	conn.enter(phaseBody)
	conn.maxMoved = maxFraming*int64(limits.BodyBytes) + framingSlack
	var body []byte
	var err error
	if length >= 0 {
		if !conn.account.Reserve(int64(length)) {
			return overloaded()
		}
		body = make([]byte, length)
		_, err = io.ReadFull(ctx.RequestBodyStream(), body)
	} else {
		body, err = ReadGrowing(ctx.RequestBodyStream(), &conn.account, limits.BodyBytes)
	}
	if err != nil && conn.readErr != nil {
		err = conn.readErr
	}
	conn.enter(phaseAnswer)
	if err != nil {
		return readError(err)
	}
	ctx.Request.SetBodyRaw(body)
	header.SetContentLength(len(body))
	return nil
}

// ErrNoMemory means that a body does not fit into the budget.
var ErrNoMemory = errors.New("the budget of bytes is used up")

func tooLarge() *failure.Error {
	return failure.New(failure.BodyTooLarge, failure.NotRun, "the request body is too large")
}

func overloaded() *failure.Error {
	return failure.New(failure.Overloaded, failure.NotRun, "this host has no memory for the request").WithRetryAfter(retryAfter)
}

// readError returns the refusal for an error of receiving a request. None of them was run.
func readError(err error) *failure.Error {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errEvicted), errors.Is(err, ErrNoMemory):
		return overloaded()
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return tooLarge()
	case errors.As(err, &smallBuffer):
		return failure.Wrap(err, failure.HeaderTooLarge, failure.NotRun, "the request headers are too large")
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return failure.Wrap(err, failure.NotReceived, failure.NotRun, "the request was not received in time")
	}
	return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the request cannot be read")
}

// AccountOfRequest returns the account of a request; nil if it did not arrive at a Listener.
func AccountOfRequest(ctx *fasthttp.RequestCtx) *Account {
	if c, ok := ctx.Conn().(*Conn); ok {
		return &c.account
	}
	return nil
}

// DropBody drops the body of a request that is not needed any more, and returns what was
// reserved for it.
func DropBody(ctx *fasthttp.RequestCtx) {
	n := cap(ctx.Request.Body())
	ctx.Request.SetBodyRaw(nil)
	AccountOfRequest(ctx).Release(int64(n))
}
