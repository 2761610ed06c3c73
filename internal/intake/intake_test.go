package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	testBody   = 1 << 20
	testHeader = 4 << 10
	testIdle   = 600 * time.Millisecond
)

// counter counts events.
type counter struct {
	mu     sync.Mutex
	events map[string]int
}

func (c *counter) Event(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events[name]++
}

func (c *counter) count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.events[name]
}

// testServer is a server behind a gate.
type testServer struct {
	*counter
	t       *testing.T
	gate    *Gate
	address string
	// handled counts the requests that reached the handler.
	handled int
}

func serve(t *testing.T, limits Limits, handler fasthttp.RequestHandler) *testServer {
	t.Helper()
	s := &testServer{counter: &counter{events: map[string]int{}}, t: t}
	s.gate = New(limits, nil, s.counter, logr.Discard())
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = socket.Addr().String()
	l := s.gate.Listen("test", socket, func() RequestLimits {
		return RequestLimits{HeaderBytes: testHeader, BodyBytes: testBody, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: testIdle}
	}, true)
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(ctx *fasthttp.RequestCtx) {
		s.mu.Lock()
		s.handled++
		s.mu.Unlock()
		handler(ctx)
	}}
	Protect(server, l, func(ctx *fasthttp.RequestCtx, e *failure.Error) { ctx.SetStatusCode(e.Status()) })
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = socket.Close() })
	return s
}

func echo(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.Request.Body()) }

func testLimits() Limits {
	l := LimitsOf(0, 0)
	l.StallTimeout, l.WriteTimeout = 200*time.Millisecond, 200*time.Millisecond
	return l
}

func (s *testServer) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// status sends a request on a connection and returns the status and the body of the answer;
// zero if there is none.
func status(conn net.Conn, request string) (int, string) {
	go func() { _, _ = io.WriteString(conn, request) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}

func post(length int, more string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n", length, more)
}

const chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

// Requests at and above the limits of the configuration, and requests that end within a body.
// A body in chunks that is cut off must not reach the handler as a shorter one.
func TestLimitsOfOneRequest(t *testing.T) {
	t.Parallel()
	full := strings.Repeat("x", testBody)
	for _, c := range []struct {
		name, request string
		status, size  int
	}{
		{"largest body", post(testBody, "") + full, 200, testBody},
		{"body too large", post(testBody+1, "") + full[:100], 413, -1},
		{"largest body in chunks", chunkedHead + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", testBody, full), 200, testBody},
		{"body in chunks too large", chunkedHead + fmt.Sprintf("%x\r\n%sx\r\n0\r\n\r\n", testBody+1, full), 413, -1},
		{"one-byte chunks", chunkedHead + strings.Repeat("1\r\nx\r\n", 5000) + "0\r\n\r\n", 200, 5000},
		{"no body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 200, 0},
		{"empty body", post(0, ""), 200, 0},
		{"largest header", post(0, "X: "+strings.Repeat("x", testHeader-40)+"\r\n"), 200, 0},
		{"header too large", post(0, "X: "+strings.Repeat("x", testHeader)+"\r\n"), 431, -1},
		{"header above the buffer", post(0, "X: "+strings.Repeat("x", 60000)+"\r\n"), 431, -1},
		{"header without end", "GET / HTTP/1.1\r\nHost: h\r\nX: ", 408, -1},
		// This is no request, so the connection is closed without an answer.
		{"no request line", "\r\n\r\n\r\n", 0, -1},
		{"body that stops", post(1000, "") + "x", 408, -1},
		{"large body that stops", post(testBody, "") + full[:testBody/2], 408, -1},
		{"chunk that stops", chunkedHead + "5\r\nxx", 408, -1},
		{"end of chunk that stops", chunkedHead + "5\r\nxxxxx", 408, -1},
		{"size of a chunk that goes on", chunkedHead + strings.Repeat("0", 20000), 400, -1},
		{"extension of a chunk that goes on", chunkedHead + "1;" + strings.Repeat("x", 9*testBody), 413, -1},
		{"trailer that goes on", chunkedHead + "1\r\nx\r\n0\r\n" + strings.Repeat("X: y\r\n", 20000), 431, -1},
		{"chunk without end", chunkedHead + "5\r\nxxxxxyy", 400, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, testLimits(), echo)
			got, body := status(s.dial(), c.request)
			if got != c.status || c.size >= 0 && len(body) != c.size {
				t.Errorf("got status %d and %d bytes, want %d and %d", got, len(body), c.status, c.size)
			}
			if refused := c.status != 200; refused != (s.handled == 0) {
				t.Errorf("%d requests reached the handler", s.handled)
			}
			s.returned()
		})
	}
}

// returned checks that all reserved bytes are returned.
func (s *testServer) returned() {
	s.t.Helper()
	for end := time.Now().Add(5 * time.Second); s.gate.budget.Used() != 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%d bytes are still reserved", s.gate.budget.Used())
		}
	}
}

