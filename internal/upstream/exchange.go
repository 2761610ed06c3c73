package upstream

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/intake"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

// Limits of an answer.
const (
	// maxAnswerBytes bounds the body of an answer that is not streamed; see also WithMaxAnswer.
	maxAnswerBytes = 64 << 20
	// framingShare is the part of the largest body that the sizes and extensions of its chunks
	// may have in addition, and framingSlack what they and the trailer may have in any case.
	framingShare = 8
	framingSlack = 64 << 10
	// maxAnswerHeaders bounds the headers read for one request: those with a 1xx status
	// and the final one.
	maxAnswerHeaders = 8
)

// LeavingMarker records upstreams that are leaving.
type LeavingMarker interface {
	// MarkLeaving records that an upstream announced that it is leaving.
	MarkLeaving(upstreamID string)
}

// Client exchanges requests with upstreams. It implements Exchanger and Engine.
type Client struct {
	pool    *pool
	leaving LeavingMarker
	options Options
	// log gets a line for each answer that breaks the protocol.
	log logr.Logger
}

// Do implements Exchanger. It sets the request's Host to the target's address,
// unless Options.PreserveHost is set, and removes its connection headers. It
// does not follow redirects.
func (c *Client) Do(ctx context.Context, target membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response) error {
	began := time.Now()
	progressTimeout := c.pool.timing.ProgressTimeout
	if !c.options.NoAdaptiveTimeout {
		progressTimeout = c.pool.reuseProgressTimeout(target.Address)
	}
	err := c.exchange(ctx, target, req, resp, progressTimeout)
	if err == nil {
		c.pool.recordLatency(target.Address, time.Since(began))
	}
	return err
}

// exchange makes one attempt. progressTimeout bounds each read and write on a
// reused connection.
func (c *Client) exchange(ctx context.Context, target membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response, progressTimeout time.Duration) error {
	c.prepare(req, target)
	ac, err := c.send(ctx, target, req, progressTimeout)
	if err != nil {
		return err
	}
	resp.StreamBody = false
	resp.SkipBody = req.Header.IsHead()
	if err = c.readAnswer(ctx, ac.conn, req, resp); err != nil {
		ac.discard()
		return c.classifyFailure(ctx, target, req, ac.conn, err)
	}
	ac.release(&resp.Header)
	return c.checkLeaving(target, resp)
}

// prepare sets the request's Host and removes its connection headers.
func (c *Client) prepare(req *fasthttp.Request, target membership.Upstream) {
	if !c.options.PreserveHost {
		req.SetHost(target.Address)
		req.Header.SetHost(target.Address)
	}
	req.Header.Del(fasthttp.HeaderConnection)
	req.Header.Del(fasthttp.HeaderExpect)
	req.Header.Del(headerKeepAlive)
	req.Header.Del(fasthttp.HeaderUpgrade)
}

// activeConn is a connection during an exchange.
type activeConn struct {
	*conn
	pool *pool
	// stop ends the watch on the context of the exchange. It returns false if the
	// context has ended, which makes the connection unusable.
	stop func() bool
}

// release ends a clean exchange and pools the connection if it may be reused.
func (ac *activeConn) release(header *fasthttp.ResponseHeader) {
	alive := ac.stop()
	if !alive || header.ConnectionClose() {
		ac.close()
		return
	}
	ac.pool.putIdle(ac.conn, keepAliveTimeout(string(header.Peek(headerKeepAlive))))
}

