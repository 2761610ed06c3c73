package upstream

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

// Limits of an answer.
const (
	// maxAnswerBytes bounds the body of an answer that is read whole.
	maxAnswerBytes = 64 << 20
	// maxInterim bounds the informational answers before the final one.
	maxInterim = 8
)

// LeavingMarker records upstreams that refuse new work.
type LeavingMarker interface {
	MarkLeaving(upstreamID string)
}

// Client exchanges requests with upstreams. It implements Exchanger and Engine.
type Client struct {
	pool    *pool
	leaving LeavingMarker
	dialect Options
}

// Do implements Exchanger. It sets the request's Host to the target's address
// and removes its connection headers. Redirects and error statuses are answers.
func (c *Client) Do(ctx context.Context, target membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response) error {
	began := time.Now()
	silence := c.pool.timing.ProgressTimeout
	if !c.dialect.NoAdaptiveTimeout {
		silence = c.pool.patience(target.Address)
	}
	err := c.exchange(ctx, target, req, resp, silence)
	if err == nil {
		c.pool.answered(target.Address, time.Since(began))
	}
	return err
}

// exchange makes one attempt. silence bounds each silence on a used connection.
func (c *Client) exchange(ctx context.Context, target membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response, silence time.Duration) error {
	c.prepare(req, target)
	co, err := c.send(ctx, target, req, silence)
	if err != nil {
		return err
	}
	resp.StreamBody = false
	resp.SkipBody = req.Header.IsHead()
	if err = c.readAnswer(ctx, co.conn, req, resp); err != nil {
		co.abandon()
		return c.broken(ctx, target, co.conn, err)
	}
	co.finish(&resp.Header)
	return c.checkLeaving(target, resp)
}

// prepare makes a request fit for the connection to the target.
func (c *Client) prepare(req *fasthttp.Request, target membership.Upstream) {
	if !c.dialect.PreserveHost {
		req.SetHost(target.Address)
		req.Header.SetHost(target.Address)
	}
	req.Header.Del(fasthttp.HeaderConnection)
	req.Header.Del(fasthttp.HeaderExpect)
	req.Header.Del(headerKeepAlive)
	req.Header.Del(fasthttp.HeaderUpgrade)
}

// checkout is a connection within an exchange.
type checkout struct {
	*conn
	pool *pool
	stop func() bool
}

// finish ends a clean exchange and pools the connection if it may be used again.
func (co *checkout) finish(header *fasthttp.ResponseHeader) {
	alive := co.stop()
	if !alive || header.ConnectionClose() {
		co.close()
		return
	}
	co.pool.put(co.conn, statedIdle(string(header.Peek(headerKeepAlive))))
}

// headerKeepAlive tells how long an upstream keeps an idle connection.
const headerKeepAlive = "Keep-Alive"

