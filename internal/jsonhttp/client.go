package jsonhttp

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/httpsyntax"
)

const (
	// maxIdleConnectionTime is the time after which an unused connection is closed.
	maxIdleConnectionTime = 5 * time.Second
	// maxConnectionsPerHost is the maximum number of connections to one address.
	maxConnectionsPerHost = 4096
	// maxResponseBytes is the size of the largest body of a response. The samples of a step have
	// less.
	maxResponseBytes = 64 << 20
)

// DialFunc opens a connection to an ip:port address.
type DialFunc = fasthttp.DialFunc

// Client sends JSON requests. It never repeats a request.
type Client struct {
	http    *fasthttp.Client
	timeout time.Duration
	headers map[string]string
}

// NewClient returns a client whose requests each take at most timeout. If dial is nil, it dials TCP.
func NewClient(timeout time.Duration, dial DialFunc) *Client {
	if dial == nil {
		dial = fasthttp.Dial
	}
	return &Client{
		timeout: timeout,
		headers: map[string]string{},
		http: &fasthttp.Client{
			Dial:                      httpsyntax.Dial(dial),
			ConfigureClient:           httpsyntax.Configure,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxIdleConnDuration:       maxIdleConnectionTime,
			MaxConnsPerHost:           maxConnectionsPerHost,
			MaxResponseBodySize:       maxResponseBytes,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// WithHeader adds a header to all requests of the client, and returns the client. Call it before the first request.
func (c *Client) WithHeader(name, value string) *Client {
	c.headers[name] = value
	return c
}

// Do sends in as JSON and decodes the body of a 2xx response into out; both may be
// nil. It returns the status code, or zero if there was no response. The error is
//   - UpstreamUnreachable with outcome Unknown if there was no response;
//   - the *failure.Error in the body of a response with a status of 300 or more, or
//     UpstreamFailed if its body has none;
//   - IncompleteAnswer if the body is not valid JSON;
//   - Internal if in cannot be encoded.
func (c *Client) Do(method, url string, in, out any) (int, error) {
	return c.DoTimeout(c.timeout, method, url, in, out)
}

// DoTimeout is Do with another timeout than the client's.
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
			return 0, failure.Wrap(err, failure.Internal, failure.NotRun, "cannot encode the body of %s %s", method, url)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return 0, failure.Wrap(err, failure.UpstreamUnreachable, failure.Unknown, "%s %s: no response within %s", method, url, timeout)
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
