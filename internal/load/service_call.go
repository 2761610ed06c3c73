package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

const minAttemptTimeout = time.Millisecond

// serviceCall is one request to a plain service, with a body that is unique to the
// request.
type serviceCall struct {
	caller Caller
	http   *fasthttp.Client
	path   string
	body   []byte
}

func newServiceCall(caller Caller, http *fasthttp.Client, id string, number int, random *rand.Rand) *serviceCall {
	body := []byte(`{"order":"` + id + `","note":"`)
	for len(body) < caller.BodyBytes {
		body = append(body, byte('a'+random.IntN('z'-'a'+1)))
	}
	body = append(body, `"}`...)
	path := joinPath(caller.Path, strconv.Itoa(number))
	return &serviceCall{caller: caller, http: http, path: path, body: body}
}

func joinPath(path, last string) string {
	if path[len(path)-1] != '/' {
		path += "/"
	}
	return path + last
}

// recordID implements call.
func (c *serviceCall) recordID() string { return control.BodyHash(c.body) }

// attempt implements call.
func (c *serviceCall) attempt(address, key string, timeout, left time.Duration) attemptResult {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(c.caller.Method)
	req.SetRequestURI(joinURL(address, c.path))
	req.Header.SetContentType("application/json")
	setHostHeaders(req, c.caller, left)
	if c.caller.Kind == BookingCall {
		req.Header.Set(entryapi.HeaderIdempotent, "false")
	}
	if key != "" {
		req.Header.Set(entryapi.HeaderIdempotencyKey, key)
	}
	req.SetBody(c.body)
	if err := c.http.DoTimeout(req, resp, max(timeout, minAttemptTimeout)); err != nil {
		return classifyError(err)
	}
	if !succeeded(resp) {
		return parseRefusal(resp)
	}
	return attemptResult{answered: true, mismatch: c.check(resp.Body())}
}

// check compares an answer with the expected echo. It returns a description of the
// difference, or "".
func (c *serviceCall) check(body []byte) string {
	var echo standinapi.Echo
	if err := json.Unmarshal(body, &echo); err != nil {
		return fmt.Sprintf("answer of %d bytes is not an echo: %s", len(body), err)
	}
	switch {
	case echo.Body != string(c.body):
		return fmt.Sprintf("echoed body of %d bytes differs from the sent body of %d bytes", len(echo.Body), len(c.body))
	case echo.BodyHash != c.recordID():
		return "echoed body hash is " + echo.BodyHash + ", want " + c.recordID()
	case echo.Method != c.caller.Method || echo.Path != c.path:
		return "echoed request is " + echo.Method + " " + echo.Path + ", want " + c.caller.Method + " " + c.path
	}
	return ""
}
