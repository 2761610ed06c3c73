package gateway

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/routes"
)

// streamAttempt is the result of one attempt: the events up to a number, and then
// the end of the stream or an error. An attempt without events and error is an answer
// that is not a stream.
type streamAttempt struct {
	upTo int
	err  error
}

// fakeStreamer returns its attempts in turn and repeats the last one.
type fakeStreamer struct {
	list []streamAttempt
	sent int
}

func (p *fakeStreamer) StreamEvents(ctx context.Context, _ fleet.Replica, _ *fasthttp.Request, resp *fasthttp.Response, after int,
	begin func(*fasthttp.ResponseHeader), event func(int, []byte) error,
) error {
	next := p.list[min(p.sent, len(p.list)-1)]
	p.sent++
	select {
	case <-time.After(5 * time.Millisecond):
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "cancelled")
	}
	if next.upTo > 0 {
		begin(new(fasthttp.ResponseHeader))
	} else if next.err == nil {
		resp.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	for id := after + 1; id <= next.upTo; id++ {
		if err := event(id, []byte("event")); err != nil {
			return err
		}
	}
	return next.err
}

// countingSink counts the events of a stream.
type countingSink struct{ events int }

func (r *countingSink) Begin(*fasthttp.ResponseHeader) {}

func (r *countingSink) Event([]byte) error {
	r.events++
	return nil
}

// Load pattern: replicas that break off, refuse or can't be dialed while a stream is
// forwarded, in each order.
func TestStream(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name      string
		resumable bool
		attempts  []streamAttempt
		// events is the number of events that the caller gets of a stream of four.
		events int
		// outcome is the expected outcome of the error; empty expects a complete stream.
		outcome failure.Outcome
		within  time.Duration
	}{
		{"whole", false, []streamAttempt{{4, nil}}, 4, "", 10 * ms},
		{"refused and whole", false, []streamAttempt{{0, errRefused}, {4, nil}}, 4, "", 100 * ms},
		{"resumed", true, []streamAttempt{{2, errBroken}, {4, nil}}, 4, "", 100 * ms},
		{"resumed after a refusal", true, []streamAttempt{{2, errBroken}, {0, errRefused}, {4, nil}}, 4, "", 100 * ms},
		{"broken off, and the next replica answers with an error", true, []streamAttempt{{2, errBroken}, {0, nil}, {4, nil}}, 4, "", 100 * ms},
		{"broken off, and all others answer with an error", true, []streamAttempt{{2, errBroken}, {0, nil}}, 2, failure.Unknown, 1500 * ms},
		{"broken off, not resumable", false, []streamAttempt{{2, errBroken}}, 2, failure.Unknown, 50 * ms},
		{"broken off before its first event, then refused", true, []streamAttempt{{0, errBroken}, {0, errRefused}}, 0, failure.Unknown, 1500 * ms},
		{"broken off before its first event, then not dialed", true, []streamAttempt{{0, errBroken}, {0, errDial}}, 0, failure.Unknown, 1500 * ms},
		{"always refused", true, []streamAttempt{{0, errRefused}}, 0, failure.NotRun, 100 * ms},
		{"never dialed", true, []streamAttempt{{0, errDial}}, 0, failure.NotRun, 100 * ms},
		{"never dialed, not resumable", false, []streamAttempt{{0, errDial}}, 0, failure.NotRun, 100 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := fleet.New(logr.Discard())
				for id := range slices.Values([]string{"a", "b", "c"}) {
					all.Put(fleet.Replica{ID: id, Service: "s", Address: id, Slots: 4})
				}
				g := New(all, nil, noGuard{}, "", nil, logr.Discard())
				route := &routes.Route{Name: "r", Kind: routes.Idempotent, Resumable: test.resumable, Timeout: 1500 * ms, LatencyObjective: 100 * ms,
					MaxAttempts: 3, Shares: []routes.Share{{Service: "s", Weight: 1}}}
				began := time.Now()
				ctx, cancel := context.WithDeadline(context.Background(), began.Add(1500*ms))
				defer cancel()
				caller := &countingSink{}
				err := g.Stream(ctx, &fakeStreamer{list: test.attempts}, Call{ID: "x", Route: route, Request: new(fasthttp.Request), Deadline: began.Add(1500 * ms)},
					0, caller, new(fasthttp.Response))
				if test.outcome == "" && err != nil || test.outcome != "" && (err == nil || failure.As(err).Outcome != test.outcome) {
					t.Errorf("got error %v", err)
				}
				if caller.events != test.events {
					t.Errorf("got %d events", caller.events)
				}
				if took := time.Since(began); took > test.within {
					t.Errorf("took %s", took)
				}
			})
		})
	}
}
