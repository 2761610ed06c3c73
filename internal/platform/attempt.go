package platform

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Attempter makes single attempts at HTTP calls to one address. It is the
// transport of the platform's services, whatever their interface.
type Attempter struct {
	client *fasthttp.HostClient
	base   string
}

// AttemptConfig describes an Attempter.
type AttemptConfig struct {
	// Address is the services' ip:port.
	Address string
	// Dial opens a connection; an error that matches NotSent says that nothing was sent.
	Dial func(address string) (net.Conn, error)
	// Connections bounds the connections, and ConnectionWait the wait for one.
	Connections    int
	ConnectionWait time.Duration
	// Idle is how long an idle connection is kept.
	Idle time.Duration
	// AnswerBytes bounds an answer's body.
	AnswerBytes int
}

// NewAttempter returns an Attempter.
func NewAttempter(c AttemptConfig) *Attempter {
	return &Attempter{
		client: &fasthttp.HostClient{
			Addr:                      c.Address,
			Dial:                      c.Dial,
			MaxConns:                  c.Connections,
			MaxConnWaitTimeout:        c.ConnectionWait,
			MaxIdleConnDuration:       c.Idle,
			MaxResponseBodySize:       c.AnswerBytes,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:  true,
		},
		base: "http://" + c.Address,
	}
}

// Attempt sends a request and returns the whole answer. contentType belongs to
// body, which may be nil. NotSent tells of an error whether the call surely had no effect.
func (a *Attempter) Attempt(method, path, contentType string, body []byte, deadline time.Time) (status int, answer []byte, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(a.base + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType(contentType)
		req.SetBodyRaw(body)
	}
	if err := a.client.DoDeadline(req, resp, deadline); err != nil {
		if !NotSent(err) {
			// Other idle connections may have gone silent together with this one.
			a.client.CloseIdleConnections()
		}
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// NotSent reports whether an error of an attempt says that no byte of the request was sent.
func NotSent(err error) bool {
	var unsent *notSentError
	return errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