// statedIdle reads the timeout of a Keep-Alive header; zero if it has none.
func statedIdle(value string) time.Duration {
	for parameter := range strings.SplitSeq(value, ",") {
		name, number, found := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(number)
		if found && strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// abandon ends an exchange that did not end cleanly.
func (co *checkout) abandon() {
	co.stop()
	co.close()
}

// send writes the request on an idle connection, or on a new one if there is
// none or if the idle one took no byte.
func (c *Client) send(ctx context.Context, target membership.Upstream, req *fasthttp.Request, silence time.Duration) (*checkout, error) {
	if wantsNewConnection(ctx) {
		return c.sendFresh(ctx, target, req)
	}
	if co := c.pool.take(target.Address); co != nil {
		co.progress = silence
		out, err := c.write(ctx, co, req)
		if err == nil {
			return out, nil
		}
		if co.sentBytes() > 0 || ctx.Err() != nil || req.IsBodyStream() {
			return nil, c.broken(ctx, target, co, err)
		}
	}
	return c.sendFresh(ctx, target, req)
}

// sendFresh writes the request on a new connection.
func (c *Client) sendFresh(ctx context.Context, target membership.Upstream, req *fasthttp.Request) (*checkout, error) {
	co, err := c.pool.open(ctx, target.Address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, failure.Wrap(err, failure.DeadlineExceeded, failure.NotRun, "no connection to upstream %s in time", target.ID)
		}
		return nil, failure.Wrap(err, failure.UpstreamUnreachable, failure.NotRun, "upstream %s can't be dialed", target.ID)
	}
	co.progress = silenceOf(ctx, co.progress)
	out, err := c.write(ctx, co, req)
	if err != nil {
		return nil, c.broken(ctx, target, co, err)
	}
	return out, nil
}

func (c *Client) write(ctx context.Context, co *conn, req *fasthttp.Request) (*checkout, error) {
	out := &checkout{conn: co, pool: c.pool, stop: co.begin(ctx)}
	err := req.Write(co.writer)
	if err == nil {
		err = co.writer.Flush()
	}
	if err != nil {
		out.abandon()
		return nil, err
	}
	return out, nil
}

// broken classifies the failure of an exchange by what was sent and received.
func (c *Client) broken(ctx context.Context, target membership.Upstream, co *conn, cause error) error {
	c.pool.distrust(target.Address)
	outcome := failure.Unknown
	if co.sentBytes() == 0 {
		outcome = failure.NotRun
	}
	switch {
	case ctx.Err() != nil:
		return failure.Wrap(cause, failure.DeadlineExceeded, outcome, "exchange with upstream %s ended before its answer", target.ID)
	case outcome == failure.NotRun:
		return failure.Wrap(cause, failure.UpstreamUnreachable, outcome, "upstream %s took no part of the request", target.ID)
	case co.receivedBytes() > 0:
		return failure.Wrap(cause, failure.IncompleteAnswer, outcome, "answer of upstream %s is not whole", target.ID)
	case isTimeout(cause):
		return failure.Wrap(cause, failure.UpstreamFailed, outcome, "upstream %s was silent for %s", target.ID, co.progress)
	}
	return failure.Wrap(cause, failure.UpstreamFailed, outcome, "upstream %s closed the connection without an answer", target.ID)
}

func isTimeout(err error) bool {
	// The HTTP library's own timeout is no net.Error.
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readAnswer reads one whole answer and checks that it belongs to the request.
func (c *Client) readAnswer(ctx context.Context, co *conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := c.readHeader(co, req, resp); err != nil {
		return err
	}
	telemetry.FirstByte(ctx)
	return readBody(co, resp)
}

// readBody reads the whole body that belongs to a header.
func readBody(co *conn, resp *fasthttp.Response) error {
	if !bodyExpected(resp) {
		return nothingLeft(co)
	}
	if err := resp.ReadBody(co.reader, maxAnswerBytes); err != nil {
		return err
	}
	if resp.Header.ContentLength() == chunkedLength {
		if err := resp.Header.ReadTrailer(co.reader); err != nil {
			return err
		}
	}
	return nothingLeft(co)
}

// readHeader reads the header of the final answer.
func (c *Client) readHeader(co *conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	for range maxInterim {
		if err := resp.Header.Read(co.reader); err != nil {
			return err
		}
		if status := resp.StatusCode(); status >= fasthttp.StatusOK {
			return c.checkHeader(req, resp)
		}
	}
	return errTooManyInterim
}

func (c *Client) checkHeader(req *fasthttp.Request, resp *fasthttp.Response) error {
	want := req.Header.Peek(c.dialect.RequestID)
	got := resp.Header.Peek(c.dialect.RequestID)
	if len(want) > 0 && len(got) > 0 && !bytes.Equal(want, got) {
		return errOtherRequest
	}
	if bodyExpected(resp) && resp.Header.ContentLength() == closeDelimitedLength && !c.dialect.AllowCloseDelimited {
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

// nothingLeft fails if the upstream sent more than its answer.
func nothingLeft(co *conn) error {
	if co.reader.Buffered() > 0 {
		return errTrailingBytes
	}
	return nil
}

// checkLeaving records an upstream that announces its leave; an error status
// beside the announcement is a refusal of this request.
func (c *Client) checkLeaving(target membership.Upstream, resp *fasthttp.Response) error {
	if string(resp.Header.Peek(engineapi.HeaderUpstreamState)) != engineapi.UpstreamStateLeaving {
		return nil
	}
	c.leaving.MarkLeaving(target.ID)
	if resp.StatusCode() != fasthttp.StatusServiceUnavailable {
		return nil
	}
	return failure.New(failure.UpstreamUnreachable, failure.NotRun, "upstream %s is leaving and takes no new work", target.ID)
}
