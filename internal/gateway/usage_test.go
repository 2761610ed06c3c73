package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/routes"
	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

// recordedUsage records the calls of Began.
type recordedUsage struct {
	mu    sync.Mutex
	teams []string
	at    []time.Time
}

func (u *recordedUsage) Began(team string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.teams, u.at = append(u.teams, team), append(u.at, at)
}

// fleetOf returns a fleet with replicas of service "s".
func fleetOf(ids ...string) *fleet.Fleet {
	all := fleet.New(logr.Discard())
	for _, id := range ids {
		all.Put(fleet.Replica{ID: id, Service: "s", Address: id, Slots: 4})
	}
	return all
}

// A request counts once, at the start of the attempt that a replica ran, and not at all if
// no replica ran it.
func TestPlainRequestIsCountedOnce(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name      string
		kind      routes.Kind
		team      string
		class     telemetry.Kind
		responses map[string][]response
		counted   bool
		// at is when the counted attempt began, at least and at most.
		at, atMost time.Duration
	}{
		{"answered", routes.AtMostOnce, "t", telemetry.Plain, map[string][]response{"a": {{50 * ms, 200, nil}}}, true, 0, 0},
		{"answered by the second replica after a crash", routes.Idempotent, "t", telemetry.Plain, map[string][]response{"a": {{50 * ms, 0, errBroken}, {50 * ms, 200, nil}}, "b": {{50 * ms, 0, errBroken}, {50 * ms, 200, nil}}}, true, 0, 250 * ms},
		{"asked twice and answered twice", routes.Idempotent, "t", telemetry.Plain, map[string][]response{"a": {{300 * ms, 200, nil}}, "b": {{300 * ms, 200, nil}}}, true, 0, 0},
		{"failed while it ran", routes.AtMostOnce, "t", telemetry.Plain, map[string][]response{"a": {{50 * ms, 500, nil}}}, true, 0, 0},
		{"answer lost", routes.AtMostOnce, "t", telemetry.Plain, map[string][]response{"a": {{50 * ms, 0, errBroken}}}, true, 0, 0},
		{"still running at the deadline", routes.AtMostOnce, "t", telemetry.Plain, map[string][]response{"a": {{time.Hour, 0, nil}}}, true, 0, 0},
		{"refused", routes.AtMostOnce, "t", telemetry.Plain, map[string][]response{"a": {{2 * ms, 0, errRefused}}}, false, 0, 0},
		{"not reached", routes.AtMostOnce, "t", telemetry.Plain, map[string][]response{"a": {{2 * ms, 0, errDial}}}, false, 0, 0},
		{"rejected before it ran", routes.AtMostOnce, "t", telemetry.Plain, map[string][]response{"a": {{2 * ms, 400, nil}}}, false, 0, 0},
		{"public", routes.AtMostOnce, "", telemetry.Plain, map[string][]response{"a": {{50 * ms, 200, nil}}}, false, 0, 0},
		{"scoring call", routes.AtMostOnce, "t", telemetry.Score, map[string][]response{"a": {{50 * ms, 200, nil}}}, false, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				usage := &recordedUsage{}
				g := New(fleetOf(lo.Keys(test.responses)...), &fakeReplicas{responses: test.responses}, noGuard{}, "", nil, logr.Discard())
				g.SetUsageCounter(usage)
				route := &routes.Route{Kind: test.kind, Timeout: 1400 * ms, LatencyObjective: 100 * ms, MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}}}
				began := time.Now()
				call := Call{Team: test.team, Kind: test.class, Route: route, Request: new(fasthttp.Request), Deadline: began.Add(1400 * ms)}
				_, _ = g.Handle(t.Context(), call, new(fasthttp.Response))
				synctest.Wait()
				if !test.counted && len(usage.teams) != 0 || test.counted && (len(usage.teams) != 1 || usage.teams[0] != "t") {
					t.Fatalf("counted for %v", usage.teams)
				}
				if test.counted {
					if at := usage.at[0].Sub(began); at < test.at || at > test.atMost {
						t.Errorf("counted at %s", at)
					}
				}
			})
		})
	}
}

// inOrder answers the attempts in their order, at whichever replica.
type inOrder struct {
	mu   sync.Mutex
	list []response
}

func (o *inOrder) Exchange(ctx context.Context, target fleet.Replica, req *fasthttp.Request, resp *fasthttp.Response, once bool) error {
	o.mu.Lock()
	next := o.list[0]
	o.list = o.list[1:]
	o.mu.Unlock()
	return (&fakeReplicas{responses: map[string][]response{target.ID: {next}}}).Exchange(ctx, target, req, resp, once)
}

