package control

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// fixture is a running server on in-memory connections.
type fixture struct {
	*Server
	mu   sync.Mutex
	ln   *fasthttputil.InmemoryListener
	ran  atomic.Int64
	stop context.CancelFunc
	done chan error
}

const responseBody = "0123456789"

// start runs a server that returns responseBody for each request.
func start(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{done: make(chan error, 1)}
	server, err := NewServer(Config{Listen: f.listen}, func(ctx *fasthttp.RequestCtx) {
		if !f.StartExecution(standinapi.LogEntry{Event: "run", Path: string(ctx.Path())}, ctx.PostBody()) {
			return
		}
		f.ran.Add(1)
		ctx.SetBodyString(responseBody)
	})
	if err != nil {
		t.Fatal(err)
	}
	f.Server = server
	ctx, stop := context.WithCancel(t.Context())
	f.stop = stop
	go func() { f.done <- server.Run(ctx) }()
	<-server.Ready()
	synctest.Wait()
	return f
}

// finish stops the server and waits until the background goroutine of fasthttp has ended.
func (f *fixture) finish() error {
	f.stop()
	err := <-f.done
	time.Sleep(time.Minute)
	return err
}

func (f *fixture) listen() (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ln = fasthttputil.NewInmemoryListener()
	return f.ln, nil
}

func (f *fixture) dial() (net.Conn, error) {
	f.mu.Lock()
	ln := f.ln
	f.mu.Unlock()
	return ln.Dial()
}

func (f *fixture) set(t *testing.T, fault standinapi.Fault) {
	t.Helper()
	if err := f.SetFault(fault); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// exchange sends a request on a connection and returns the response body.
func exchange(c net.Conn, body string, timeout time.Duration) (string, error) {
	req := "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + fasthttpLen(body) + "\r\n\r\n" + body
	if _, err := io.WriteString(c, req); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	buf := make([]byte, 4096)
	var got []byte
	for {
		n, err := c.Read(buf)
		got = append(got, buf[:n]...)
		_, after, found := bytes.Cut(got, endOfHeader)
		switch {
		case found && len(after) >= len(responseBody):
			return string(after), nil
		case err != nil && found:
			return string(after), nil //nolint:nilerr // the response was truncated
		case err != nil:
			return "", err
		}
	}
}

func fasthttpLen(body string) string { return string(fasthttp.AppendUint(nil, len(body))) }

func mustDial(t *testing.T, f *fixture) net.Conn {
	t.Helper()
	c, err := f.dial()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestResponseFaults(t *testing.T) {
	cases := []struct {
		fault   standinapi.Fault
		body    string
		err     bool
		ran     int64
		atLeast time.Duration
	}{
		{fault: standinapi.Fault{Kind: standinapi.FaultSlow, DelayMillis: 500}, body: responseBody, ran: 1, atLeast: 500 * time.Millisecond},
		{fault: standinapi.Fault{Kind: standinapi.FaultReplyLost}, err: true, ran: 1},
		{fault: standinapi.Fault{Kind: standinapi.FaultTruncateResponse, Bytes: 4}, body: responseBody[:4], ran: 1},
		{fault: standinapi.Fault{Kind: standinapi.FaultResetConnection}, err: true},
	}
	for _, c := range cases {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := start(t)
				c.fault.On = true
				f.set(t, c.fault)
				begin := time.Now()
				conn := mustDial(t, f)
				body, err := exchange(conn, "q", 10*time.Second)
				if (err != nil) != c.err || body != c.body || f.ran.Load() != c.ran {
					t.Errorf("body %q, error %v, ran %d; want %q, error %v, ran %d", body, err, f.ran.Load(), c.body, c.err, c.ran)
				}
				if took := time.Since(begin); took < c.atLeast {
					t.Errorf("response after %v, want at least %v", took, c.atLeast)
				}
				_ = conn.Close()
				if err := f.finish(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// FaultSilentConnections affects the connections that are open when it is switched on, and no later ones.
func TestSilentAffectsOpenConnectionsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		old := mustDial(t, f)
		if _, err := exchange(old, "q", time.Second); err != nil {
			t.Fatal(err)
		}
		f.set(t, standinapi.Fault{Kind: standinapi.FaultSilentConnections, On: true})
		if body, err := exchange(old, "q", time.Second); err == nil {
			t.Errorf("silent connection returned %q", body)
		}
		fresh := mustDial(t, f)
		if body, err := exchange(fresh, "q", time.Second); err != nil || body != responseBody {
			t.Errorf("new connection returned %q, error %v", body, err)
		}
		if ran := f.ran.Load(); ran != 2 {
			t.Errorf("%d requests ran, want 2", ran)
		}
		_ = old.Close()
		_ = fresh.Close()
		if err := f.finish(); err != nil {
			t.Error(err)
		}
	})
}

func TestFrozenRequestRunsAfterTheFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		conn := mustDial(t, f)
		f.set(t, standinapi.Fault{Kind: standinapi.FaultFreeze, On: true})
		got := make(chan string, 1)
		go func() {
			body, _ := exchange(conn, "q", time.Hour)
			got <- body
		}()
		time.Sleep(time.Minute)
		if f.ran.Load() != 0 || len(got) != 0 {
			t.Error("the server executed a request during FaultFreeze")
		}
		f.set(t, standinapi.Fault{Kind: standinapi.FaultFreeze})
		if body := <-got; body != responseBody {
			t.Errorf("body %q after FaultFreeze", body)
		}
		_ = conn.Close()
		if err := f.finish(); err != nil {
			t.Error(err)
		}
	})
}

func TestDownClosesConnectionsAndListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		old := mustDial(t, f)
		f.set(t, standinapi.Fault{Kind: standinapi.FaultDown, On: true})
		if _, err := exchange(old, "q", time.Second); err == nil {
			t.Error("a connection is still open during FaultDown")
		}
		if c, err := f.dial(); err == nil {
			_ = c.Close()
			t.Error("the listener is still open during FaultDown")
		}
		f.set(t, standinapi.Fault{Kind: standinapi.FaultDown})
		fresh := mustDial(t, f)
		if body, err := exchange(fresh, "q", time.Second); err != nil || body != responseBody {
			t.Errorf("body %q, error %v after FaultDown", body, err)
		}
		_ = old.Close()
		_ = fresh.Close()
		if err := f.finish(); err != nil {
			t.Error(err)
		}
	})
}

func TestCrashLogsTheRequestAndStopsTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.set(t, standinapi.Fault{Kind: standinapi.FaultCrashOnMatch, On: true, Match: "bad"})
		good, bad := mustDial(t, f), mustDial(t, f)
		if _, err := exchange(good, "fine", time.Second); err != nil {
			t.Error(err)
		}
		if _, err := exchange(bad, "a bad one", time.Second); err == nil {
			t.Error("the request that crashes the server got a response")
		}
		if err := f.finish(); err == nil || errors.Is(err, context.Canceled) {
			t.Errorf("error %v, want that of the crash", err)
		}
		if n := len(f.Log().Entries(0)); n != 2 {
			t.Errorf("%d entries in the log, want 2", n)
		}
		_ = good.Close()
		_ = bad.Close()
	})
}

func TestLogFileKeepsEntriesAcrossRestarts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	for round := 1; round <= 2; round++ {
		l, err := OpenLog(path)
		if err != nil {
			t.Fatal(err)
		}
		l.Add(standinapi.LogEntry{Event: "run", Key: "k"})
		if n := len(l.Entries(0)); n != round {
			t.Errorf("%d entries after the log was opened %d times", n, round)
		}
		l.Close()
	}
}
