package routing

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// fakeView is a membership.View with settable replicas.
type fakeView struct {
	mu        sync.Mutex
	upstreams []membership.Upstream
}

func (v *fakeView) Upstreams(string) []membership.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams
}
func (v *fakeView) MarkLeaving(string) {}
func (v *fakeView) Ready() bool        { return true }

func (v *fakeView) set(upstreams ...membership.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams = upstreams
}

// fakeSource is a deployment.Source with one document.
type fakeSource struct{ doc *deployment.Document }

func (s fakeSource) Current() *deployment.Document { return s.doc }
func (s fakeSource) Changed() <-chan struct{}      { return nil }

// fixture is a Balancer over one service pool "app" and one engine pool "model".
type fixture struct {
	*Balancer
	t    *testing.T
	view *fakeView
}

func newFixture(t *testing.T, maxConcurrent, queueLimit int, upstreams ...membership.Upstream) *fixture {
	view := &fakeView{}
	view.set(upstreams...)
	doc := &deployment.Document{
		Deployment:  deployment.Deployment{QueueLimit: queueLimit},
		Services:    map[string]deployment.Service{"app": {MaxConcurrent: maxConcurrent}},
		EnginePools: map[string]deployment.EnginePool{"model": {MaxConcurrent: maxConcurrent}},
	}
	b := &fixture{Balancer: NewBalancer(view, fakeSource{doc}, settings.Host{ID: "h1"}), t: t, view: view}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = b.Run(ctx) }()
	return b
}

func app(id string) membership.Upstream {
	return membership.Upstream{ID: id, Kind: platform.ServiceMember, Address: id}
}

func (b *fixture) mustReserve(req Request) Reservation {
	b.t.Helper()
	res, err := b.Reserve(b.t.Context(), req)
	if err != nil {
		b.t.Fatal(err)
	}
	return res
}

func (b *fixture) expectRefusal(ctx context.Context, req Request, kind failure.Kind) {
	b.t.Helper()
	_, err := b.Reserve(ctx, req)
	if e := failure.As(err); err == nil || e.Kind != kind || e.Outcome != failure.NotRun {
		b.t.Fatalf("got %v, want %s/not-run", err, kind)
	}
}

// startWaiters starts n Reserve calls that wait. Each sends name to served when
// it gets its reservation.
func (b *fixture) startWaiters(served chan<- string, n int, req Request, name string) {
	for range n {
		go func() {
			res, err := b.Reserve(b.t.Context(), req)
			if err != nil {
				return
			}
			served <- name
			res.Done(Succeeded)
		}()
		synctest.Wait()
	}
}

func TestReserveRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, 1, 1, app("a"))
		req := Request{Pool: "app", Class: deployment.ClassInteractive}
		b.expectRefusal(t.Context(), Request{Pool: "nothing"}, failure.NoUpstream)
		over, cancel := context.WithCancel(t.Context())
		cancel()
		b.expectRefusal(over, req, failure.DeadlineExceeded)
		held := b.mustReserve(req)
		short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		b.expectRefusal(short, req, failure.DeadlineExceeded)
		go func() { _, _ = b.Reserve(t.Context(), req) }()
		synctest.Wait()
		b.expectRefusal(t.Context(), req, failure.QueueFull)
		held.Done(Succeeded)
		synctest.Wait()
		b.view.set()
		time.Sleep(refreshInterval)
		synctest.Wait()
		b.expectRefusal(t.Context(), req, failure.NoUpstream)
	})
}

func TestLeavingReplicaGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, 100, 1, app("a"), app("b"))
		req := Request{Pool: "app", Class: deployment.ClassInteractive}
		b.mustReserve(req).Done(Succeeded)
		gone := app("a")
		gone.Leaving = true
		b.view.set(gone, app("b"))
		time.Sleep(refreshInterval)
		synctest.Wait()
		for range 3 {
			if got := b.mustReserve(req).Upstream().ID; got != "b" {
				t.Fatalf("leaving replica %s got a request", got)
			}
		}
	})
}

