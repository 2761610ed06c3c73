package entryclient

import (
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
)

const ttl = 2 * time.Second

// hosts answers at all addresses but "down:1". Each answer has another host.
type hosts struct {
	ln    *fasthttputil.InmemoryListener
	asked atomic.Int64
	down  atomic.Bool
}

func (h *hosts) serve(ctx *fasthttp.RequestCtx) {
	if h.down.Load() || string(ctx.Host()) == "down:1" {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	name := string(rune('a' + h.asked.Add(1) - 1))
	body, _ := json.Marshal(entryapi.EntryAnswer{TTLMillis: ttl.Milliseconds(), Hosts: []entryapi.EntryHost{{Address: name + ":1"}}})
	ctx.SetBody(body)
}

// run calls test with a client of a fake host, in a bubble of fake time.
func run(t *testing.T, test func(t *testing.T, h *hosts, c *Client)) {
	synctest.Test(t, func(t *testing.T) {
		h := &hosts{ln: fasthttputil.NewInmemoryListener()}
		server := &fasthttp.Server{Handler: h.serve, NoDefaultDate: true}
		go func() { _ = server.Serve(h.ln) }()
		http := jsonhttp.NewClient(time.Second, func(string) (net.Conn, error) { return h.ln.Dial() })
		test(t, h, New(http, "odense", []string{"down:1", "seed:1"}))
		http.CloseIdle()
		_ = h.ln.Close()
		time.Sleep(time.Minute) // until the HTTP library's cleanup goroutines have ended
	})
}

func expect(t *testing.T, c *Client, want ...string) {
	t.Helper()
	got := lo.Map(c.Hosts(), func(h entryapi.EntryHost, _ int) string { return h.Address })
	synctest.Wait()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestAnswerIsCachedForItsTimeToLive(t *testing.T) {
	run(t, func(t *testing.T, h *hosts, c *Client) {
		expect(t, c, "a:1")
		time.Sleep(ttl - time.Millisecond)
		expect(t, c, "a:1")
		if n := h.asked.Load(); n != 1 {
			t.Errorf("asked %d times within the time to live, want 1", n)
		}
		time.Sleep(time.Millisecond)
		expect(t, c, "a:1") // the old answer is used while a new one is fetched
		expect(t, c, "b:1")
	})
}

func TestAnswerThatExpiredLongAgoIsNotUsed(t *testing.T) {
	run(t, func(t *testing.T, _ *hosts, c *Client) {
		expect(t, c, "a:1")
		time.Sleep(ttl + maxStaleTime)
		expect(t, c, "b:1")
	})
}

func TestOldAnswerIsUsedWhileNoHostAnswers(t *testing.T) {
	run(t, func(t *testing.T, h *hosts, c *Client) {
		expect(t, c, "a:1")
		h.down.Store(true)
		time.Sleep(10 * ttl)
		expect(t, c, "a:1")
		h.down.Store(false)
		time.Sleep(minRefreshInterval)
		expect(t, c, "a:1")
		expect(t, c, "b:1")
	})
}

func TestSeedsAreUsedWithoutAnyAnswer(t *testing.T) {
	run(t, func(t *testing.T, h *hosts, c *Client) {
		h.down.Store(true)
		expect(t, c, "down:1", "seed:1")
	})
}
