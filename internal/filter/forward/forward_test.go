package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/routing"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

// slow is an upstream that answers no request before its deadline. It also is
// the router that picks it.
type slow struct {
	upstream.Engine
	// tokenInterval is the time between two tokens; zero if it generates none.
	tokenInterval time.Duration
	result        routing.Result
}

func (s *slow) Reserve(context.Context, routing.Request) (routing.Reservation, error) { return s, nil }
func (s *slow) Upstream() membership.Upstream {
	return membership.Upstream{ID: "u", Address: "127.0.0.1:1"}
}
func (s *slow) Done(result routing.Result) { s.result = result }

func (s *slow) Do(ctx context.Context, _ membership.Upstream, _ *fasthttp.Request, _ *fasthttp.Response) error {
	<-ctx.Done()
	return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "ended")
}

func (s *slow) Generate(ctx context.Context, target membership.Upstream, _ engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error) {
	var got upstream.Generation
	for s.tokenInterval > 0 && ctx.Err() == nil {
		time.Sleep(s.tokenInterval)
		got.Tokens++
		if err := onChunk(engineapi.ChatChunk{Tokens: 1}); err != nil {
			return got, err
		}
	}
	return got, s.Do(ctx, target, nil, nil)
}

// An attempt that ends with the caller's deadline counts as a failure of the
// upstream only after a long time without progress.
func TestCallersDeadlineIsNoUpstreamFailure(t *testing.T) {
	tests := []struct {
		name              string
		deadline, timeout time.Duration
		chat              bool
		tokenInterval     time.Duration
		want              routing.Result
	}{
		{"short deadline", 100 * time.Millisecond, time.Minute, false, 0, routing.Cancelled},
		{"long silence", 10 * time.Second, time.Minute, false, 0, routing.Failed},
		{"attempt too long", 10 * time.Second, 100 * time.Millisecond, false, 0, routing.Failed},
		{"long generation", 10 * time.Second, time.Minute, true, time.Second, routing.Cancelled},
		{"no token", 10 * time.Second, time.Minute, true, 0, routing.Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &slow{tokenInterval: test.tokenInterval}
				r := &filter.Request{Inbound: new(fasthttp.Request), Answer: new(fasthttp.Response), AttemptTimeout: test.timeout}
				if test.chat {
					r.Chat = &engineapi.ChatRequest{}
				}
				ctx, cancel := context.WithTimeout(t.Context(), test.deadline)
				defer cancel()
				if err := New(s, s, s).Handle(ctx, r, nil); !failure.IsKind(err, failure.DeadlineExceeded) {
					t.Fatal(err)
				}
				if s.result != test.want {
					t.Errorf("result %v, want %v", s.result, test.want)
				}
			})
		})
	}
}

// dialSlowly returns a DialFunc for a service that answers after a wait.
func dialSlowly(wait time.Duration) upstream.DialFunc {
	return func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			var req fasthttp.Request
			if req.Read(bufio.NewReader(far)) == nil {
				time.Sleep(wait)
				_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
		return near, nil
	}
}

func TestSlowServiceMayUseItsTime(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		earlier    int
		wait       time.Duration
		want       failure.Kind
	}{
		{"booking", false, 0, 9 * time.Second, ""},
		{"booking past the timeout", false, 0, 11 * time.Second, failure.DeadlineExceeded},
		{"first try of a query", true, 0, 4 * time.Second, failure.UpstreamFailed},
		{"second try of a query", true, 1, 4 * time.Second, ""},
		{"last try of a query", true, 2, 9 * time.Second, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := upstream.NewClient(dialSlowly(test.wait), settings.DefaultTiming(), nil)
				r := &filter.Request{Inbound: new(fasthttp.Request), Answer: new(fasthttp.Response), AttemptTimeout: 10 * time.Second, Idempotent: test.idempotent, Attempt: test.earlier}
				r.Inbound.SetRequestURI("http://host/bookings")
				err := New(&slow{}, client, nil).Handle(t.Context(), r, nil)
				if (err == nil) != (test.want == "") || (err != nil && !failure.IsKind(err, test.want)) {
					t.Errorf("%v, want %q", err, test.want)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
