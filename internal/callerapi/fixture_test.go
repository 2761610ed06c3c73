package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/drain"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/entry"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/authenticate"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/classqueue"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/forward"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/match"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/retry"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
	"github.com/sapphirehatch/sapphirehatch/internal/routing"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

const documentText = `
[deployment]
name = test
max_body = 2KiB
entry_ttl = 5s

[tenant.depot]
token_sha256 = TOKEN

[service.stock]
timeout = 2s

[engines.planner]
model = planner

[rule.bookings]
path_prefix = /bookings
methods = POST
service = stock

[rule.rest]
path_prefix = /specs
service = stock
idempotent = true
`

func TestMain(m *testing.M) {
	// fasthttp starts a global clock goroutine with the first header. Start it here,
	// outside of any synctest bubble.
	_ = new(fasthttp.ResponseHeader).Header()
	m.Run()
}

type fakeSource struct{ doc *deployment.Document }

func (s fakeSource) Current() *deployment.Document { return s.doc }
func (s fakeSource) Changed() <-chan struct{}      { return nil }

type noDemand struct{}

func (noDemand) DemandByHost() map[string]float64 { return nil }

type fakeReservation struct{ id string }

func (r fakeReservation) Upstream() membership.Upstream {
	return membership.Upstream{ID: r.id, Address: "127.0.0.1:1"}
}
func (r fakeReservation) Done(routing.Result) {}

type fakeRouter struct{}

func (fakeRouter) Reserve(_ context.Context, req routing.Request) (routing.Reservation, error) {
	ids := lo.Without([]string{"u1", "u2", "u3", "u4", "u5", "u6", "u7"}, req.Avoid...)
	return fakeReservation{id: ids[0]}, nil
}

// fakeUpstreams answers with the functions that a test sets.
type fakeUpstreams struct {
	upstream.Engine
	do       func(ctx context.Context, target membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response) error
	generate func(ctx context.Context, target membership.Upstream, req engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error)
}

func (f *fakeUpstreams) Do(ctx context.Context, target membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response) error {
	return f.do(ctx, target, req, resp)
}

func (f *fakeUpstreams) Generate(ctx context.Context, target membership.Upstream, req engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error) {
	return f.generate(ctx, target, req, onChunk)
}

type fixture struct {
	client   *http.Client
	exchange *peertest.Exchange
	drain    *drain.Drain
	stop     context.CancelFunc
	stopped  chan struct{}
}

// start runs a server over in-memory connections. Call it within a synctest bubble.
func start(t *testing.T, fake *fakeUpstreams) *fixture {
	t.Helper()
	sum := sha256.Sum256([]byte("secret"))
	doc, err := deployment.Parse([]byte(strings.Replace(documentText, "TOKEN", hex.EncodeToString(sum[:]), 1)))
	if err != nil {
		t.Fatal(err)
	}
	exchange := peertest.NewNetwork().Join(peer.Host{ID: "h1", Incarnation: "i1", CallerAddress: "127.0.0.1:1", FailureDomain: "a"})
	src := fakeSource{doc}
	d := drain.New(exchange, drain.EntryTTL(src), logr.Discard(), time.Minute)
	answers := entry.New(exchange, src, noDemand{}, rand.New(rand.NewPCG(1, 2)))
	handler := filter.Compose(&authenticate.Authenticate{}, &match.Match{}, &classqueue.ClassQueue{}, &retry.Retry{}, forward.New(fakeRouter{}, fake, fake))
	s := New("h1", logr.Discard(), src, d, answers, handler)
	listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	f := &fixture{exchange: exchange, drain: d, stop: cancel, stopped: make(chan struct{})}
	go func() { defer close(f.stopped); _ = s.Serve(ctx, listener) }()
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return listener.Dial() }}
	f.client = &http.Client{Transport: transport}
	t.Cleanup(func() {
		cancel()
		transport.CloseIdleConnections()
		<-f.stopped
		// The worker pool of fasthttp ends only at its next periodic cleanup.
		time.Sleep(time.Minute)
	})
	return f
}

// pipeListener accepts in-memory connections without a buffer: a write blocks until
// the other end reads.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Dial() (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

type answer struct {
	StatusCode int
	Header     http.Header
	Close      bool
	Body       string
}

func (f *fixture) send(t *testing.T, method, path, body string, headers ...string) answer {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://host"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{StatusCode: resp.StatusCode, Header: resp.Header, Close: resp.Close, Body: string(text)}
}
