package crashguard

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/retry"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
	"github.com/sapphirehatch/sapphirehatch/internal/quarantine"
)

const (
	term    = 10 * time.Minute
	runTime = time.Second
)

// fleet is a set of upstream processes. A request whose body contains "poison"
// crashes its upstream after runTime/2, and all requests there fail.
type fleet struct {
	mu   sync.Mutex
	ids  []string
	dead map[string]chan struct{}
}

func newFleet(n int) *fleet {
	f := &fleet{dead: make(map[string]chan struct{})}
	for i := range n {
		id := fmt.Sprintf("u%d", i+1)
		f.ids = append(f.ids, id)
		f.dead[id] = make(chan struct{})
	}
	return f
}

func (f *fleet) isDead(id string) bool {
	select {
	case <-f.dead[id]:
		return true
	default:
		return false
	}
}

func (f *fleet) lost() int {
	return len(slices.DeleteFunc(slices.Clone(f.ids), func(id string) bool { return !f.isDead(id) }))
}

// Crashed implements Prober.
func (f *fleet) Crashed(_ context.Context, u membership.Upstream) bool { return f.isDead(u.ID) }

// pick returns the first live upstream that is not avoided, if it is accepted.
func (f *fleet) pick(r *filter.Request) (string, error) {
	avoided := func(id string) bool { return slices.Contains(r.Avoid, id) }
	live := slices.DeleteFunc(slices.Clone(f.ids), f.isDead)
	if slices.ContainsFunc(live, func(id string) bool { return !avoided(id) }) {
		live = slices.DeleteFunc(live, avoided)
	}
	if len(live) == 0 {
		return "", failure.New(failure.NoUpstream, failure.NotRun, "none")
	}
	if r.Accept != nil && !r.Accept(live[0]) {
		return "", filter.ErrNotAccepted
	}
	return live[0], nil
}

// run replaces the forward filter.
func (f *fleet) run(ctx context.Context, r *filter.Request) error {
	id, err := f.pick(r)
	if err != nil {
		return err
	}
	r.Attempt++
	r.Upstream = membership.Upstream{ID: id, Incarnation: "1"}
	finished := time.After(runTime)
	if strings.Contains(string(r.Inbound.Body()), "poison") {
		time.AfterFunc(runTime/2, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !f.isDead(id) {
				close(f.dead[id])
			}
		})
	}
	select {
	case <-f.dead[id]:
		return failure.New(failure.UpstreamFailed, failure.Unknown, "reset")
	case <-finished:
		return nil
	case <-ctx.Done():
		return failure.New(failure.DeadlineExceeded, failure.Unknown, "late")
	}
}

type host struct {
	handler  filter.Handler
	registry *quarantine.Registry
}

func hosts(n int, f *fleet) []host {
	network := peertest.NewNetwork()
	all := make([]host, n)
	for i := range all {
		exchange := network.Join(peer.Host{ID: fmt.Sprintf("h%d", i+1)})
		registry := quarantine.New(exchange, logr.Discard(), term)
		guard := New(registry, f)
		all[i] = host{registry: registry, handler: func(ctx context.Context, r *filter.Request) error {
			return (&retry.Retry{}).Handle(ctx, r, func(ctx context.Context, r *filter.Request) error { return guard.Handle(ctx, r, f.run) })
		}}
	}
	return all
}

func (h host) send(t *testing.T, body string, idempotent bool) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r := &filter.Request{Document: &deployment.Document{}, Inbound: new(fasthttp.Request), Pool: "stock", Idempotent: idempotent}
	r.Inbound.SetRequestURI("/specs")
	r.Inbound.SetBodyString(body)
	err := h.handler(ctx, r)
	if err == nil {
		return "ok"
	}
	e := failure.As(err)
	return string(e.Kind) + " " + string(e.Outcome)
}

func TestCrashingRequestCrashesTwoUpstreamsAtMost(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent=%v", idempotent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(8)
				all := hosts(4, f)
				got := make([]string, 0, 3*len(all))
				for round := range 3 {
					for _, h := range all {
						got = append(got, h.send(t, "poison", idempotent))
					}
					if round == 0 && f.lost() != 2 {
						t.Errorf("%d upstreams lost: %v", f.lost(), got)
					}
				}
				if f.lost() != 2 {
					t.Errorf("%d upstreams lost: %v", f.lost(), got)
				}
				for i, h := range all {
					if n := h.registry.Quarantined(); n != 1 {
						t.Errorf("host %d refuses %d requests", i+1, n)
					}
				}
				if last := got[len(got)-1]; last != "quarantined not-run" || got[0] == last {
					t.Error(got)
				}
			})
		})
	}
}

func TestQuarantineExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		h := hosts(1, f)[0]
		h.send(t, "poison", true)
		time.Sleep(term + time.Second)
		if got := h.send(t, "poison", false); got != "upstream_failed unknown" {
			t.Error(got)
		}
	})
}

// Requests that are in flight on an upstream while another request crashes it
// must be answered and cleared.
func TestNeighboursOfACrashingRequestAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		all := hosts(3, f)
		var wg sync.WaitGroup
		got := make([]string, 30)
		for i := range got {
			wg.Go(func() { got[i] = all[i%len(all)].send(t, fmt.Sprintf("spec %d", i), true) })
		}
		wg.Go(func() {
			time.Sleep(runTime / 10)
			all[0].send(t, "poison", true)
		})
		wg.Wait()
		for i, answer := range got {
			if answer != "ok" {
				t.Errorf("request %d: %s", i, answer)
			}
		}
		for i, h := range all {
			h.registry.Merge()
			if n := h.registry.Quarantined(); n != 1 {
				t.Errorf("host %d refuses %d requests", i+1, n)
			}
		}
		if f.lost() != 2 {
			t.Errorf("%d upstreams lost", f.lost())
		}
		for i := range got {
			if answer := all[(i+1)%len(all)].send(t, fmt.Sprintf("spec %d", i), true); answer != "ok" {
				t.Errorf("request %d, again: %s", i, answer)
			}
		}
	})
}

// A request whose upstream crashes for another reason is cleared when it
// finishes on another upstream.
func TestFinishingElsewhereClearsARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		all := hosts(2, f)
		for i, id := range f.ids[:3] {
			time.AfterFunc(runTime/2, func() { close(f.dead[id]) })
			if got := all[i%2].send(t, "spec", true); got != "ok" {
				t.Errorf("run %d: %s", i, got)
			}
			all[(i+1)%2].registry.Merge()
		}
	})
}

func TestTimeoutIsNoCrash(t *testing.T) {
	// The HTTP library's own timeout error does not implement net.Error.
	for _, cause := range []error{context.DeadlineExceeded, fasthttp.ErrTimeout} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(2)
			h := hosts(1, f)[0]
			close(f.dead["u1"])
			late := failure.Wrap(cause, failure.UpstreamFailed, failure.Unknown, "silent")
			guard := New(h.registry, f)
			r := &filter.Request{Inbound: new(fasthttp.Request), Upstream: membership.Upstream{ID: "u1"}}
			_ = guard.Handle(t.Context(), r, func(context.Context, *filter.Request) error { return late })
			if state, _ := h.registry.State(quarantine.FingerprintOf("", r.Inbound)); state != quarantine.Clean {
				t.Error(cause, state)
			}
		})
	}
}
