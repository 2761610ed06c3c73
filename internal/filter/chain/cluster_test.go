package chain

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/claim"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/drain"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/health"
	"github.com/sapphirehatch/sapphirehatch/internal/home"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/observe"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/quarantine"
	"github.com/sapphirehatch/sapphirehatch/internal/quota"
	"github.com/sapphirehatch/sapphirehatch/internal/routing"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

const documentText = `
[deployment]
name = test
entry_ttl = 5s
queue_limit = 2

[tenant.depot]
token_sha256 = TOKEN

[service.stock]
timeout = 5s

[rule.bookings]
path_prefix = /bookings
service = stock
`

type source struct{ doc *deployment.Document }

func (s source) Current() *deployment.Document { return s.doc }
func (s source) Changed() <-chan struct{}      { return nil }

// hostState is a health.View with a settable state.
type hostState struct{ state health.State }

func (r *hostState) State() health.State { return r.state }

// table is an in-memory store that can be made unavailable.
type table struct {
	mu   sync.Mutex
	down bool
	rows map[string]platform.Row
}

func (s *table) Read(_ context.Context, keys ...string) ([]platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, failure.New(failure.StoreUnavailable, "", "down")
	}
	return []platform.Row{s.rows[keys[0]]}, nil
}

func (s *table) Scan(context.Context, string, string, int) ([]platform.Row, error) { return nil, nil }

func (s *table) Transact(_ context.Context, tx platform.Transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return failure.New(failure.StoreUnavailable, "", "down")
	}
	for _, c := range tx.Checks {
		if s.rows[c.Key].Version != c.Version {
			return failure.New(failure.Conflict, "", "row")
		}
	}
	for _, w := range tx.Writes {
		s.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: s.rows[w.Key].Version + 1}
	}
	return nil
}

// service is the only upstream. It also is the router that picks it.
type service struct {
	upstream.Engine
	membership.View
	mu sync.Mutex
	// runs holds the bodies of the requests that it ran.
	runs []string
	// last is the last request that it ran, in wire format.
	last string
	// fail, if set, is the result of further requests.
	fail *failure.Error
}

func (s *service) Do(_ context.Context, _ membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response) error {
	s.mu.Lock()
	fail := s.fail
	if fail == nil || fail.Outcome != failure.NotRun {
		s.runs = append(s.runs, string(req.Body()))
		s.last = wire(req)
	}
	s.mu.Unlock()
	if fail != nil {
		return fail
	}
	resp.SetBodyString("booked " + string(req.Body()))
	return nil
}

// wire returns a request in wire format.
func wire(req *fasthttp.Request) string {
	var raw bytes.Buffer
	w := bufio.NewWriter(&raw)
	if err := req.Write(w); err != nil {
		return err.Error()
	}
	_ = w.Flush()
	return raw.String()
}

func (s *service) Reserve(ctx context.Context, _ routing.Request) (routing.Reservation, error) {
	return s, ctx.Err()
}
func (s *service) Upstream() membership.Upstream { return membership.Upstream{ID: "s1"} }
func (s *service) Done(routing.Result)           {}

// cluster is a set of hosts with a common store and upstream.
type cluster struct {
	network *peertest.Network
	table   *table
	service *service
	doc     *deployment.Document
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	sum := sha256.Sum256([]byte("secret"))
	doc, err := deployment.Parse([]byte(strings.Replace(documentText, "TOKEN", hex.EncodeToString(sum[:]), 1)))
	if err != nil {
		t.Fatal(err)
	}
	return &cluster{network: peertest.NewNetwork(), table: &table{rows: make(map[string]platform.Row)}, service: &service{}, doc: doc}
}

// node is one host of a cluster.
type node struct {
	exchange *peertest.Exchange
	handler  filter.Handler
	drain    *drain.Drain
	health   *hostState
	doc      *deployment.Document
}

func (c *cluster) node(t *testing.T, id, incarnation string) *node {
	t.Helper()
	exchange := c.network.Join(peer.Host{ID: id, Incarnation: incarnation})
	i := do.New()
	ready := &hostState{health.Ready}
	do.ProvideValue(i, &settings.Settings{Timing: settings.DefaultTiming()})
	do.ProvideValue(i, logr.Discard())
	do.ProvideValue(i, metrics.NewSet())
	do.ProvideValue(i, duty.NewGroup(logr.Discard()))
	do.ProvideValue[peer.Exchange](i, exchange)
	do.ProvideValue[deployment.Source](i, source{c.doc})
	do.ProvideValue[health.View](i, ready)
	do.ProvideValue[platform.Table](i, c.table)
	do.ProvideValue[routing.Router](i, c.service)
	do.ProvideValue[upstream.Exchanger](i, c.service)
	do.ProvideValue[upstream.Engine](i, c.service)
	do.ProvideValue[membership.View](i, c.service)
	observe.Provide(i)
	quota.Provide(i)
	claim.Provide(i)
	home.Provide(i)
	drain.Provide(i)
	quarantine.Provide(i)
	Provide(i)
	handler, err := do.Invoke[filter.Handler](i)
	if err != nil {
		t.Fatal(err)
	}
	return &node{exchange: exchange, handler: handler, drain: do.MustInvoke[*drain.Drain](i), health: ready, doc: c.doc}
}

// book sends a booking and returns the answer, or the kind and outcome of the failure.
func (n *node) book(t *testing.T, key, body string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	r := &filter.Request{ID: "r", Document: n.doc, Inbound: new(fasthttp.Request), Answer: new(fasthttp.Response)}
	r.Inbound.Header.SetMethod(fasthttp.MethodPost)
	r.Inbound.SetRequestURI("http://host/bookings?van=1")
	r.Inbound.Header.Set("Authorization", "Bearer secret")
	r.Inbound.Header.Set(entryapi.HeaderIdempotencyKey, key)
	r.Inbound.SetBodyString(body)
	return n.answer(ctx, r)
}

// answer passes a request through the chain and returns the answer, or the kind
// and outcome of the failure.
func (n *node) answer(ctx context.Context, r *filter.Request) string {
	if err := n.handler(ctx, r); err != nil {
		e := failure.As(err)
		return string(e.Kind) + " " + string(e.Outcome)
	}
	return string(r.Answer.Body())
}

func want(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// parsed returns the request in raw as the caller API server would parse it.
func (n *node) parsed(t *testing.T, raw string) *filter.Request {
	t.Helper()
	r := &filter.Request{ID: "r", Document: n.doc, Inbound: new(fasthttp.Request), Answer: new(fasthttp.Response)}
	reader := bufio.NewReader(strings.NewReader(raw))
	if err := r.Inbound.Header.Read(reader); err != nil {
		t.Fatal(err)
	}
	if err := r.Inbound.ContinueReadBody(reader, 0, false); err != nil {
		t.Fatal(err)
	}
	r.Inbound.URI().DisablePathNormalizing = true
	return r
}
