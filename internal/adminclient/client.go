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
)

// callTimeout bounds one call to one host. A commit may take most of it.
const callTimeout = 8 * time.Second

// Client calls the first host that can answer. Every call may be repeated on
// the next host, because a change carries its id.
type Client struct {
	hosts []string
	token string
	http  *fasthttp.Client
}

// New returns a client for administration addresses and an operator's token.
func New(hosts []string, token string) *Client {
	return &Client{
		hosts: hosts,
		token: token,
		http: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// RefusalError is a host's refusal with its details.
type RefusalError struct {
	adminapi.ErrorResponse
	Host string
}

// Error implements error.
func (e *RefusalError) Error() string { return "host " + e.Host + ": " + e.ErrorResponse.Error.Error() }

// Unwrap returns the refusal as a *failure.Error.
func (e *RefusalError) Unwrap() error { return e.ErrorResponse.Error }

// Apply asks for a change. A Conflict error has the accepted version in RefusalError.Current.
func (c *Client) Apply(request adminapi.ApplyRequest) (adminapi.ApplyResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return adminapi.ApplyResponse{}, failure.Wrap(err, failure.Internal, "", "request cannot be encoded")
	}
	var answer adminapi.ApplyResponse
	err = c.call(http.MethodPost, adminapi.PathConfig, body, &answer)
	return answer, err
}

// Show returns a version with its document; version zero means the one in force.
func (c *Client) Show(version uint64) (config.Record, error) {
	path := adminapi.PathConfig
	if version != 0 {
		path += "?version=" + strconv.FormatUint(version, 10)
	}
	var record config.Record
	err := c.call(http.MethodGet, path, nil, &record)
	return record, err
}

// History returns up to limit accepted versions, the newest first.
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

// call asks the hosts in turn until one gives an answer that another could not better.
func (c *Client) call(method, path string, body []byte, answer any) error {
	var last error
	inDoubt := false
	for _, host := range c.hosts {
		last = c.callHost(host, method, path, body, answer)
		if !worthAnotherHost(last) {
			return last
		}
		inDoubt = inDoubt || failure.As(last).Outcome == failure.Unknown
	}
	if inDoubt {
		return failure.Wrap(last, failure.StoreInDoubt, failure.Unknown, "no host could settle the call; repeat it")
	}
	return last
}

func worthAnotherHost(err error) bool {
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
		return failure.Wrap(err, failure.PeerUnreachable, outcomeOf(err), "host %s gave no answer", host)
	}
	if resp.StatusCode() != http.StatusOK {
		return refusal(host, resp)
	}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return failure.Wrap(err, failure.PeerUnreachable, failure.Unknown, "answer of host %s cannot be read", host)
	}
	return nil
}

// outcomeOf tells a call that was surely not sent from one that may have arrived.
func outcomeOf(err error) failure.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.NotRun
	}
	return failure.Unknown
}

func refusal(host string, resp *fasthttp.Response) error {
	e := &RefusalError{Host: host}
	if err := json.Unmarshal(resp.Body(), &e.ErrorResponse); err != nil || e.ErrorResponse.Error == nil {
		return failure.New(failure.PeerUnreachable, failure.Unknown, "host %s answered with status %d", host, resp.StatusCode())
	}
	return e
}

// AsRefusal returns the RefusalError that err carries, or nil.
func AsRefusal(err error) *RefusalError {
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}
