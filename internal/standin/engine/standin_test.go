package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
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
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// live is a running engine on in-memory connections.
type live struct {
	*Standin
	ln   *fasthttputil.InmemoryListener
	stop context.CancelFunc
	done chan error
}

func startEngine(t *testing.T, change func(*Config)) *live {
	t.Helper()
	l := &live{ln: fasthttputil.NewInmemoryListener(), done: make(chan error, 1)}
	cfg := Default()
	cfg.Version = 1
	cfg.Server.Listen = func() (net.Listener, error) { return l.ln, nil }
	if change != nil {
		change(&cfg)
	}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	l.Standin = s
	ctx, stop := context.WithCancel(t.Context())
	l.stop = stop
	go func() { l.done <- s.Run(ctx) }()
	<-s.Ready()
	return l
}

func (l *live) finish(t *testing.T) {
	t.Helper()
	l.stop()
	if err := <-l.done; err != nil {
		t.Error(err)
	}
	time.Sleep(time.Minute) // the server library's cleaner ends
}

// read posts a streamed chat request and reads events until limit tokens arrived or the stream ended.
func (l *live) read(t *testing.T, req engineapi.ChatRequest, limit int) (text string, status int, whole bool) {
	t.Helper()
	c, err := l.ln.Dial()
	if err != nil {
		t.Fatal(err)
	}
	req.Stream = true
	body, _ := json.Marshal(req)
	httpReq, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://e"+engineapi.PathChat, strings.NewReader(string(body)))
	if err := httpReq.Write(c); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), httpReq)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = c.Close() // first, as closing the body would read the rest of the stream
		_ = resp.Body.Close()
	}()
	lines := bufio.NewScanner(resp.Body)
	tokens := 0
	for tokens < limit && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == engineapi.StreamEnd {
			return text, resp.StatusCode, true
		}
		var chunk engineapi.ChatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatal(err)
		}
		text += chunk.Choices[0].Delta.Content
		tokens += chunk.Tokens
	}
	if err := lines.Err(); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal(err)
	}
	return text, resp.StatusCode, false
}

func (l *live) events(kind string) int {
	n := 0
	for _, e := range l.Log().Entries(0) {
		if e.Event == kind {
			n++
		}
	}
	return n
}

func request(id string) engineapi.ChatRequest {
	return engineapi.ChatRequest{RequestID: id, Messages: prompt("flue " + LengthMark + "300"), Seed: 5}
}

func TestBrokenStreamResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startEngine(t, nil)
		first, _, whole := l.read(t, request("a"), 40)
		if whole {
			t.Fatal("stream ended early")
		}
		time.Sleep(time.Second)
		rest := request("a")
		rest.ResumeFrom = strings.Count(first, " ")
		second, _, whole := l.read(t, rest, 1000)
		if want := ExpectedText(rest.Messages, rest.Seed, 0, 300); first+second != want || !whole {
			t.Errorf("whole %v, joined text of %d bytes, want %d", whole, len(first+second), len(want))
		}
		if runs := l.events(EventRun); runs != 1 {
			t.Errorf("%d runs, want 1", runs)
		}
		l.finish(t)
	})
}

func TestAbandonedGenerationEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startEngine(t, func(c *Config) { c.Speeds.SequenceTokensPerSecond = 10 })
		l.read(t, request("a"), 2)
		time.Sleep(l.cfg.HoldTime + time.Second)
		if l.events(EventCancel) != 1 {
			t.Error("the generation still runs after its hold time")
		}
		rest := request("a")
		rest.ResumeFrom = 2
		if _, status, _ := l.read(t, rest, 1); status != http.StatusGone {
			t.Errorf("resume after the hold time has status %d, want %d", status, http.StatusGone)
		}
		l.finish(t)
	})
}

func TestPriorTextIsContinued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startEngine(t, nil)
		req := request("b")
		req.Prior = ExpectedText(req.Messages, req.Seed, 0, 100)
		req.PriorTokens = 100
		text, _, whole := l.read(t, req, 1000)
		if want := ExpectedText(req.Messages, req.Seed, 100, 300); text != want || !whole {
			t.Errorf("whole %v, text %q..., want %q...", whole, text[:20], want[:20])
		}
		l.finish(t)
	})
}

func TestSwapOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		faults []standinapi.FaultKind
		fence  uint64
		err    bool
		want   engineapi.Status
	}{
		{name: "loads", fence: 7, want: engineapi.Status{Version: 4, Fence: 7}},
		{name: "fails partway", faults: []standinapi.FaultKind{standinapi.SwapFails}, fence: 7, want: engineapi.Status{Version: 1, FailedVersion: 4, Fence: 7}},
		{name: "old fence", fence: 5, err: true, want: engineapi.Status{Version: 1, Fence: 6}},
		{name: "old fence ignored", faults: []standinapi.FaultKind{standinapi.IgnoreFencing}, fence: 5, want: engineapi.Status{Version: 4, Fence: 6}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := startEngine(t, nil)
				l.swap.fence = 6
				for _, kind := range c.faults {
					if err := l.SetFault(standinapi.Fault{Kind: kind, On: true}); err != nil {
						t.Fatal(err)
					}
				}
				err := l.order(engineapi.Order{Kind: engineapi.LoadVersion, Version: 4, Fence: c.fence})
				if failure.IsKind(err, failure.StaleFencingToken) != c.err {
					t.Errorf("order: error %v", err)
				}
				time.Sleep(time.Minute)
				got := l.status()
				c.want.Model, c.want.Incarnation = got.Model, got.Incarnation
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Error(diff)
				}
				l.finish(t)
			})
		})
	}
}

func TestLoadReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startEngine(t, func(c *Config) { c.LoadLag = 2 * time.Second })
		time.Sleep(5 * time.Second)
		l.sched.mu.Lock()
		l.sched.enqueue(newGeneration(request("c"), 1))
		l.sched.mu.Unlock()
		time.Sleep(time.Second)
		if early := l.loadReport(time.Now()); early.Running != 0 {
			t.Errorf("report shows what is %v old: %+v", time.Second, early)
		}
		time.Sleep(1500 * time.Millisecond)
		if late := l.loadReport(time.Now()); late.Running != 1 || late.AgeMillis < 2000 {
			t.Errorf("report after the lag: %+v", late)
		}
		l.finish(t)
	})
}
