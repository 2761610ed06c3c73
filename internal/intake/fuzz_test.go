package intake

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// FuzzRequest sends bytes to a server. Whatever they are, the handler must get no body above the
// limit, the body of the first request must be the one that net/http reads if it accepts the
// request too, and all reserved bytes must be returned.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		"", "\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", post(3, "") + "abc", post(5, "") + "abc",
		chunkedHead + "3\r\nabc\r\n0\r\n\r\n", chunkedHead + "3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nT: u\r\n\r\n",
		chunkedHead + "3\r\nabc\r\n", chunkedHead + "3\r\nabcd\r\n0\r\n\r\n", chunkedHead + "ffffffffffffffff\r\n", chunkedHead + "-1\r\n",
		post(3, "Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n0\r\n\r\n", post(3, "Content-Length: 4\r\n") + "abcd",
		post(3, "Expect: 100-continue\r\n") + "abc", "POST / HTTP/1.0\r\n\r\nabc", post(3, "") + "abc" + post(2, "") + "de",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n", post(0, "X: "+strings.Repeat("x", testHeader)+"\r\n"),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 10
		limits := LimitsOf(0, 0)
		limits.StallTimeout = 50 * time.Millisecond
		gate := New(limits, nil, &counter{events: map[string]int{}}, logr.Discard())
		socket := fasthttputil.NewInmemoryListener()
		l := gate.Listen("fuzz", socket, func() RequestLimits { return RequestLimits{BodyBytes: limit, HeaderTimeout: 50 * time.Millisecond} }, true)
		var bodies [][]byte
		server := &fasthttp.Server{NoDefaultServerHeader: true, Logger: quiet{}, Handler: func(ctx *fasthttp.RequestCtx) {
			bodies = append(bodies, bytes.Clone(ctx.Request.Body()))
		}}
		Protect(server, l, func(ctx *fasthttp.RequestCtx, e *failure.Error) { ctx.SetStatusCode(e.Status()) })
		ended := make(chan struct{})
		conn, accepted := make(chan io.ReadWriteCloser, 1), make(chan struct{})
		go func() {
			c, err := socket.Dial()
			if err != nil {
				t.Error(err)
			}
			conn <- c
			close(accepted)
		}()
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		client := <-conn
		<-accepted
		go func() {
			defer close(ended)
			_ = server.ServeConn(c)
			_ = c.Close()
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		if len(data) > 0 {
			// An in-memory connection passes an empty write on as an empty read.
			_, _ = client.Write(data)
		}
		_ = client.Close()
		<-ended
		for _, body := range bodies {
			if len(body) > limit {
				t.Fatalf("the handler got a body of %d bytes", len(body))
			}
		}
		if used := gate.Budget().Used(); used != 0 {
			t.Fatalf("%d bytes are still reserved", used)
		}
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil || len(bodies) == 0 {
			return
		}
		if want, err := io.ReadAll(req.Body); err == nil && !bytes.Equal(want, bodies[0]) {
			t.Fatalf("the handler got %q, net/http reads %q", bodies[0], want)
		}
	})
}

// quiet is a logger that drops its messages.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
