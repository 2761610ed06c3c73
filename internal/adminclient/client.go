package adminclient

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/adminapi"
	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/httpsyntax"
)

// callTimeout bounds one call to one host. Committing a change can take several seconds.
const callTimeout = 8 * time.Second

// maxResponseBytes is the size of the largest body of a response. A document has at most 256 KiB.
const maxResponseBytes = 16 << 20

// Client calls hosts in order until one gives a definite response. Repeating a call on
// the next host is safe: queries change nothing, and a change is identified by its id.
type Client struct {
	hosts []string
	token string
	http  *fasthttp.Client
}

// New returns a client for hosts, given as administration addresses ip:port, that
// authenticates with an operator's token.
func New(hosts []string, token string) *Client {
	return &Client{
		hosts: hosts,
		token: token,
		http: &fasthttp.Client{
			Dial:                      httpsyntax.Dial(fasthttp.Dial),
			ConfigureClient:           httpsyntax.Configure,
			MaxResponseBodySize:       maxResponseBytes,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// ResponseError is the error response of a host.
type ResponseError struct {
	adminapi.ErrorResponse
	// Host is the administration address of the host that responded.
	Host string
}

// Error implements error.
func (e *ResponseError) Error() string {
	return "host " + e.Host + ": " + e.ErrorResponse.Error.Error()
}

// Unwrap returns the *failure.Error in the response.
func (e *ResponseError) Unwrap() error { return e.ErrorResponse.Error }

// Apply requests a change. An error of kind Conflict is a ResponseError whose Current
// is the version accepted meanwhile. If the outcome of the error is unknown, repeat the
// call with the same change id.
func (c *Client) Apply(request adminapi.ApplyRequest) (adminapi.ApplyResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return adminapi.ApplyResponse{}, failure.Wrap(err, failure.Internal, "", "request cannot be encoded")
	}
	var answer adminapi.ApplyResponse
	err = c.call(http.MethodPost, adminapi.PathConfig, body, &answer)
	return answer, err
}

// Show returns a version with its document. Version zero means the one in force.
func (c *Client) Show(version uint64) (config.Record, error) {
	path := adminapi.PathConfig
	if version != 0 {
		path += "?version=" + strconv.FormatUint(version, 10)
	}
	var record config.Record
	err := c.call(http.MethodGet, path, nil, &record)
	return record, err
}

// History returns up to limit accepted versions, newest first.
func (c *Client) History(limit int) ([]config.VersionInfo, error) {
	var answer adminapi.HistoryResponse
	err := c.call(http.MethodGet, adminapi.PathConfigHistory+"?limit="+strconv.Itoa(limit), nil, &answer)
	return answer.Versions, err
}

// Status returns the version in force on each host.
func (c *Client) Status() (config.Status, error) {
	var status config.Status
	err := c.call(http.MethodGet, adminapi.PathConfigStatus, nil, &status)
	return status, err
}

// call tries the hosts in order until one gives a definite response. The error is of
// kind StoreInDoubt if a host may have run the call and none gave a definite response.
func (c *Client) call(method, path string, body []byte, answer any) error {
	var lastErr error
	mayHaveRun := false
	for _, host := range c.hosts {
		lastErr = c.callHost(host, method, path, body, answer)
		if !shouldTryNextHost(lastErr) {
			return lastErr
		}
		mayHaveRun = mayHaveRun || failure.As(lastErr).Outcome == failure.Unknown
	}
	if mayHaveRun {
		return failure.Wrap(lastErr, failure.StoreInDoubt, failure.Unknown, "no host confirmed the outcome of the call; repeat it")
	}
	return lastErr
}

// shouldTryNextHost reports whether another host may succeed where one failed with err.
func shouldTryNextHost(err error) bool {
	for _, kind := range []failure.Kind{
		failure.PeerUnreachable, failure.StoreUnavailable, failure.StoreInDoubt,
		failure.NotReady, failure.Draining, failure.Isolated, failure.Internal,
	} {
		if failure.IsKind(err, kind) {
			return true
		}
	}
	return false
}

func (c *Client) callHost(host, method, path string, body []byte, answer any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + host + path)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	req.SetBodyRaw(body)
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		return failure.Wrap(err, failure.PeerUnreachable, transportOutcome(err), "host %s did not respond", host)
	}
	if resp.StatusCode() != http.StatusOK {
		return newResponseError(host, resp)
	}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return failure.Wrap(err, failure.PeerUnreachable, failure.Unknown, "response of host %s cannot be parsed", host)
	}
	return nil
}

// transportOutcome returns NotRun if the connection could not be opened. After any other
// error the host may have received the call, and the outcome is Unknown.
func transportOutcome(err error) failure.Outcome {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return failure.NotRun
	}
	return failure.Unknown
}

// newResponseError converts a response whose status is not 200 to an error.
func newResponseError(host string, resp *fasthttp.Response) error {
	e := &ResponseError{Host: host}
	if err := json.Unmarshal(resp.Body(), &e.ErrorResponse); err != nil || e.ErrorResponse.Error == nil {
		return failure.New(failure.PeerUnreachable, failure.Unknown, "host %s answered with status %d", host, resp.StatusCode())
	}
	return e
}

// AsResponseError returns the ResponseError in the chain of err, or nil.
func AsResponseError(err error) *ResponseError {
	var e *ResponseError
	if errors.As(err, &e) {
		return e
	}
	return nil
}
