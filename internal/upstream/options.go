package upstream

import (
	"context"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

// Options adapt a Client to how the upstreams of a deployment use HTTP.
type Options struct {
	// RequestID is the name of the header with the request's id. An answer with
	// another id in it is rejected.
	RequestID string
	// PreserveHost sends the Host header of the request unchanged. By default it
	// is replaced by the upstream's address.
	PreserveHost bool
	// NoAdaptiveTimeout makes Do apply the progress timeout of the settings to
	// reused connections too. By default Do uses a timeout there that follows the
	// upstream's recent latency and is never longer. Other methods ignore it.
	NoAdaptiveTimeout bool
	// AllowCloseDelimited accepts answers without a length whose body ends when the
	// upstream closes the connection, except as a body that Stream passes to read.
	// By default they are errors.
	AllowCloseDelimited bool
}

// defaultOptions are the options for upstreams that implement package engineapi.
var defaultOptions = Options{RequestID: engineapi.HeaderRequestID}

// WithOptions sets the client's options and returns the client. Call it before
// the first request.
func (c *Client) WithOptions(d Options) *Client {
	c.options = d
	return c
}

// Run closes expired idle connections until ctx ends, and then all idle ones.
func (c *Client) Run(ctx context.Context) error { return c.pool.run(ctx) }

// HasIdleConnection reports whether there is an idle connection to an address
// that has not expired.
func (c *Client) HasIdleConnection(address string) bool { return c.pool.hasIdle(address) }

// Stream makes one attempt. For an answer with status 200 it calls read with
// the body while the body arrives; read must read it to its end. An answer with
// another status is read into resp. Unlike Do, Stream does not check whether the
// answer announces that the upstream is leaving. A stream that ends with the close
// of its connection counts as truncated.
func (c *Client) Stream(ctx context.Context, target membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response, read func(header *fasthttp.ResponseHeader, body io.Reader) error) error {
	c.prepare(req, target)
	ac, err := c.send(ctx, target, req, c.pool.timing.ProgressTimeout)
	if err != nil {
		return err
	}
	if err = c.readHeader(ac.conn, req, resp); err == nil {
		if resp.StatusCode() == fasthttp.StatusOK {
			err = readStreamBody(ac, resp, read)
		} else {
			err = readBody(ctx, ac.conn, resp)
		}
	}
	if err != nil {
		ac.discard()
		return c.classifyFailure(ctx, target, req, ac.conn, err)
	}
	ac.release(&resp.Header)
	return nil
}

func readStreamBody(ac *activeConn, resp *fasthttp.Response, read func(*fasthttp.ResponseHeader, io.Reader) error) error {
	endsByClose := resp.Header.ContentLength() == closeDelimitedLength
	stream, err := bodyStream(ac.conn, resp)
	if err != nil {
		return err
	}
	err = read(&resp.Header, stream)
	if closeErr := resp.CloseBodyStream(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if endsByClose {
		return errStreamTruncated
	}
	return checkDrained(ac.conn)
}
