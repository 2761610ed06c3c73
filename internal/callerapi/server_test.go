package callerapi

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

func TestErrorsHaveKindAndOutcome(t *testing.T) {
	unreachable := func(context.Context, membership.Upstream, *fasthttp.Request, *fasthttp.Response) error {
		return failure.New(failure.UpstreamUnreachable, failure.NotRun, "refused")
	}
	broken := func(context.Context, membership.Upstream, *fasthttp.Request, *fasthttp.Response) error {
		return failure.New(failure.UpstreamFailed, failure.Unknown, "reset")
	}
	// The answer of the upstream does not fit into the budget. 503 would promise that the request was not run.
	answerTooLarge := func(context.Context, membership.Upstream, *fasthttp.Request, *fasthttp.Response) error {
		return failure.New(failure.Overloaded, failure.Unknown, "no memory for the answer")
	}
	noMemory := func(context.Context, membership.Upstream, *fasthttp.Request, *fasthttp.Response) error {
		return failure.New(failure.Overloaded, failure.NotRun, "no memory for the answer")
	}
	tests := []struct {
		name, method, path, body string
		headers                  []string
		do                       func(context.Context, membership.Upstream, *fasthttp.Request, *fasthttp.Response) error
		kind                     failure.Kind
		outcome                  failure.Outcome
		status                   int
	}{
		{name: "no rule", method: "GET", path: "/other", kind: failure.NotFound, outcome: failure.NotRun, status: 404},
		{name: "no token", method: "GET", path: "/specs", headers: []string{"Authorization", ""}, kind: failure.Unauthorized, outcome: failure.NotRun, status: 401},
		{name: "large body", method: "POST", path: "/bookings", body: strings.Repeat("x", 3000), kind: failure.BodyTooLarge, outcome: failure.NotRun, status: 413},
		{name: "bad deadline", method: "GET", path: "/specs", headers: []string{entryapi.HeaderDeadline, "soon"}, kind: failure.InvalidRequest, outcome: failure.NotRun, status: 400},
		{name: "bad mark", method: "GET", path: "/specs", headers: []string{entryapi.HeaderIdempotent, "maybe"}, kind: failure.InvalidRequest, outcome: failure.NotRun, status: 400},
		{name: "parent segment", method: "POST", path: "/bookings/%2e%2e%2fspecs", kind: failure.InvalidRequest, outcome: failure.NotRun, status: 400},
		{name: "no rule for a key", method: "GET", path: "/other", headers: []string{entryapi.HeaderIdempotencyKey, "order-17"}, kind: failure.NotFound, outcome: failure.Unknown, status: 404},
		{name: "no token with a key", method: "GET", path: "/specs", headers: []string{entryapi.HeaderIdempotencyKey, "order-17", "Authorization", ""}, kind: failure.Unauthorized, outcome: failure.NotRun, status: 401},
		{name: "bad chat", method: "POST", path: engineapi.PathChat, body: "{", kind: failure.InvalidRequest, outcome: failure.NotRun, status: 400},
		{name: "message with a name", method: "POST", path: engineapi.PathChat, body: `{"model":"planner","messages":[{"role":"user","content":"x","name":"y"}]}`, kind: failure.InvalidRequest, outcome: failure.NotRun, status: 400},
		{name: "unknown model", method: "POST", path: engineapi.PathChat, body: `{"model":"x","messages":[{"role":"user"}]}`, kind: failure.NotFound, outcome: failure.NotRun, status: 404},
		{name: "unreachable", method: "POST", path: "/bookings", do: unreachable, kind: failure.UpstreamUnreachable, outcome: failure.NotRun, status: 502},
		{name: "broken booking", method: "POST", path: "/bookings", do: broken, kind: failure.UpstreamFailed, outcome: failure.Unknown, status: 502},
		{name: "no memory for an answer", method: "POST", path: "/bookings", do: answerTooLarge, kind: failure.Overloaded, outcome: failure.Unknown, status: 504},
		{name: "no memory before the request", method: "POST", path: "/bookings", do: noMemory, kind: failure.Overloaded, outcome: failure.NotRun, status: 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := start(t, &fakeUpstreams{do: test.do})
				resp := f.send(t, test.method, test.path, test.body, test.headers...)
				body := resp.Body
				var e failure.Error
				if err := json.Unmarshal([]byte(body), &e); err != nil {
					t.Fatalf("%q: %v", body, err)
				}
				got := []any{e.Kind, e.Outcome, resp.StatusCode, resp.Header.Get(entryapi.HeaderOutcome), resp.Header.Get(entryapi.HeaderHost), resp.Header.Get(engineapi.HeaderRequestID) != ""}
				want := []any{test.kind, test.outcome, test.status, string(test.outcome), "h1", true}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestOnlyRepeatableRequestsAreRetried(t *testing.T) {
	tests := []struct {
		name, method, path string
		headers            []string
		outcome            failure.Outcome
		attempts           []string
	}{
		{"idempotent after unknown", "GET", "/specs/1", nil, failure.Unknown, []string{"u1", "u2", "u3"}},
		{"booking after unknown", "POST", "/bookings", nil, failure.Unknown, []string{"u1"}},
		{"marked after unknown", "GET", "/specs/1", []string{entryapi.HeaderIdempotent, "false"}, failure.Unknown, []string{"u1"}},
		{"booking after not-run", "POST", "/bookings", nil, failure.NotRun, []string{"u1", "u2", "u3", "u4", "u5", "u6"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var attempts []string
				f := start(t, &fakeUpstreams{do: func(_ context.Context, target membership.Upstream, _ *fasthttp.Request, _ *fasthttp.Response) error {
					attempts = append(attempts, target.ID)
					return failure.New(failure.UpstreamFailed, test.outcome, "broken")
				}})
				resp := f.send(t, test.method, test.path, "", test.headers...)
				if got := resp.Header.Get(entryapi.HeaderOutcome); got != string(test.outcome) {
					t.Errorf("outcome %q", got)
				}
				if diff := cmp.Diff(test.attempts, attempts); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestServiceResponseIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, &fakeUpstreams{do: func(_ context.Context, _ membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response) error {
			resp.SetStatusCode(201)
			resp.Header.Set("Location", "/bookings/7")
			resp.SetBody(append([]byte("echo:"), req.Body()...))
			return nil
		}})
		resp := f.send(t, "POST", "/bookings", "van")
		body := resp.Body
		if resp.StatusCode != http.StatusCreated || resp.Header.Get("Location") != "/bookings/7" || body != "echo:van" {
			t.Errorf("%d %v %q", resp.StatusCode, resp.Header, body)
		}
	})
}

// sendChunks passes n chunks of one token to onChunk, one each second.
func sendChunks(n int, onChunk upstream.ChunkFunc) upstream.Generation {
	var got upstream.Generation
	for i := range n {
		time.Sleep(time.Second)
		chunk := engineapi.ChatChunk{Offset: i, Tokens: 1, Choices: []engineapi.ChunkChoice{{Delta: engineapi.Message{Content: "x"}}}}
		if err := onChunk(chunk); err != nil {
			return got
		}
		got.Text += "x"
		got.Tokens++
	}
	return got
}

const chatBody = `{"model":"planner","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"hi"}]}`

func TestStreamArrivesAsItIsGenerated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, &fakeUpstreams{generate: func(_ context.Context, _ membership.Upstream, _ engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error) {
			return sendChunks(3, onChunk), nil
		}})
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://host"+engineapi.PathChat, strings.NewReader(chatBody))
		req.Header.Set("Authorization", "Bearer secret")
		began := time.Now()
		resp, err := f.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		lines := bufio.NewScanner(resp.Body)
		var times []time.Duration
		last := ""
		for lines.Scan() {
			if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
				times = append(times, time.Since(began))
				last = data
			}
		}
		want := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second}
		if diff := cmp.Diff(want, times); diff != "" || last != engineapi.StreamEnd {
			t.Errorf("last %q %s", last, diff)
		}
	})
}

