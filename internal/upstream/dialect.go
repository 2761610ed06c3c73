package upstream

import (
	"context"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

// Options is how the upstreams of a deployment use HTTP.
type Options struct {
	// RequestID is the header by which an answer names its request.
	RequestID string
	// PreserveHost passes the caller's Host header on; otherwise it is the upstream's address.
	PreserveHost bool
	// NoAdaptiveTimeout lets an exchange be silent up to the progress timeout also on a
	// used connection; its context bounds it.
	NoAdaptiveTimeout bool
	// AllowCloseDelimited accepts whole answers that have no length and end with their connection.
	AllowCloseDelimited bool
}

// ownDialect is that of the product's own engines and services.
var ownDialect = Options{RequestID: engineapi.HeaderRequestID}

// WithOptions returns the client after setting its dialect. Call it before the first request.
func (c *Client) WithOptions(d Options) *Client {
	c.dialect = d
	return c
}

// Run keeps the pool of connections until ctx ends.
func (c *Client) Run(ctx context.Context) error { return c.pool.run(ctx) }

// HasIdleConnection reports whether an idle connection to an address may be used again.
func (c *Client) HasIdleConnection(address string) bool { return c.pool.connected(address) }

// Stream makes one attempt whose answer of status 200 is read while it arrives:
// read gets the body and must read it to its end. Answers of another status are
// read whole, as by Do. Streams that end with their connection are not whole.
func (c *Client) Stream(ctx context.Context, target membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response, read func(header *fasthttp.ResponseHeader, body io.Reader) error) error {
	c.prepare(req, target)
	co, err := c.send(ctx, target, req, c.pool.timing.ProgressTimeout)
	if err != nil {
		return err
	}
	if err = c.readHeader(co.conn, req, resp); err == nil {
		if resp.StatusCode() == fasthttp.StatusOK {
			err = readLive(co, resp, read)
		} else {
			err = readBody(co.conn, resp)
		}
	}
	if err != nil {
		co.abandon()
		return c.broken(ctx, target, co.conn, err)
	}
	co.finish(&resp.Header)
	return nil
}

func readLive(co *checkout, resp *fasthttp.Response, read func(*fasthttp.ResponseHeader, io.Reader) error) error {
	endsByClose := resp.Header.ContentLength() == closeDelimitedLength
	resp.StreamBody = true
	if err := resp.ReadBody(co.reader, 0); err != nil {
		return err
	}
	err := read(&resp.Header, resp.BodyStream())
	if closeErr := resp.CloseBodyStream(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if endsByClose {
		return errStreamCut
	}
	return nothingLeft(co.conn)
}
