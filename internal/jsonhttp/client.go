package jsonhttp

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	maxIdleConnection = 5 * time.Second
	maxConnections    = 4096
)

// DialFunc opens a connection to an address.
type DialFunc = fasthttp.DialFunc

// Client sends JSON requests. It never repeats one.
type Client struct {
	http    *fasthttp.Client
	timeout time.Duration
	headers map[string]string
}

// NewClient returns a client whose calls each take at most timeout. A nil dial dials TCP.
func NewClient(timeout time.Duration, dial DialFunc) *Client {
	return &Client{
		timeout: timeout,
		headers: map[string]string{},
		http: &fasthttp.Client{
			Dial:                      dial,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxIdleConnDuration:       maxIdleConnection,
			MaxConnsPerHost:           maxConnections,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// WithHeader returns the client after adding a header to each of its requests. Call it before the first request.
func (c *Client) WithHeader(name, value string) *Client {
	c.headers[name] = value
	return c
}

// Do sends in, unless nil, as JSON and decodes a 2xx answer into out, unless
// nil. It returns the status and the error: UpstreamUnreachable with outcome
// Unknown when no answer came, and the server's own *failure.Error or
// UpstreamFailed for a status of 300 or more.
func (c *Client) Do(method, url string, in, out any) (int, error) {
	return c.DoTimeout(c.timeout, method, url, in, out)
}

// DoTimeout is Do with a timeout of its own.
func (c *Client) DoTimeout(timeout time.Duration, method, url string, in, out any) (int, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	for name, value := range c.headers {
		req.Header.Set(name, value)
	}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return 0, failure.Wrap(err, failure.Internal, failure.NotRun, "request body cannot be encoded")
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return 0, failure.Wrap(err, failure.UpstreamUnreachable, failure.Unknown, "%s %s got no answer", method, url)
	}
	return resp.StatusCode(), decode(method, url, resp, out)
}

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

func decode(method, url string, resp *fasthttp.Response, out any) error {
	status := resp.StatusCode()
	if status >= fasthttp.StatusMultipleChoices {
		var refusal failure.Error
		if err := json.Unmarshal(resp.Body(), &refusal); err == nil && refusal.Kind != "" {
			return &refusal
		}
		return failure.New(failure.UpstreamFailed, failure.Unknown, "%s %s answered status %d", method, url, status)
	}
	if out == nil || len(resp.Body()) == 0 {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return failure.Wrap(err, failure.IncompleteAnswer, failure.Ran, "%s %s answered malformed JSON", method, url)
	}
	return nil
}