func TestBrokenStreamIsResumedOrEndsWithAnError(t *testing.T) {
	broken := failure.New(failure.IncompleteAnswer, failure.Unknown, "cut")
	tests := []struct {
		name   string
		mended bool
		want   string
	}{{"mended", true, "data: [DONE]\n\n"}, {"broken for good", false, "event: error\ndata: {\"type\":\"incomplete_answer\""}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var priors []int
				f := start(t, &fakeUpstreams{generate: func(_ context.Context, _ membership.Upstream, req engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error) {
					priors = append(priors, req.PriorTokens, req.MaxTokens)
					if len(priors) > 2 && test.mended {
						return sendChunks(4, onChunk), nil
					}
					return sendChunks(min(2, req.MaxTokens-1), onChunk), broken
				}})
				body := f.send(t, "POST", engineapi.PathChat, chatBody).Body
				if !strings.Contains(body, test.want) || strings.Contains(body, engineapi.StreamEnd) != test.mended {
					t.Error(body)
				}
				if test.mended {
					if diff := cmp.Diff([]int{0, 6, 2, 4}, priors); diff != "" || strings.Count(body, `"tokens":1`) != 6 || !strings.Contains(body, `"offset":5`) {
						t.Error(diff, body)
					}
				}
			})
		})
	}
}

