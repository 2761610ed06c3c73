package gateway

import (
	"context"
	"strconv"
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

// countingGuard refuses a request after a number of failed attempts.
type countingGuard struct{ failures, answers, limit int }

func (g *countingGuard) Admit(f quarantine.Fingerprint) error {
	if f != 0 && g.failures >= g.limit {
		return failure.New(failure.Quarantined, failure.NotRun, "refused").WithRetryAfter(time.Minute)
	}
	return nil
}

func (g *countingGuard) Answered(quarantine.Fingerprint) { g.answers++ }

func (g *countingGuard) Failed(_ context.Context, _ string, f quarantine.Fingerprint, _ fleet.Replica, _ error) {
	if f != 0 {
		g.failures++
	}
}

// A request that the guard refuses reaches no replica, and one that it refuses after an
// attempt may have run.
func TestCrashingRequestIsRefusedBetweenAttempts(t *testing.T) {
	const ms = time.Millisecond
	broken := map[string][]response{"a": {{ms, 0, errBroken}}, "b": {{ms, 0, errBroken}}, "c": {{ms, 0, errBroken}}}
	for _, test := range []struct {
		name        string
		limit       int
		fingerprint quarantine.Fingerprint
		sent        int
		kind        failure.Kind
		outcome     failure.Outcome
	}{
		{"refused", 0, 1, 0, failure.Quarantined, failure.NotRun},
		{"refused after an attempt", 1, 1, 1, failure.UpstreamFailed, failure.Unknown},
		{"admitted", 9, 1, 3, failure.UpstreamFailed, failure.Unknown},
		{"exempt", 0, 0, 3, failure.UpstreamFailed, failure.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := fleet.New(logr.Discard())
				for id := range broken {
					all.Put(fleet.Replica{ID: id, Service: "s", Address: id, Slots: 4})
				}
				route := &routes.Route{Kind: routes.Idempotent, Resumable: true, Timeout: 1500 * ms, LatencyObjective: 100 * ms, MaxAttempts: 3, Shares: []routes.Share{{Service: "s", Weight: 1}}}
				call := Call{Route: route, Request: new(fasthttp.Request), Fingerprint: test.fingerprint, Deadline: time.Now().Add(1500 * ms)}
				fake := &fakeReplicas{responses: broken}
				began := time.Now()
				_, err := New(all, fake, &countingGuard{limit: test.limit}, "", nil, logr.Discard()).Handle(t.Context(), call, new(fasthttp.Response))
				if e := failure.As(err); e.Kind != test.kind || e.Outcome != test.outcome || len(fake.sent) != test.sent {
					t.Errorf("request: %d attempts, error %v", len(fake.sent), err)
				}
				if took := time.Since(began); test.sent < 2 && took > 10*ms {
					t.Errorf("refused after %s", took)
				}
				streamer := &fakeStreamer{list: []streamAttempt{{0, errBroken}}}
				for id := range broken {
					all.RecordSuccess(id)
				}
				err = New(all, nil, &countingGuard{limit: test.limit}, "", nil, logr.Discard()).Stream(t.Context(), streamer, call, 0, &countingSink{}, new(fasthttp.Response))
				if e := failure.As(err); e.Kind != test.kind || e.Outcome != test.outcome || streamer.sent != test.sent {
					t.Errorf("stream: %d attempts, error %v", streamer.sent, err)
				}
			})
		})
	}
}

// Only an answer to a request that was run says that the request is sound. A replica may
// reject a request that it has not begun to run.
func TestErrorStatusDoesNotClearARequest(t *testing.T) {
	for status, want := range map[int]int{200: 1, 204: 1, 400: 0, 413: 0, 500: 0} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := fleet.New(logr.Discard())
				all.Put(fleet.Replica{ID: "a", Service: "s", Address: "a", Slots: 4})
				route := &routes.Route{Kind: routes.AtMostOnce, Timeout: time.Second, LatencyObjective: time.Second, MaxAttempts: 1, Shares: []routes.Share{{Service: "s", Weight: 1}}}
				call := Call{Route: route, Request: new(fasthttp.Request), Fingerprint: 1, Deadline: time.Now().Add(time.Second)}
				guard := &countingGuard{limit: 9}
				fake := &fakeReplicas{responses: map[string][]response{"a": {{time.Millisecond, status, nil}}}}
				if _, err := New(all, fake, guard, "", nil, logr.Discard()).Handle(t.Context(), call, new(fasthttp.Response)); err != nil {
					t.Errorf("status %d: %v", status, err)
				}
				if guard.answers != want {
					t.Errorf("status %d counts as %d answers, want %d", status, guard.answers, want)
				}
				err := New(all, nil, guard, "", nil, logr.Discard()).Stream(t.Context(), &fakeStreamer{list: []streamAttempt{{0, nil}}}, call, 0, &countingSink{}, new(fasthttp.Response))
				if err != nil || guard.answers != want {
					t.Errorf("a stream answered with an error: %d answers, %v", guard.answers-want, err)
				}
			})
		})
	}
}
