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
	"github.com/sapphirehatch/sapphirehatch/internal/quarantine"
	"github.com/sapphirehatch/sapphirehatch/internal/routes"
)

// response is the response of a fake replica to a request.
type response struct {
	after  time.Duration
	status int
	err    error
}

// fakeReplicas simulates replicas. Each returns its responses in turn and repeats the
// last one.
type fakeReplicas struct {
	mu        sync.Mutex
	responses map[string][]response
	sent      []string
	// cancelled is the number of exchanges that ended with their context.
	cancelled int
}

// noGuard is a CrashGuard that refuses nothing.
type noGuard struct{}

func (noGuard) Admit(quarantine.Fingerprint) error { return nil }
func (noGuard) Answered(quarantine.Fingerprint)    {}
func (noGuard) Failed(context.Context, string, quarantine.Fingerprint, fleet.Replica, error) {
}

func (r *fakeReplicas) Exchange(ctx context.Context, target fleet.Replica, _ *fasthttp.Request, resp *fasthttp.Response, _ bool) error {
	r.mu.Lock()
	r.sent = append(r.sent, target.ID)
	list := r.responses[target.ID]
	next := list[0]
	if len(list) > 1 {
		r.responses[target.ID] = list[1:]
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
	errDial    = failure.New(failure.UpstreamUnreachable, failure.NotRun, "cannot be dialed")
)

func TestHandle(t *testing.T) {
	const ms = time.Millisecond
	ok := []response{{20 * ms, 200, nil}}
	tests := []struct {
		name      string
		kind      routes.Kind
		responses map[string][]response
		// status is the expected status; zero expects an error with the outcome.
		status  int
		outcome failure.Outcome
		// sent is the expected number of attempts; a negative one is an upper limit.
		sent   int
		within time.Duration
	}{
		{"answered", routes.Idempotent, map[string][]response{"a": ok, "b": ok}, 200, "", 1, 30 * ms},
		{"broken off and repeated", routes.Idempotent, map[string][]response{"a": {{10 * ms, 0, errBroken}}, "b": {{10 * ms, 0, errBroken}, {10 * ms, 200, nil}}}, 0, failure.Unknown, 2, 100 * ms},
		{"one breaks off", routes.Idempotent, map[string][]response{"a": {{10 * ms, 0, errBroken}}, "b": ok}, 200, "", -2, 50 * ms},
		{"one is silent", routes.Idempotent, map[string][]response{"a": {{time.Hour, 0, nil}}, "b": ok}, 200, "", -2, 250 * ms},
		{"both are silent", routes.Idempotent, map[string][]response{"a": {{time.Hour, 0, nil}}, "b": {{time.Hour, 0, nil}}}, 0, failure.Unknown, 2, 1500 * ms},
		{"one refuses", routes.Idempotent, map[string][]response{"a": {{2 * ms, 0, errRefused}}, "b": ok}, 200, "", -2, 50 * ms},
		{"both refuse", routes.Idempotent, map[string][]response{"a": {{2 * ms, 0, errRefused}}, "b": {{2 * ms, 0, errRefused}}}, 0, failure.NotRun, -4, 200 * ms},
		{"both fail", routes.Idempotent, map[string][]response{"a": {{2 * ms, 500, nil}}, "b": {{2 * ms, 500, nil}}}, 500, "", 2, 50 * ms},
		{"once, refused", routes.AtMostOnce, map[string][]response{"a": {{2 * ms, 0, errRefused}}, "b": ok}, 200, "", -2, 50 * ms},
		{"once, not dialed", routes.AtMostOnce, map[string][]response{"a": {{2 * ms, 0, errDial}}, "b": ok}, 200, "", -2, 50 * ms},
		{"once, broken off", routes.AtMostOnce, map[string][]response{"a": {{2 * ms, 0, errBroken}}, "b": {{2 * ms, 0, errBroken}}}, 0, failure.Unknown, 1, 50 * ms},
		{"once, silent", routes.AtMostOnce, map[string][]response{"a": {{time.Hour, 0, nil}}, "b": {{time.Hour, 0, nil}}}, 0, failure.Unknown, 1, 1500 * ms},
		{"once, failed", routes.AtMostOnce, map[string][]response{"a": {{2 * ms, 500, nil}}, "b": {{2 * ms, 500, nil}}}, 500, "", 1, 50 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakeReplicas{responses: test.responses}
				all := fleet.New(logr.Discard())
				for id := range test.responses {
					all.Put(fleet.Replica{ID: id, Service: "s", Address: id, Slots: 4})
				}
				g := New(all, fake, noGuard{}, "", nil, logr.Discard())
				route := &routes.Route{Name: "r", Kind: test.kind, Timeout: 1500 * ms, LatencyObjective: 100 * ms, MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}}}
				resp := new(fasthttp.Response)
				began := time.Now()
				_, err := g.Handle(context.Background(), Call{ID: "x", Route: route, Request: new(fasthttp.Request), Deadline: began.Add(1500 * ms)}, resp)
				took := time.Since(began)
				synctest.Wait()
				switch {
				case test.status != 0 && (err != nil || resp.StatusCode() != test.status):
					t.Errorf("got status %d, error %v", resp.StatusCode(), err)
				case test.status == 0 && (err == nil || failure.As(err).Outcome != test.outcome):
					t.Errorf("got error %v", err)
				}
				if took > test.within {
					t.Errorf("took %s", took)
				}
				if n := len(fake.sent); test.sent > 0 && n != test.sent || n > max(test.sent, -test.sent) {
					t.Errorf("%d attempts: %v", n, fake.sent)
				}
				if e := failure.As(err); err != nil && e.Outcome == failure.NotRun && e.RetryAfter <= 0 {
					t.Error("a refusal has no retry time")
				}
			})
		})
	}
}

func TestServiceWithoutReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(fleet.New(logr.Discard()), &fakeReplicas{}, noGuard{}, "", nil, logr.Discard())
		route := &routes.Route{Kind: routes.Idempotent, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}}}
		began := time.Now()
		_, err := g.Handle(context.Background(), Call{Route: route, Request: new(fasthttp.Request), Deadline: began.Add(time.Second)}, new(fasthttp.Response))
		if e := failure.As(err); e.Outcome != failure.NotRun || time.Since(began) > 50*time.Millisecond {
			t.Errorf("got error %v after %s", err, time.Since(began))
		}
	})
}

// Guards against a demand without the requests that wait for a replica: too few replicas
// would then look like enough.
func TestWaitingRequestsCountAsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(logr.Discard())
		f.Put(fleet.Replica{ID: "r", Service: "s", Address: "10.0.0.1:1", Draining: true})
		g := New(f, &fakeReplicas{}, noGuard{}, "", nil, logr.Discard())
		route := &routes.Route{Kind: routes.Idempotent, LatencyObjective: time.Second, MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}}}
		ended := make(chan error)
		go func() {
			_, err := g.Handle(context.Background(), Call{Route: route, Request: new(fasthttp.Request), Deadline: time.Now().Add(time.Second)}, new(fasthttp.Response))
			ended <- err
		}()
		time.Sleep(time.Millisecond)
		if n := f.Requests()["s"]; n != 1 {
			t.Errorf("%d requests in flight while one waits", n)
		}
		if err := <-ended; err == nil {
			t.Error("a request without a replica was answered")
		}
		if n := f.Requests()["s"]; n != 0 {
			t.Errorf("%d requests in flight after the end", n)
		}
	})
}