func TestCompletionIsCompleteOnceItsLastTokenArrived(t *testing.T) {
	broken := failure.New(failure.IncompleteAnswer, failure.Unknown, "cut")
	last := engineapi.ChatChunk{Offset: 3, Tokens: 1, Choices: []engineapi.ChunkChoice{{FinishReason: engineapi.FinishStop}}}
	tests := []struct {
		name   string
		tokens int
		finish *engineapi.ChatChunk
		reason string
	}{
		{"limit reached", 6, nil, engineapi.FinishLength},
		{"finish reason received", 3, &last, engineapi.FinishStop},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				attempts := 0
				f := start(t, &fakeUpstreams{generate: func(_ context.Context, _ membership.Upstream, _ engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error) {
					attempts++
					got := sendChunks(test.tokens, onChunk)
					if test.finish != nil {
						_ = onChunk(*test.finish)
					}
					return got, broken
				}})
				body := f.send(t, "POST", engineapi.PathChat, chatBody).Body
				if attempts != 1 || strings.Count(body, `"finish_reason":"`+test.reason+`"`) != 1 || !strings.HasSuffix(body, "data: [DONE]\n\n") {
					t.Error(attempts, body)
				}
			})
		})
	}
}

func TestStopCutsOffNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, &fakeUpstreams{do: func(_ context.Context, _ membership.Upstream, _ *fasthttp.Request, resp *fasthttp.Response) error {
			time.Sleep(time.Second)
			resp.SetBodyString("ok")
			return nil
		}, generate: func(_ context.Context, _ membership.Upstream, _ engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error) {
			return sendChunks(25, onChunk), nil
		}})
		streamed := make(chan string)
		go func() {
			body := f.send(t, "POST", engineapi.PathChat, chatBody).Body
			streamed <- body
		}()
		time.Sleep(500 * time.Millisecond)
		f.stop()
		synctest.Wait()
		if !f.exchange.Self().Draining {
			t.Error("the stop was not announced")
		}
		time.Sleep(5 * time.Second)
		if resp := f.send(t, "GET", "/specs/1", ""); resp.Body != "ok" || !resp.Close {
			t.Errorf("within the time to live: %d %q close=%v", resp.StatusCode, resp.Body, resp.Close)
		}
		// The answer took 1 s, so this is the very moment at which the host stops accepting.
		time.Sleep(10 * time.Millisecond)
		if resp := f.send(t, "GET", "/specs/1", ""); resp.Header.Get(entryapi.HeaderOutcome) != string(failure.NotRun) {
			t.Errorf("after the time to live: %v", resp.Header)
		}
		if body := <-streamed; !strings.HasSuffix(body, "data: [DONE]\n\n") {
			t.Error(body)
		}
		<-f.stopped
	})
}

