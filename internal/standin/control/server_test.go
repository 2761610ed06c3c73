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

// bench is a server on in-memory connections.
type bench struct {
	*Server
	mu   sync.Mutex
	ln   *fasthttputil.InmemoryListener
	ran  atomic.Int64
	stop context.CancelFunc
	done chan error
}

const answer = "0123456789"

// newBench starts a server that answers each request with ten bytes.
func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{done: make(chan error, 1)}
	server, err := NewServer(Config{Listen: b.listen}, func(ctx *fasthttp.RequestCtx) {
		if !b.Start(standinapi.LogEntry{Event: "run", Path: string(ctx.Path())}, ctx.PostBody()) {
			return
		}
		b.ran.Add(1)
		ctx.SetBodyString(answer)
	})
	if err != nil {
		t.Fatal(err)
	}
	b.Server = server
	ctx, stop := context.WithCancel(t.Context())
	b.stop = stop
	go func() { b.done <- server.Run(ctx) }()
	<-server.Ready()
	synctest.Wait()
	return b
}

// finish stops the server and waits out the server library's cleaner.
func (b *bench) finish() error {
	b.stop()
	err := <-b.done
	time.Sleep(time.Minute)
	return err
}

func (b *bench) listen() (net.Listener, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ln = fasthttputil.NewInmemoryListener()
	return b.ln, nil
}

func (b *bench) dial() (net.Conn, error) {
	b.mu.Lock()
	ln := b.ln
	b.mu.Unlock()
	return ln.Dial()
}

func (b *bench) set(t *testing.T, fault standinapi.Fault) {
	t.Helper()
	if err := b.SetFault(fault); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// exchange sends a request on a connection and returns the body of its answer.
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
		case found && len(after) >= len(answer):
			return string(after), nil
		case err != nil && found:
			return string(after), nil //nolint:nilerr // an answer that was cut off
		case err != nil:
			return "", err
		}
	}
}

func fasthttpLen(body string) string { return string(fasthttp.AppendUint(nil, len(body))) }

func mustDial(t *testing.T, b *bench) net.Conn {
	t.Helper()
	c, err := b.dial()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestFaultsOfAnswers(t *testing.T) {
	cases := []struct {
		fault   standinapi.Fault
		body    string
		err     bool
		ran     int64
		atLeast time.Duration
	}{
		{fault: standinapi.Fault{Kind: standinapi.FaultSlow, DelayMillis: 500}, body: answer, ran: 1, atLeast: 500 * time.Millisecond},
		{fault: standinapi.Fault{Kind: standinapi.FaultReplyLost}, err: true, ran: 1},
		{fault: standinapi.Fault{Kind: standinapi.FaultTruncateResponse, Bytes: 4}, body: answer[:4], ran: 1},
		{fault: standinapi.Fault{Kind: standinapi.FaultResetConnection}, err: true},
	}
	for _, c := range cases {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				c.fault.On = true
				b.set(t, c.fault)
				begin := time.Now()
				conn := mustDial(t, b)
				body, err := exchange(conn, "q", 10*time.Second)
				if (err != nil) != c.err || body != c.body || b.ran.Load() != c.ran {
					t.Errorf("body %q, error %v, ran %d; want %q, error %v, ran %d", body, err, b.ran.Load(), c.body, c.err, c.ran)
				}
				if took := time.Since(begin); took < c.atLeast {
					t.Errorf("answered after %v, want at least %v", took, c.atLeast)
				}
				_ = conn.Close()
				if err := b.finish(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

func TestSilentSwallowsOldConnectionsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		old := mustDial(t, b)
		if _, err := exchange(old, "q", time.Second); err != nil {
			t.Fatal(err)
		}
		b.set(t, standinapi.Fault{Kind: standinapi.FaultSilentConnections, On: true})
		if body, err := exchange(old, "q", time.Second); err == nil {
			t.Errorf("silent connection answered %q", body)
		}
		fresh := mustDial(t, b)
		if body, err := exchange(fresh, "q", time.Second); err != nil || body != answer {
			t.Errorf("new connection answered %q, error %v", body, err)
		}
		if ran := b.ran.Load(); ran != 2 {
			t.Errorf("%d requests ran, want 2", ran)
		}
		_ = old.Close()
		_ = fresh.Close()
		if err := b.finish(); err != nil {
			t.Error(err)
		}
	})
}

func TestFreezeGoesOnWhereItStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		conn := mustDial(t, b)
		b.set(t, standinapi.Fault{Kind: standinapi.FaultFreeze, On: true})
		got := make(chan string, 1)
		go func() {
			body, _ := exchange(conn, "q", time.Hour)
			got <- body
		}()
		time.Sleep(time.Minute)
		if b.ran.Load() != 0 || len(got) != 0 {
			t.Error("a frozen server executed a request")
		}
		b.set(t, standinapi.Fault{Kind: standinapi.FaultFreeze})
		if body := <-got; body != answer {
			t.Errorf("body %q after the thaw", body)
		}
		_ = conn.Close()
		if err := b.finish(); err != nil {
			t.Error(err)
		}
	})
}

func TestDownClosesAndReopens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		old := mustDial(t, b)
		b.set(t, standinapi.Fault{Kind: standinapi.FaultDown, On: true})
		if _, err := exchange(old, "q", time.Second); err == nil {
			t.Error("a connection outlived the fault")
		}
		if c, err := b.dial(); err == nil {
			_ = c.Close()
			t.Error("the listener is still open")
		}
		b.set(t, standinapi.Fault{Kind: standinapi.FaultDown})
		fresh := mustDial(t, b)
		if body, err := exchange(fresh, "q", time.Second); err != nil || body != answer {
			t.Errorf("body %q, error %v after the fault", body, err)
		}
		_ = old.Close()
		_ = fresh.Close()
		if err := b.finish(); err != nil {
			t.Error(err)
		}
	})
}

func TestCrashRecordsTheRequestAndEndsTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.set(t, standinapi.Fault{Kind: standinapi.FaultCrashOnMatch, On: true, Match: "bad"})
		good, bad := mustDial(t, b), mustDial(t, b)
		if _, err := exchange(good, "fine", time.Second); err != nil {
			t.Error(err)
		}
		if _, err := exchange(bad, "a bad one", time.Second); err == nil {
			t.Error("the crashing request was answered")
		}
		if err := b.finish(); err == nil || errors.Is(err, context.Canceled) {
			t.Errorf("error %v, want the crash", err)
		}
		if n := len(b.Log().Entries(0)); n != 2 {
			t.Errorf("%d entries in the record, want 2", n)
		}
		_ = good.Close()
		_ = bad.Close()
	})
}

func TestLogOutlivesTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	for round := 1; round <= 2; round++ {
		l, err := OpenLog(path)
		if err != nil {
			t.Fatal(err)
		}
		l.Add(standinapi.LogEntry{Event: "run", Key: "k"})
		if n := len(l.Entries(0)); n != round {
			t.Errorf("%d entries after start %d", n, round)
		}
		l.Close()
	}
}