// An attempt that may have run counts, also if a later attempt is answered with an error
// status, which says nothing of the first one.
func TestAttemptThatMayHaveRunIsCountedBeforeAnError(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name    string
		list    []response
		counted bool
		// at is when the counted attempt began, at most.
		at time.Duration
	}{
		{"answer lost, then rejected", []response{{50 * ms, 0, errBroken}, {2 * ms, 400, nil}}, true, 0},
		{"answer lost, then an error", []response{{50 * ms, 0, errBroken}, {2 * ms, 503, nil}}, true, 0},
		{"answer lost twice", []response{{50 * ms, 0, errBroken}, {50 * ms, 0, errBroken}}, true, 0},
		{"answer lost, then answered", []response{{50 * ms, 0, errBroken}, {2 * ms, 200, nil}}, true, 200 * ms},
		{"still running, then rejected", []response{{time.Hour, 0, nil}, {2 * ms, 400, nil}}, true, 0},
		{"refused, then rejected", []response{{2 * ms, 0, errRefused}, {2 * ms, 400, nil}}, false, 0},
		{"an error, then rejected", []response{{2 * ms, 503, nil}, {2 * ms, 400, nil}}, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				usage := &recordedUsage{}
				g := New(fleetOf("a", "b"), &inOrder{list: test.list}, noGuard{}, "", nil, logr.Discard())
				g.SetUsageCounter(usage)
				route := &routes.Route{Kind: routes.Idempotent, Timeout: 1400 * ms, LatencyObjective: 100 * ms, MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}}}
				began := time.Now()
				call := Call{Team: "t", Kind: telemetry.Plain, Route: route, Request: new(fasthttp.Request), Deadline: began.Add(1400 * ms)}
				_, _ = g.Handle(t.Context(), call, new(fasthttp.Response))
				synctest.Wait()
				if n := len(usage.at); test.counted != (n == 1) || n > 1 {
					t.Fatalf("counted %d times", n)
				}
				if test.counted && usage.at[0].Sub(began) > test.at {
					t.Errorf("counted at %s", usage.at[0].Sub(began))
				}
			})
		})
	}
}

// The counts of a window are read 4 s after its end, so a request that runs for longer
// must be counted before its answer arrives.
func TestLongRequestIsCountedWhileItRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		usage := &recordedUsage{}
		g := New(fleetOf("a"), &fakeReplicas{responses: map[string][]response{"a": {{8 * time.Second, 200, nil}}}}, noGuard{}, "", nil, logr.Discard())
		g.SetUsageCounter(usage)
		route := &routes.Route{Kind: routes.AtMostOnce, Timeout: 9 * time.Second, LatencyObjective: time.Second, MaxAttempts: 1, Shares: []routes.Share{{Service: "s", Weight: 1}}}
		began := time.Now()
		done := make(chan error, 1)
		go func() {
			_, err := g.Handle(t.Context(), Call{Team: "t", Route: route, Request: new(fasthttp.Request), Deadline: began.Add(9 * time.Second)}, new(fasthttp.Response))
			done <- err
		}()
		time.Sleep(usageDelay + time.Millisecond)
		synctest.Wait()
		if len(usage.at) != 1 || !usage.at[0].Equal(began) {
			t.Errorf("counted at %v", usage.at)
		}
		if err := <-done; err != nil || len(usage.at) != 1 {
			t.Errorf("counted %d times, error %v", len(usage.at), err)
		}
	})
}

// A stream counts with its first event: once, if another replica continues it, not again
// if the caller resumes it, and not at all without an event.
func TestStreamIsCountedWithItsFirstEvent(t *testing.T) {
	broken := failure.New(failure.IncompleteAnswer, failure.Unknown, "broken off")
	for _, test := range []struct {
		name    string
		after   int
		list    []streamAttempt
		counted int
	}{
		{"whole", 0, []streamAttempt{{4, nil}}, 1},
		{"continued by another replica", 0, []streamAttempt{{2, broken}, {4, nil}}, 1},
		{"resumed by the caller", 2, []streamAttempt{{4, nil}}, 0},
		{"broken off before the first event", 0, []streamAttempt{{0, broken}}, 0},
		{"answered with an error", 0, []streamAttempt{{0, nil}}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				usage := &recordedUsage{}
				g := New(fleetOf("a", "b"), nil, noGuard{}, "", nil, logr.Discard())
				g.SetUsageCounter(usage)
				route := &routes.Route{Kind: routes.Idempotent, Resumable: true, Timeout: time.Second, LatencyObjective: time.Second, MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}}}
				call := Call{Team: "t", Kind: telemetry.Stream, Route: route, Request: new(fasthttp.Request), Deadline: time.Now().Add(time.Second)}
				_ = g.Stream(t.Context(), &fakeStreamer{list: test.list}, call, test.after, &countingSink{}, new(fasthttp.Response))
				if len(usage.teams) != test.counted {
					t.Errorf("counted %d times, want %d", len(usage.teams), test.counted)
				}
			})
		})
	}
}