// headerKeepAlive is the header in which an upstream states how long it keeps
// an idle connection open.
const headerKeepAlive = "Keep-Alive"

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header; zero if it has none.
func keepAliveTimeout(value string) time.Duration {
	for parameter := range strings.SplitSeq(value, ",") {
		name, number, found := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(number)
		if found && strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// discard ends a failed exchange and closes the connection.
func (ac *activeConn) discard() {
	ac.stop()
	ac.close()
}

// send writes the request on an idle connection, or on a new one if ctx demands
// that or none is idle. If the write on the idle connection fails, send tries a
// new one, but only if no byte was sent, ctx has not ended and the body can be
// written again.
func (c *Client) send(ctx context.Context, target membership.Upstream, req *fasthttp.Request, progressTimeout time.Duration) (*activeConn, error) {
	if needsNewConnection(ctx) {
		return c.sendOnNewConn(ctx, target, req)
	}
	if co := c.pool.takeIdle(target.Address); co != nil {
		co.progressTimeout = progressTimeout
		ac, err := c.write(ctx, co, req)
		if err == nil {
			return ac, nil
		}
		if co.sentBytes() > 0 || ctx.Err() != nil || req.IsBodyStream() {
			return nil, c.classifyFailure(ctx, target, req, co, err)
		}
	}
	return c.sendOnNewConn(ctx, target, req)
}

// sendOnNewConn writes the request on a new connection.
func (c *Client) sendOnNewConn(ctx context.Context, target membership.Upstream, req *fasthttp.Request) (*activeConn, error) {
	co, err := c.pool.dialConn(ctx, target.Address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, failure.Wrap(err, failure.DeadlineExceeded, failure.NotRun, "no connection to upstream %s in time", target.ID)
		}
		return nil, failure.Wrap(err, failure.UpstreamUnreachable, failure.NotRun, "upstream %s can't be dialed", target.ID)
	}
	co.progressTimeout = progressTimeoutOf(ctx, co.progressTimeout)
	ac, err := c.write(ctx, co, req)
	if err != nil {
		return nil, c.classifyFailure(ctx, target, req, co, err)
	}
	return ac, nil
}

func (c *Client) write(ctx context.Context, co *conn, req *fasthttp.Request) (*activeConn, error) {
	ac := &activeConn{conn: co, pool: c.pool, stop: co.begin(ctx, req.Header.IsHead())}
	err := req.Write(co.writer)
	if err == nil {
		err = co.writer.Flush()
	}
	if err != nil {
		ac.discard()
		return nil, err
	}
	return ac, nil
}

// classifyFailure returns the error of a failed exchange. Its outcome is NotRun if
// no byte was sent and otherwise Unknown; its kind also depends on the bytes
// received, on ctx and on the cause. classifyFailure also closes the idle
// connections to the upstream, which may be broken too.
func (c *Client) classifyFailure(ctx context.Context, target membership.Upstream, req *fasthttp.Request, co *conn, cause error) error {
	c.pool.closeIdleTo(target.Address)
	if co.invalid != nil {
		// The HTTP library hides it in some of its errors.
		cause = co.invalid
	}
	outcome := failure.Unknown
	if co.sentBytes() == 0 {
		outcome = failure.NotRun
	}
	switch {
	case errors.Is(cause, intake.ErrNoMemory):
		return failure.Wrap(cause, failure.Overloaded, outcome, "no memory for the answer of upstream %s", target.ID)
	case ctx.Err() != nil:
		return failure.Wrap(cause, failure.DeadlineExceeded, outcome, "no complete answer from upstream %s within the deadline", target.ID)
	case outcome == failure.NotRun:
		return failure.Wrap(cause, failure.UpstreamUnreachable, outcome, "no byte of the request could be sent to upstream %s", target.ID)
	case co.receivedBytes() > 0:
		if isProtocolError(cause) {
			c.log.Info("answer of an upstream refused", "request", string(req.Header.Peek(c.options.RequestID)), "upstream", target.ID, "error", cause.Error())
		}
		return failure.Wrap(cause, failure.IncompleteAnswer, outcome, "answer of upstream %s is incomplete or malformed", target.ID)
	case isTimeout(cause):
		return failure.Wrap(cause, failure.UpstreamFailed, outcome, "upstream %s sent nothing for %s", target.ID, co.progressTimeout)
	}
	return failure.Wrap(cause, failure.UpstreamFailed, outcome, "upstream %s closed the connection without an answer", target.ID)
}

func isTimeout(err error) bool {
	// The HTTP library's own timeout error does not implement net.Error.
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readAnswer reads a whole answer and checks that it belongs to the request.
func (c *Client) readAnswer(ctx context.Context, co *conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := c.readHeader(co, req, resp); err != nil {
		return err
	}
	telemetry.CallFirstByteHook(ctx)
	return readBody(ctx, co, resp)
}

// readBody reads the body that follows the header in resp. It is charged to the account of
// ctx, if there is one.
func readBody(ctx context.Context, co *conn, resp *fasthttp.Response) error {
	if !bodyExpected(resp) {
		return checkDrained(co)
	}
	limit := maxAnswerOf(ctx)
	// ReadBody bounds the body, but not the framing of its chunks.
	co.limitReceived(int64(limit + limit/framingShare + framingSlack))
	if account := intake.AccountOf(ctx); account != nil {
		length := resp.Header.ContentLength()
		if length < 0 {
			return readUnknownLength(co, resp, account, limit)
		}
		if length <= limit && !account.Reserve(int64(length)) {
			return intake.ErrNoMemory
		}
	}
	if err := resp.ReadBody(co.reader, limit); err != nil {
		return withoutContents(err)
	}
	if resp.Header.ContentLength() == chunkedLength {
		if err := resp.Header.ReadTrailer(co.reader); err != nil {
			return withoutContents(err)
		}
	}
	return checkDrained(co)
}

// readUnknownLength reads a body whose length is not stated, and charges it to an account as
// it grows. limit is the size of the largest body in bytes.
func readUnknownLength(co *conn, resp *fasthttp.Response, account *intake.Account, limit int) error {
	stream, err := bodyStream(co, resp)
	if err != nil {
		return err
	}
	body, err := intake.ReadGrowing(stream, account, limit)
	if closeErr := resp.CloseBodyStream(); err == nil {
		err = closeErr
	}
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errAnswerTooLong
	case err != nil:
		return err
	}
	resp.StreamBody = false
	resp.SetBodyRaw(body)
	return checkDrained(co)
}

// readHeader reads the header of the final answer.
func (c *Client) readHeader(co *conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	for range maxAnswerHeaders {
		if err := resp.Header.Read(co.reader); err != nil {
			return withoutContents(err)
		}
		if status := resp.StatusCode(); status >= fasthttp.StatusOK {
			return c.checkHeader(req, resp)
		}
	}
	return errTooManyInterim
}

func (c *Client) checkHeader(req *fasthttp.Request, resp *fasthttp.Response) error {
	want := req.Header.Peek(c.options.RequestID)
	got := resp.Header.Peek(c.options.RequestID)
	if len(want) > 0 && len(got) > 0 && !bytes.Equal(want, got) {
		return errOtherRequest
	}
	if bodyExpected(resp) && resp.Header.ContentLength() == closeDelimitedLength && !c.options.AllowCloseDelimited {
		return errNoLength
	}
	return nil
}

// Values of ResponseHeader.ContentLength for bodies without a stated length.
const (
	chunkedLength        = -1
	closeDelimitedLength = -2
)

// bodyExpected reports whether the answer has a body on the wire.
func bodyExpected(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return !resp.SkipBody && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// checkDrained returns an error if the upstream sent more than its answer.
func checkDrained(co *conn) error {
	if co.reader.Buffered() > 0 {
		return errTrailingBytes
	}
	return nil
}

// checkLeaving marks an upstream whose answer announces that it is leaving. With
// status 503 the announcement also means that the request was not run, so checkLeaving
// returns an error with the outcome NotRun.
func (c *Client) checkLeaving(target membership.Upstream, resp *fasthttp.Response) error {
	if string(resp.Header.Peek(engineapi.HeaderUpstreamState)) != engineapi.UpstreamStateLeaving {
		return nil
	}
	c.leaving.MarkLeaving(target.ID)
	if resp.StatusCode() != fasthttp.StatusServiceUnavailable {
		return nil
	}
	return failure.New(failure.UpstreamUnreachable, failure.NotRun, "upstream %s is leaving and refuses new requests", target.ID)
}
