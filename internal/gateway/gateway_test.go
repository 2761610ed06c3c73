package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/routes"
)

// reply is what a fake replica does with a request.
type reply struct {
	after  time.Duration
	status int
	err    error
}

// replicas are fake replicas; each answers by its list, the last one again and again.
type replicas struct {
	mu      sync.Mutex
	replies map[string][]reply
	sent    []string
	// cancelled counts exchanges that ended with their context.
	cancelled int
}

func (r *replicas) Exchange(ctx context.Context, target fleet.Replica, _ *fasthttp.Request, resp *fasthttp.Response, _ bool) error {
	r.mu.Lock()
	r.sent = append(r.sent, target.ID)
	list := r.replies[target.ID]
	next := list[0]
	if len(list) > 1 {
		r.replies[target.ID] = list[1:]
	}
	r.mu.Unlock()
	select {
	case <-time.After(next.after):
	case <-ctx.Done():
		r.mu.Lock()
		r.cancelled++
		r.mu.Unlock()
		return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "cancelled")
	}
	if next.err != nil {
		return next.err
	}
	resp.SetStatusCode(next.status)
	resp.SetBodyString("from " + target.ID)
	return nil
}

var (
	errRefused = failure.New(failure.QueueFull, failure.NotRun, "refused")
	errBroken  = failure.New(failure.IncompleteAnswer, failure.Unknown, "broken off")
	errDial    = failure.New(failure.UpstreamUnreachable, failure.NotRun, "can't be dialed")
)

func TestHandle(t *testing.T) {
	const ms = time.Millisecond
	ok := []reply{{20 * ms, 200, nil}}
	tests := []struct {
		name    string
		kind    routes.Kind
		replies map[string][]reply
		// status is that of the answer; zero expects a failure with the outcome.
		status  int
		outcome failure.Outcome
		// sent is the number of sends, and within the longest time.
		sent   int
		within time.Duration
	}{
		{"answered", routes.Idempotent, map[string][]reply{"a": ok, "b": ok}, 200, "", 1, 30 * ms},
		{"broken off and repeated", routes.Idempotent, map[string][]reply{"a": {{10 * ms, 0, errBroken}}, "b": {{10 * ms, 0, errBroken}, {10 * ms, 200, nil}}}, 0, failure.Unknown, 2, 100 * ms},
		{"one breaks off", routes.Idempotent, map[string][]reply{"a": {{10 * ms, 0, errBroken}}, "b": ok}, 200, "", -2, 50 * ms},
		{"one is silent", routes.Idempotent, map[string][]reply{"a": {{time.Hour, 0, nil}}, "b": ok}, 200, "", -2, 250 * ms},
		{"both are silent", routes.Idempotent, map[string][]reply{"a": {{time.Hour, 0, nil}}, "b": {{time.Hour, 0, nil}}}, 0, failure.Unknown, 2, 1500 * ms},
		{"one refuses", routes.Idempotent, map[string][]reply{"a": {{2 * ms, 0, errRefused}}, "b": ok}, 200, "", -2, 50 * ms},
		{"both refuse", routes.Idempotent, map[string][]reply{"a": {{2 * ms, 0, errRefused}}, "b": {{2 * ms, 0, errRefused}}}, 0, failure.NotRun, -4, 200 * ms},
		{"both fail", routes.Idempotent, map[string][]reply{"a": {{2 * ms, 500, nil}}, "b": {{2 * ms, 500, nil}}}, 500, "", 2, 50 * ms},
		{"once, refused", routes.AtMostOnce, map[string][]reply{"a": {{2 * ms, 0, errRefused}}, "b": ok}, 200, "", -2, 50 * ms},
		{"once, not dialed", routes.AtMostOnce, map[string][]reply{"a": {{2 * ms, 0, errDial}}, "b": ok}, 200, "", -2, 50 * ms},
		{"once, broken off", routes.AtMostOnce, map[string][]reply{"a": {{2 * ms, 0, errBroken}}, "b": {{2 * ms, 0, errBroken}}}, 0, failure.Unknown, 1, 50 * ms},
		{"once, silent", routes.AtMostOnce, map[string][]reply{"a": {{time.Hour, 0, nil}}, "b": {{time.Hour, 0, nil}}}, 0, failure.Unknown, 1, 1500 * ms},
		{"once, failed", routes.AtMostOnce, map[string][]reply{"a": {{2 * ms, 500, nil}}, "b": {{2 * ms, 500, nil}}}, 500, "", 1, 50 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &replicas{replies: test.replies}
				all := fleet.New(logr.Discard())
				for id := range test.replies {
					all.Put(fleet.Replica{ID: id, Service: "s", Address: id, Slots: 4})
				}
				g := New(all, fake, "", nil, logr.Discard())
				route := &routes.Route{Name: "r", Kind: test.kind, Timeout: 1500 * ms, LatencyObjective: 100 * ms, MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}}}
				resp := new(fasthttp.Response)
				began := time.Now()
				_, err := g.Handle(context.Background(), Call{ID: "x", Route: route, Request: new(fasthttp.Request), Deadline: began.Add(1500 * ms)}, resp)
				took := time.Since(began)
				synctest.Wait()
				switch {
				case test.status != 0 && (err != nil || resp.StatusCode() != test.status):
					t.Errorf("status %d, %v", resp.StatusCode(), err)
				case test.status == 0 && (err == nil || failure.As(err).Outcome != test.outcome):
					t.Errorf("ended with %v", err)
				}
				if took > test.within {
					t.Errorf("took %s", took)
				}
				if n := len(fake.sent); test.sent > 0 && n != test.sent || n > max(test.sent, -test.sent) {
					t.Errorf("%d sends: %v", n, fake.sent)
				}
				if e := failure.As(err); err != nil && e.Outcome == failure.NotRun && e.RetryAfter <= 0 {
					t.Error("a refusal says no time to come back")
				}
			})
		})
	}
}

func TestServiceWithoutReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(fleet.New(logr.Discard()), &replicas{}, "", nil, logr.Discard())
		route := &routes.Route{Kind: routes.Idempotent, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}}}
		began := time.Now()
		_, err := g.Handle(context.Background(), Call{Route: route, Request: new(fasthttp.Request), Deadline: began.Add(time.Second)}, new(fasthttp.Response))
		if e := failure.As(err); e.Outcome != failure.NotRun || time.Since(began) > 50*time.Millisecond {
			t.Errorf("ended with %v after %s", err, time.Since(began))
		}
	})
}