// A client that closes its connection within a chunk must not have its body taken as complete.
func TestBodyCutOffByTheClient(t *testing.T) {
	t.Parallel()
	s := serve(t, testLimits(), echo)
	for _, request := range []string{chunkedHead + "5\r\nxxxxx", chunkedHead + "5\r\nxxxxx\r\n", chunkedHead + "5\r\nxx", chunkedHead + "5\r\nxxxxx\r\n0\r\n", post(5, "") + "xx"} {
		conn := s.dial()
		_, _ = io.WriteString(conn, request)
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handled != 0 {
		t.Errorf("%d truncated requests reached the handler", s.handled)
	}
}

// A request that does not fit into the budget is refused before its body is read, and served
// once there is room again. Small requests have room left.
func TestFullBudget(t *testing.T) {
	t.Parallel()
	limits := testLimits()
	limits.Bytes = testBody
	s := serve(t, limits, echo)
	account := s.gate.NewAccount()
	if !account.Reserve(testBody * 7 / 8) {
		t.Fatal("nothing can be reserved")
	}
	request := post(testBody/2, "") + strings.Repeat("x", testBody/2)
	if got, _ := status(s.dial(), request); got != 503 {
		t.Errorf("a large request got %d, want 503", got)
	}
	if got, _ := status(s.dial(), chunkedHead+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", testBody/2, strings.Repeat("x", testBody/2))); got != 503 {
		t.Errorf("a large request in chunks got %d, want 503", got)
	}
	if got, _ := status(s.dial(), post(4, "")+"xxxx"); got != 503 && got != 200 {
		t.Errorf("a small request got %d", got)
	}
	account.Close()
	if got, _ := status(s.dial(), request); got != 200 {
		t.Errorf("a large request got %d with an empty budget, want 200", got)
	}
	s.returned()
}

// A body that arrives slowly makes way for another request, and is answered that it was not run.
func TestSlowBodyMakesWay(t *testing.T) {
	t.Parallel()
	limits := testLimits()
	limits.Bytes, limits.StallTimeout = testBody, 20*time.Second
	s := serve(t, limits, echo)
	slow := s.dial()
	answer := make(chan int)
	go func() {
		got, _ := status(slow, post(testBody*3/4, "")+"x")
		answer <- got
	}()
	time.Sleep(slowWait + 200*time.Millisecond)
	if got, _ := status(s.dial(), post(testBody/2, "")+strings.Repeat("x", testBody/2)); got != 200 {
		t.Errorf("the request got %d, want 200", got)
	}
	if got := <-answer; got != 503 {
		t.Errorf("the slow request got %d, want 503", got)
	}
	if s.count("connection_closed_memory") != 1 {
		t.Errorf("events: %v", s.events)
	}
}

// A caller that does not read its answer loses its connection.
func TestAnswerThatIsNotRead(t *testing.T) {
	t.Parallel()
	s := serve(t, testLimits(), func(ctx *fasthttp.RequestCtx) {
		if !AccountOfRequest(ctx).Reserve(32 << 20) {
			t.Error("nothing can be reserved")
		}
		ctx.SetBodyString(strings.Repeat("x", 32<<20))
	})
	_, _ = io.WriteString(s.dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	for end := time.Now().Add(10 * time.Second); s.count("connection_closed_slow_reader") == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection was not closed")
		}
	}
	s.returned()
}

