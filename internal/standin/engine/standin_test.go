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

// fixture is a running engine on in-memory connections.
type fixture struct {
	*Standin
	ln   *fasthttputil.InmemoryListener
	stop context.CancelFunc
	done chan error
}

func startEngine(t *testing.T, change func(*Config)) *fixture {
	t.Helper()
	f := &fixture{ln: fasthttputil.NewInmemoryListener(), done: make(chan error, 1)}
	cfg := Default()
	cfg.Version = 1
	cfg.Server.Listen = func() (net.Listener, error) { return f.ln, nil }
	if change != nil {
		change(&cfg)
	}
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

// read posts a streamed chat request and reads events until limit tokens have arrived or the stream ends.
func (f *fixture) read(t *testing.T, req engineapi.ChatRequest, limit int) (text string, status int, complete bool) {
	t.Helper()
	c, err := f.ln.Dial()
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
		_ = c.Close() // before the body, whose Close would read the rest of the stream
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

func (f *fixture) events(kind string) int {
	n := 0
	for _, e := range f.Log().Entries(0) {
		if e.Event == kind {
			n++
		}
	}
	return n
}

func request(id string) engineapi.ChatRequest {
	return engineapi.ChatRequest{RequestID: id, Messages: prompt("flue " + LengthMark + "300"), Seed: 5}
}

func TestBrokenStreamCanBeResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startEngine(t, nil)
		first, _, complete := f.read(t, request("a"), 40)
		if complete {
			t.Fatal("stream ended early")
		}
		time.Sleep(time.Second)
		rest := request("a")
		rest.ResumeFrom = strings.Count(first, " ")
		second, _, complete := f.read(t, rest, 1000)
		if want := ExpectedText(rest.Messages, rest.Seed, 0, 300); first+second != want || !complete {
			t.Errorf("complete %v, both parts have %d bytes, want %d", complete, len(first+second), len(want))
		}
		if runs := f.events(EventRun); runs != 1 {
			t.Errorf("%d runs, want 1", runs)
		}
		f.finish(t)
	})
}

func TestAbandonedGenerationIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startEngine(t, func(c *Config) { c.Speeds.SequenceTokensPerSecond = 10 })
		f.read(t, request("a"), 2)
		time.Sleep(f.cfg.HoldTime + time.Second)
		if f.events(EventCancel) != 1 {
			t.Error("the generation still runs after its hold time")
		}
		rest := request("a")
		rest.ResumeFrom = 2
		if _, status, _ := f.read(t, rest, 1); status != http.StatusGone {
			t.Errorf("resume after the hold time has status %d, want %d", status, http.StatusGone)
		}
		f.finish(t)
	})
}

func TestPriorTextIsContinued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startEngine(t, nil)
		req := request("b")
		req.PriorText = ExpectedText(req.Messages, req.Seed, 0, 100)
		req.PriorTokens = 100
		text, _, complete := f.read(t, req, 1000)
		if want := ExpectedText(req.Messages, req.Seed, 100, 300); text != want || !complete {
			t.Errorf("complete %v, text %q..., want %q...", complete, text[:20], want[:20])
		}
		f.finish(t)
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
		{name: "load fails", faults: []standinapi.FaultKind{standinapi.FaultWeightLoadFailure}, fence: 7, want: engineapi.Status{Version: 1, FailedVersion: 4, Fence: 7}},
		{name: "outdated fencing token", fence: 5, err: true, want: engineapi.Status{Version: 1, Fence: 6}},
		{name: "outdated fencing token ignored", faults: []standinapi.FaultKind{standinapi.FaultIgnoreFencing}, fence: 5, want: engineapi.Status{Version: 4, Fence: 6}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startEngine(t, nil)
				f.swap.fence = 6
				for _, kind := range c.faults {
					if err := f.SetFault(standinapi.Fault{Kind: kind, On: true}); err != nil {
						t.Fatal(err)
					}
				}
				err := f.order(engineapi.Order{Kind: engineapi.OrderLoadVersion, Version: 4, Fence: c.fence})
				if failure.IsKind(err, failure.StaleFencingToken) != c.err {
					t.Errorf("order: error %v", err)
				}
				time.Sleep(time.Minute)
				got := f.status()
				c.want.Model, c.want.Incarnation = got.Model, got.Incarnation
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Error(diff)
				}
				f.finish(t)
			})
		})
	}
}

func TestLoadReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startEngine(t, func(c *Config) { c.LoadLag = 2 * time.Second })
		time.Sleep(5 * time.Second)
		f.sched.mu.Lock()
		f.sched.enqueue(newGeneration(request("c"), 1))
		f.sched.mu.Unlock()
		time.Sleep(time.Second)
		if early := f.loadReport(time.Now()); early.Running != 0 {
			t.Errorf("report includes a generation that started %v ago: %+v", time.Second, early)
		}
		time.Sleep(1500 * time.Millisecond)
		if late := f.loadReport(time.Now()); late.Running != 1 || late.AgeMillis < 2000 {
			t.Errorf("report after the lag: %+v", late)
		}
		f.finish(t)
	})
}
