package platform

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/httpsyntax"
)

// HTTPClient is an HTTP client for one address that never retries a call. The
// clients of the platform's services use it, whatever their wire format.
type HTTPClient struct {
	client *fasthttp.HostClient
	base   string
}

// HTTPClientConfig configures an HTTPClient.
type HTTPClientConfig struct {
	// Address is the ip:port of the services.
	Address string
	// Dial opens a connection. An error that matches NotSent means that nothing was sent.
	Dial func(address string) (net.Conn, error)
	// MaxConnections is the maximum number of connections. ConnectionWait is how long
	// a call waits for a free one.
	MaxConnections int
	ConnectionWait time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// MaxAnswerBytes is the maximum size of a reply's body.
	MaxAnswerBytes int
}

// NewHTTPClient returns an HTTPClient without open connections.
func NewHTTPClient(c HTTPClientConfig) *HTTPClient {
	return &HTTPClient{
		client: &fasthttp.HostClient{
			Addr:                      c.Address,
			Dial:                      httpsyntax.Dial(c.Dial),
			MaxConns:                  c.MaxConnections,
			MaxConnWaitTimeout:        c.ConnectionWait,
			MaxIdleConnDuration:       c.IdleTimeout,
			MaxResponseBodySize:       c.MaxAnswerBytes,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:  true,
			SecureErrorLogMessage:     true,
		},
		base: "http://" + c.Address,
	}
}

// Attempt sends a request once and returns the complete reply. contentType is the
// type of body, which may be nil. If NotSent reports true for the error, the call
// had no effect; otherwise it may have had one.
func (c *HTTPClient) Attempt(method, path, contentType string, body []byte, deadline time.Time) (status int, response []byte, err error) {
	return c.AttemptWithHeader(method, path, contentType, nil, body, deadline)
}

// AttemptWithHeader is like Attempt, with additional request headers.
func (c *HTTPClient) AttemptWithHeader(method, path, contentType string, header map[string]string, body []byte, deadline time.Time) (status int, response []byte, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	if body != nil {
		req.Header.SetContentType(contentType)
		req.SetBodyRaw(body)
	}
	if err := c.client.DoDeadline(req, resp, deadline); err != nil {
		if !NotSent(err) {
			// Whatever broke this connection may have broken the idle ones, too.
			c.client.CloseIdleConnections()
		}
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// NotSent reports whether an error of Attempt means that no byte of the request
// was sent.
func NotSent(err error) bool {
	var unsent *notSentError
	return errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