// A connection may be idle for four fifths of the idle timeout, and is closed after it.
func TestIdleTimeOfTheConfiguration(t *testing.T) {
	t.Parallel()
	s := serve(t, testLimits(), echo)
	conn := s.dial()
	for range 3 {
		if got, _ := status(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); got != 200 {
			t.Fatalf("got %d on a reused connection", got)
		}
		time.Sleep(testIdle * 4 / 5)
	}
	time.Sleep(testIdle)
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v on a connection that was idle too long, want its end", err)
	}
}

// With too many connections the one that was idle for the longest time makes way, not one on
// which a request runs. If requests run on all, the new one is closed.
func TestTooManyConnections(t *testing.T) {
	t.Parallel()
	limits := testLimits()
	limits.SetCallerConnections(4)
	limits.AddressConnections = 3
	release := make(chan struct{})
	s := serve(t, limits, func(*fasthttp.RequestCtx) { <-release })
	busy := make([]net.Conn, 0, 3)
	busy = append(busy, s.dial())
	_, _ = io.WriteString(busy[0], "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	for s.running() < 1 {
		time.Sleep(time.Millisecond)
	}
	idle := s.dial()
	time.Sleep(10 * time.Millisecond)
	for range 2 {
		conn := s.dial()
		busy = append(busy, conn)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection is open")
	}
	for s.running() < 3 {
		time.Sleep(time.Millisecond)
	}
	if got, _ := status(s.dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); got != 0 {
		t.Errorf("a connection above the limit got %d", got)
	}
	close(release)
	for _, conn := range busy {
		if got, _ := status(conn, ""); got != 200 {
			t.Errorf("a request that ran got %d", got)
		}
	}
}

func (s *testServer) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handled
}

// Jobs that a host holds must not keep out small requests, whatever their size.
func TestBackgroundLeavesRoom(t *testing.T) {
	t.Parallel()
	b := NewBudget(1<<20, func() int64 { return 1 << 30 })
	if b.tryReserve(512 << 10) {
		t.Error("a large reservation fits beside the background")
	}
	for range 8 {
		if !b.tryReserve(64 << 10) {
			t.Fatal("a small reservation does not fit")
		}
	}
	if b.tryReserve(64 << 10) {
		t.Error("more than half of the budget is used beside the background")
	}
}

// The limits of the smallest host allow the largest legal request and answer at a time, and
// leave descriptors to replicas.
func TestLimitsOfTheSmallestHost(t *testing.T) {
	t.Parallel()
	l := LimitsOf(184, 4100)
	b := NewBudget(l.Bytes, nil)
	if !b.tryReserve(32<<20) || !b.tryReserve(32<<20+8) {
		t.Errorf("the budget of %d bytes has no room for the largest request and its answer", l.Bytes)
	}
	if l.CallerConnections < 500 || l.CallerConnections+4*l.OtherConnections > 4100/2+400 {
		t.Errorf("limits of connections: %d and %d", l.CallerConnections, l.OtherConnections)
	}
	if l.Bytes+int64(l.CallerConnections)*connectionBytes+26<<20 > 184<<20 {
		t.Error("the limits together exceed the memory")
	}
}

// The time-out of the HTTP library does not implement net.Error. A request that was not
// received in time is one that was not run.
func TestReadTimeoutIsNotReceived(t *testing.T) {
	t.Parallel()
	if e := readError(fasthttp.ErrTimeout); e.Kind != failure.NotReceived || e.Outcome != failure.NotRun || e.Status() != http.StatusRequestTimeout {
		t.Error(e)
	}
}

// stalledBody is a body that has n bytes and then stalls.
type stalledBody struct {
	n     int
	after int
}

func (b *stalledBody) Read(p []byte) (int, error) {
	if b.n == 0 {
		b.after++
		return 0, os.ErrDeadlineExceeded
	}
	n := min(b.n, len(p))
	b.n -= n
	return n, nil
}

// A body that stalls must end after one deadline. Another read would wait for a second one.
func TestNoReadAfterAStall(t *testing.T) {
	t.Parallel()
	body := &stalledBody{n: 10}
	if _, err := ReadGrowing(body, nil, testBody); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, want a deadline", err)
	}
	if body.after != 1 {
		t.Errorf("%d reads ran into the deadline, want 1", body.after)
	}
}
