package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/ratelimit"
	"github.com/sapphirehatch/sapphirehatch/internal/routes"
)

// With every replica at its named limit for longer than a request may wait for a slot, the
// request is refused at once and told when to come back.
func TestRequestBeyondNamedLimitsIsRefusedAtOnce(t *testing.T) {
	const ms = time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		all := fleet.New(logr.Discard())
		all.SetShareSource(func(string, string) ratelimit.Share { return ratelimit.Share{Fraction: 0.0001} })
		all.Put(fleet.Replica{ID: "a", Service: "s", Address: "a", Slots: 4})
		all.ObserveLimit("a", 1, true)
		route := &routes.Route{Kind: routes.Idempotent, Resumable: true, Timeout: 9 * time.Second, LatencyObjective: 4 * time.Second, MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}}}
		call := Call{Route: route, Request: new(fasthttp.Request), Deadline: time.Now().Add(9 * time.Second)}
		fake := &fakeReplicas{responses: map[string][]response{"a": {{ms, 200, nil}}}}
		g := New(all, fake, noGuard{}, "", nil, logr.Discard())
		began := time.Now()
		_, err := g.Handle(t.Context(), call, new(fasthttp.Response))
		streamErr := g.Stream(t.Context(), &fakeStreamer{list: []streamAttempt{{4, nil}}}, call, 0, &countingSink{}, new(fasthttp.Response))
		for _, err := range []error{err, streamErr} {
			if e := failure.As(err); e.Kind != failure.QueueFull || e.Outcome != failure.NotRun || e.RetryAfter < time.Second {
				t.Errorf("got error %v, retry after %s", err, e.RetryAfter)
			}
		}
		if took := time.Since(began); took > 0 || len(fake.sent) > 0 {
			t.Errorf("refused after %s and %d attempts", took, len(fake.sent))
		}
	})
}