func TestInteractiveGoesFirstAndRolloutsDoNotStarve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, 1, 100, app("a"))
		held := b.mustReserve(Request{Pool: "app"})
		served := make(chan string, 100)
		b.startWaiters(served, 5, Request{Pool: "app", Class: deployment.ClassRollout}, "rollout")
		b.startWaiters(served, 40, Request{Pool: "app", Class: deployment.ClassInteractive}, "interactive")
		held.Done(Succeeded)
		synctest.Wait()
		rollouts := 0
		for i := range 40 {
			if <-served != "rollout" {
				continue
			}
			rollouts++
			if i < rolloutDispatchInterval-1 {
				t.Errorf("a rollout was dispatched at position %d", i)
			}
		}
		if rollouts != 2 {
			t.Errorf("%d rollouts among the first 40 dispatches, want 2", rollouts)
		}
	})
}

func TestTenantsAreServedByShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, 1, 200, app("a"))
		held := b.mustReserve(Request{Pool: "app"})
		served := make(chan string, 200)
		b.startWaiters(served, 60, Request{Pool: "app", Class: deployment.ClassRollout, Tenant: "small", Share: 1}, "small")
		b.startWaiters(served, 60, Request{Pool: "app", Class: deployment.ClassRollout, Tenant: "large", Share: 3}, "large")
		held.Done(Succeeded)
		synctest.Wait()
		count := make(map[string]int)
		for range 40 {
			count[<-served]++
		}
		if count["large"] < 28 || count["large"] > 32 {
			t.Errorf("first 40 dispatches: %v, want 3 to 1", count)
		}
	})
}

// A short burst may wait. In a queue that stays non-empty, requests are shed
// after a fraction of the usual duration of an attempt.
func TestOverloadedQueueIsShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answer = 100 * time.Millisecond
		b := newFixture(t, 4, 1000, app("a"))
		req := Request{Pool: "app", Class: deployment.ClassInteractive}
		var mu sync.Mutex
		var waits []time.Duration
		refused, done := 0, 0
		began := time.Now()
		for time.Since(began) < 20*time.Second {
			go func() {
				came := time.Now()
				res, err := b.Reserve(t.Context(), req)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					refused++
					return
				}
				if time.Since(began) > 5*time.Second {
					waits = append(waits, time.Since(came))
				}
				time.AfterFunc(answer, func() {
					res.Done(Succeeded)
					mu.Lock()
					defer mu.Unlock()
					done++
				})
			}()
			time.Sleep(answer / 8) // twice the capacity
		}
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		longest := time.Duration(0)
		for _, w := range waits {
			longest = max(longest, w)
		}
		if longest > answer/2 {
			t.Errorf("longest wait %s, want at most half of the answer time %s", longest, answer)
		}
		if capacity := 4 * 200; done < capacity*9/10 {
			t.Errorf("%d answers in 20 s, want 90%% of the capacity %d (%d refused)", done, capacity, refused)
		}
	})
}

func TestFailingReplicaBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, 100, 10, app("a"), app("b"))
		req := Request{Pool: "app", Class: deployment.ClassInteractive}
		tried := 0
		for range 1000 {
			res := b.mustReserve(req)
			result := Succeeded
			if res.Upstream().ID == "a" {
				result = Refused
				tried++
			}
			res.Done(result)
			time.Sleep(10 * time.Millisecond)
		}
		if tried == 0 || tried > 8 {
			t.Errorf("failing replica was tried %d times in 10 s, want 1 to 8", tried)
		}
	})
}

func TestReservationsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, 2, 1000, app("a"), app("b"), app("c"))
		var wait sync.WaitGroup
		for i := range 500 {
			wait.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%50)*time.Millisecond)
				defer cancel()
				res, err := b.Reserve(ctx, Request{Pool: "app", Class: deployment.ClassRollout, Tenant: fmt.Sprint(i % 3)})
				if err != nil {
					return
				}
				time.Sleep(time.Duration(i%7) * time.Millisecond)
				res.Done(Result(i % 4))
				res.Done(Succeeded)
			})
		}
		wait.Wait()
		p := b.pools["app"]
		for id, r := range p.replicas {
			if n := r.view.InFlight(); n != 0 {
				t.Errorf("replica %s still has %d requests in flight", id, n)
			}
		}
		if n := p.queue.rollout.Len(); n != 0 {
			t.Errorf("%d waiters are still queued", n)
		}
	})
}

func TestRepeatedPromptsGoToOneEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := func(id string) membership.Upstream {
			return membership.Upstream{ID: id, Kind: platform.EngineMember, Address: id}
		}
		b := newFixture(t, 16, 10, engine("a"), engine("b"), engine("c"), engine("d"))
		first := make(map[uint64]string)
		hits, total := 0, 0
		for round := range 5 {
			for prompt := range uint64(40) {
				res := b.mustReserve(Request{Pool: "model", Class: deployment.ClassInteractive, Prefix: []uint64{prompt + 1, prompt + 1000}})
				if round == 0 {
					first[prompt] = res.Upstream().ID
				} else {
					total++
					if first[prompt] == res.Upstream().ID {
						hits++
					}
				}
				res.Done(Succeeded)
			}
		}
		if hits < total*95/100 {
			t.Errorf("%d of %d repeated prompts went to the engine that has them cached, want 95%%", hits, total)
		}
	})
}

// A prompt goes to the engine whose cache events report it, even if another host sent it there.
func TestPromptGoesToTheEngineThatReportsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := func(id string) membership.Upstream {
			return membership.Upstream{ID: id, Kind: platform.EngineMember, Address: id}
		}
		b := newFixture(t, 16, 10, engine("a"), engine("b"), engine("c"), engine("d"))
		b.mustReserve(Request{Pool: "model"}).Done(Cancelled)
		p := b.pools["model"]
		for i, id := range []string{"a", "b", "c", "d"} {
			hash := uint64(i + 1)
			p.applyCacheEvents(p.replicas[id], engineapi.CacheEvents{Incarnation: "i", Events: []engineapi.CacheEvent{stored(1, hash)}})
			res := b.mustReserve(Request{Pool: "model", Class: deployment.ClassInteractive, Prefix: []uint64{hash}})
			if got := res.Upstream().ID; got != id {
				t.Errorf("prompt cached by %s went to %s", id, got)
			}
			res.Done(Succeeded)
		}
	})
}

// A reservation that is granted while its waiter is being cancelled is released.
func TestReservationGrantedToCancelledWaiterIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, 1, 10, app("a"))
		held := b.mustReserve(Request{Pool: "app"})
		p := b.pools["app"]
		_, w, err := p.reserve(t.Context(), &Request{Pool: "app"})
		if err != nil {
			t.Fatal(err)
		}
		held.Done(Succeeded)
		p.cancelWaiter(w)
		if n := p.replicas["a"].view.InFlight(); n != 0 {
			t.Errorf("%d requests are still in flight, want 0", n)
		}
	})
}

// A pool leaves the document while a request waits in its queue. The request can't be
// served any more and must not wait until its deadline.
func TestWaitersOfRemovedPoolAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, 1, 10, app("a"))
		req := Request{Pool: "app", Class: deployment.ClassInteractive}
		held := b.mustReserve(req)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		refused := make(chan error, 1)
		go func() {
			_, err := b.Reserve(ctx, req)
			refused <- err
		}()
		synctest.Wait()
		b.mu.Lock()
		delete(b.source.Current().Services, "app")
		b.mu.Unlock()
		start := time.Now()
		b.Refresh()
		err := <-refused
		if e := failure.As(err); e.Kind != failure.NoUpstream || e.Outcome != failure.NotRun || time.Since(start) > 0 {
			t.Errorf("after %s: %v (%s, %s), want NoUpstream and NotRun at once", time.Since(start), err, e.Kind, e.Outcome)
		}
		held.Done(Succeeded)
		b.expectRefusal(t.Context(), req, failure.NoUpstream)
	})
}
