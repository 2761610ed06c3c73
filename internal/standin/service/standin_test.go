package service

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/member"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// fixture is a running service on in-memory connections.
type fixture struct {
	*Standin
	ln   *fasthttputil.InmemoryListener
	stop context.CancelFunc
	done chan error
}

func startService(t *testing.T, cfg Config) *fixture {
	t.Helper()
	f := &fixture{ln: fasthttputil.NewInmemoryListener(), done: make(chan error, 1)}
	cfg.Server = control.Config{Listen: func() (net.Listener, error) { return f.ln, nil }, LeaveGrace: time.Second}
	cfg.Registration = member.Registration{Member: platform.Member{Pool: "booking"}}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	f.Standin = s
	ctx, stop := context.WithCancel(t.Context())
	f.stop = stop
	go func() { f.done <- s.Run(ctx) }()
	<-s.Ready()
	return f
}

func (f *fixture) finish(t *testing.T) {
	t.Helper()
	f.stop()
	if err := <-f.done; err != nil {
		t.Error(err)
	}
	time.Sleep(time.Minute) // until the background goroutine of fasthttp has ended
}

// response is a response with its complete body.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request on a new connection. The channel receives the response.
func (f *fixture) send(t *testing.T, body string) (net.Conn, <-chan response) {
	t.Helper()
	c, err := f.ln.Dial()
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://s/book/7", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(entryapi.HeaderIdempotencyKey, "key-"+body)
	req.Header.Set(engineapi.HeaderRequestID, "id-"+body)
	answers := make(chan response, 1)
	go func() {
		if err := req.Write(c); err != nil {
			answers <- response{err: err}
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), req)
		if err != nil {
			answers <- response{err: err}
			return
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		answers <- response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	}()
	return c, answers
}

func TestExecutionIsLoggedBeforeTheResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startService(t, Config{AnswerTime: time.Second, Slots: 1})
		c, answers := f.send(t, "order")
		time.Sleep(time.Millisecond)
		want := standinapi.LogEntry{
			Event: EventRun, RequestID: "id-order", Key: "key-order", Method: http.MethodPut, Path: "/book/7",
			BodyHash: control.BodyHash([]byte("order")),
		}
		got := f.Log().Entries(0)
		if len(got) != 1 {
			t.Fatalf("%d entries before the response, want 1", len(got))
		}
		got[0].AtMillis = 0
		if diff := cmp.Diff(want, got[0]); diff != "" {
			t.Error(diff)
		}
		answer := <-answers
		var echo standinapi.Echo
		if err := json.Unmarshal([]byte(answer.body), &echo); err != nil {
			t.Fatal(err)
		}
		wantEcho := standinapi.Echo{
			Service: "booking", Method: want.Method, Path: want.Path, RequestID: want.RequestID, Key: want.Key,
			BodyHash: want.BodyHash, Body: "order",
		}
		if diff := cmp.Diff(wantEcho, echo); diff != "" {
			t.Error(diff)
		}
		_ = c.Close()
		f.finish(t)
	})
}

// A request whose client disconnects while it waits for a slot must not be executed.
func TestRequestOfDisconnectedClientDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startService(t, Config{AnswerTime: time.Second, Slots: 1})
		first, firstAnswer := f.send(t, "first")
		time.Sleep(time.Millisecond)
		second, secondAnswer := f.send(t, "second")
		time.Sleep(time.Millisecond)
		_ = second.Close()
		<-firstAnswer
		<-secondAnswer
		time.Sleep(5 * time.Second)
		if n := len(f.Log().Entries(0)); n != 1 {
			t.Errorf("%d requests ran, want 1: the second client disconnected while its request waited", n)
		}
		_ = first.Close()
		f.finish(t)
	})
}

func TestShutdownRefusesNewRequestsAndFinishesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startService(t, Config{AnswerTime: 10 * time.Second, Slots: 2})
		old, oldAnswer := f.send(t, "old")
		time.Sleep(time.Millisecond)
		f.stop()
		time.Sleep(time.Millisecond)
		fresh, freshAnswer := f.send(t, "fresh")
		refused := <-freshAnswer
		if refused.status != http.StatusServiceUnavailable || refused.header.Get(engineapi.HeaderUpstreamState) != engineapi.UpstreamStateLeaving {
			t.Errorf("new request got status %d, state %q", refused.status, refused.header.Get(engineapi.HeaderUpstreamState))
		}
		if finished := <-oldAnswer; finished.status != http.StatusOK || finished.err != nil {
			t.Errorf("request in flight got status %d, error %v", finished.status, finished.err)
		}
		_ = old.Close()
		_ = fresh.Close()
		f.finish(t)
	})
}