// Guards against a request that a stopping host took late and passed on, and that ended
// without an answer at the end of the grace period: its outcome is unknown, and said to be.
func TestStopAnswersWhatIsStillRunningAtItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, &fakeUpstreams{do: func(ctx context.Context, _ membership.Upstream, _ *fasthttp.Request, _ *fasthttp.Response) error {
			<-ctx.Done()
			return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "the upstream did not answer")
		}, generate: func(ctx context.Context, _ membership.Upstream, _ engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error) {
			got := sendChunks(5, onChunk)
			<-ctx.Done()
			return got, failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "the engine did not go on")
		}})
		f.stop()
		// The last moment at which the host accepts.
		time.Sleep(5900 * time.Millisecond)
		streamed := make(chan string)
		go func() {
			streamed <- f.send(t, "POST", engineapi.PathChat, chatBody, entryapi.HeaderDeadline, "1h").Body
		}()
		resp := f.send(t, "POST", "/bookings/1", "{}", entryapi.HeaderDeadline, "1h")
		if resp.StatusCode < 500 || resp.Header.Get(entryapi.HeaderOutcome) != string(failure.Unknown) {
			t.Errorf("booking: status %d, %v", resp.StatusCode, resp.Header)
		}
		if body := <-streamed; !strings.Contains(body, "event: error") || strings.Contains(body, engineapi.StreamEnd) {
			t.Error(body)
		}
		<-f.stopped
	})
}

// Guards against a fixed limit of 4,096 bytes, which callers with long tokens exceed.
func TestLongHeadersAreAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, &fakeUpstreams{do: func(_ context.Context, _ membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response) error {
			resp.SetBody(req.Header.Peek("X-Long"))
			return nil
		}})
		long := strings.Repeat("a", 60_000)
		if resp := f.send(t, "GET", "/specs/1", "", "X-Long", long); resp.StatusCode != http.StatusOK || resp.Body != long {
			t.Errorf("status %d, %d bytes", resp.StatusCode, len(resp.Body))
		}
		resp := f.send(t, "GET", "/specs/1", "", "X-Long", strings.Repeat("a", maxHeaderBytes))
		if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge || !strings.Contains(resp.Body, "65536 bytes") {
			t.Errorf("headers above the limit: status %d, %s", resp.StatusCode, resp.Body)
		}
	})
}

func TestStreamPastItsDeadlineEndsWithAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, &fakeUpstreams{generate: func(_ context.Context, _ membership.Upstream, _ engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error) {
			got := sendChunks(9, onChunk)
			return got, onChunk(engineapi.ChatChunk{})
		}})
		body := f.send(t, "POST", engineapi.PathChat, chatBody, entryapi.HeaderDeadline, "2500ms").Body
		if !strings.Contains(body, "event: error\ndata: {\"type\":\"deadline_exceeded\"") || strings.Contains(body, engineapi.StreamEnd) {
			t.Error(body)
		}
	})
}

func TestEntryAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, &fakeUpstreams{})
		body := f.send(t, "GET", entryapi.PathEntry+"?failure_domain=a", "").Body
		var got entryapi.EntryAnswer
		if err := json.Unmarshal([]byte(body), &got); err != nil {
			t.Fatal(err)
		}
		want := entryapi.EntryAnswer{TTLMillis: 5000, Hosts: []entryapi.EntryHost{{ID: "h1", Address: "127.0.0.1:1", FailureDomain: "a", KeyPrefix: "home-i1.946684800."}}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}
