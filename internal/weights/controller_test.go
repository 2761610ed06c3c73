package weights

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/lease"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// loadTime is how long a fake engine loads.
const loadTime = 500 * time.Millisecond

// fakePool is a pool of engines that load weights in loadTime.
type fakePool struct {
	mu            sync.Mutex
	status        map[string]*engineapi.Status
	replicas      []membership.Upstream
	checksFencing bool
	// failures is the number of coming loads that will fail, by engine.
	failures   map[string]int
	orders     []engineapi.Order
	loading    int
	maxLoading int
	// delayed is the delay of orders, by their fencing token.
	delayed map[uint64]time.Duration
	// statusTime is the duration of a status read.
	statusTime time.Duration
	// frozen is the id of an engine that does not answer.
	frozen string
}

func newFakePool(n int, version uint64, checks bool) *fakePool {
	f := &fakePool{status: map[string]*engineapi.Status{}, failures: map[string]int{}, delayed: map[uint64]time.Duration{}, checksFencing: checks}
	for i := range n {
		id := fmt.Sprintf("e%03d", i)
		f.replicas = append(f.replicas, membership.Upstream{ID: id, Pool: "pool"})
		f.status[id] = &engineapi.Status{ID: id, Version: version}
	}
	return f
}

func (f *fakePool) Upstreams(string) []membership.Upstream { return f.replicas }
func (f *fakePool) MarkLeaving(string)                     {}
func (f *fakePool) Ready() bool                            { return true }

func (f *fakePool) Status(ctx context.Context, u membership.Upstream) (engineapi.Status, error) {
	if u.ID == f.frozen {
		<-ctx.Done()
		return engineapi.Status{}, failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "frozen")
	}
	time.Sleep(f.statusTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	return *f.status[u.ID], nil
}

func (f *fakePool) Order(_ context.Context, u membership.Upstream, order engineapi.Order) error {
	f.mu.Lock()
	wait := f.delayed[order.Fence]
	f.mu.Unlock()
	time.Sleep(wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.status[u.ID]
	if f.checksFencing && order.Fence < s.Fence {
		return failure.New(failure.StaleFencingToken, failure.NotRun, "stale")
	}
	s.Fence = max(s.Fence, order.Fence)
	f.orders = append(f.orders, order)
	if s.Version == order.Version || s.LoadingVersion == order.Version {
		return nil
	}
	if s.LoadingVersion == 0 {
		f.loading++
		f.maxLoading = max(f.maxLoading, f.loading)
	}
	s.LoadingVersion = order.Version
	time.AfterFunc(loadTime, func() { f.loaded(u.ID, order.Version) })
	return nil
}

func (f *fakePool) loaded(id string, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.status[id]
	if s.LoadingVersion != version {
		return
	}
	s.LoadingVersion = 0
	f.loading--
	if f.failures[id] > 0 {
		f.failures[id]--
		s.FailedVersion = version
		return
	}
	s.Version = version
	s.FailedVersion = 0
}

func (f *fakePool) versions() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := make([]uint64, 0, len(f.status))
	for _, s := range f.status {
		versions = append(versions, s.Version)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

type fakeStore struct {
	mu     sync.Mutex
	newest uint64
}

func (f *fakeStore) Latest(context.Context, string) (platform.WeightVersion, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return platform.WeightVersion{Version: f.newest}, nil
}

func (f *fakeStore) Publish(_ context.Context, v platform.WeightVersion) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = v.Version
	return nil
}

type noPeers struct{}

func (noPeers) Publish(peer.Topic, string, []byte, time.Duration) {}
func (noPeers) Entries(peer.Topic) []peer.Entry                   { return nil }

type fakeLease struct {
	mu    sync.Mutex
	held  bool
	fence uint64
}

func (f *fakeLease) Held(shard string) (lease.Grant, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lease.Grant{Shard: shard, Fence: f.fence, Until: time.Now().Add(time.Second)}, f.held
}

func (f *fakeLease) set(held bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = held
}

type fakeSource struct{ doc *deployment.Document }

func (f fakeSource) Current() *deployment.Document { return f.doc }
func (f fakeSource) Changed() <-chan struct{}      { return nil }

// startHost runs a watcher and a controller until the test ends.
func startHost(t *testing.T, cfg deployment.EnginePool, pool *fakePool, store *fakeStore, leases lease.Holder) {
	t.Helper()
	cfg.Name = "pool"
	source := fakeSource{&deployment.Document{EnginePools: map[string]deployment.EnginePool{"pool": cfg}}}
	w := NewWatcher(logr.Discard(), source, store, noPeers{}, leases)
	c := &Controller{
		log: logr.Discard(), source: source, members: pool, engines: pool, leases: leases, watcher: w,
		timing: settings.DefaultTiming(), metricSet: metrics.NewSet(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var duties sync.WaitGroup
	duties.Go(func() { _ = w.Run(ctx) })
	duties.Go(func() { reconcileWhileHeld(ctx, c, leases) })
	t.Cleanup(func() { cancel(); duties.Wait() })
}

// reconcileWhileHeld replaces the controller.Manager.
func reconcileWhileHeld(ctx context.Context, c *Controller, leases lease.Holder) {
	var p *poolReconciler
	for ctx.Err() == nil {
		wait := pendingInterval
		grant, held := leases.Held(lease.WeightsShard("pool"))
		switch {
		case !held:
			p = nil
		case p == nil:
			p = c.newReconciler("pool")
		}
		if p != nil {
			result, _ := p.Reconcile(ctx, grant)
			wait = result.RequeueAfter
		}
		time.Sleep(wait)
	}
}

func wantVersions(t *testing.T, pool *fakePool, want ...uint64) {
	t.Helper()
	if got := pool.versions(); !slices.Equal(got, want) {
		t.Errorf("versions on the replicas are %v, want %v", got, want)
	}
}

func TestRolloutRespectsMaxSwapping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, store := newFakePool(12, 1, true), &fakeStore{newest: 2}
		startHost(t, deployment.EnginePool{MaxConcurrentLoads: 3, ChecksFencing: true}, pool, store, &fakeLease{held: true, fence: 1})
		time.Sleep(5 * time.Second)
		wantVersions(t, pool, 2)
		if pool.maxLoading != 3 {
			t.Errorf("%d replicas loaded at once, want 3", pool.maxLoading)
		}
	})
}

func TestFailedLoadIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, store := newFakePool(4, 1, true), &fakeStore{newest: 2}
		pool.failures["e001"] = 2
		startHost(t, deployment.EnginePool{MaxConcurrentLoads: 4, ChecksFencing: true}, pool, store, &fakeLease{held: true, fence: 1})
		time.Sleep(8 * time.Second)
		wantVersions(t, pool, 2)
	})
}

func TestHostWithoutLeaseSendsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, store := newFakePool(2, 1, true), &fakeStore{newest: 2}
		startHost(t, deployment.EnginePool{MaxConcurrentLoads: 2, ChecksFencing: true}, pool, store, &fakeLease{})
		time.Sleep(5 * time.Second)
		wantVersions(t, pool, 1)
	})
}

// A holder that has not learned of the newest version must not downgrade a replica that runs it.
func TestHolderWithStaleVersionDoesNotDowngrade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, store := newFakePool(3, 1, true), &fakeStore{newest: 1}
		pool.status["e000"].Version = 2
		startHost(t, deployment.EnginePool{MaxConcurrentLoads: 2, ChecksFencing: true}, pool, store, &fakeLease{held: true, fence: 2})
		time.Sleep(5 * time.Second)
		wantVersions(t, pool, 2)
	})
}

// The document can pin a version that is older than the one that runs.
func TestPinnedVersionDowngrades(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, store := newFakePool(3, 5, true), &fakeStore{newest: 5}
		startHost(t, deployment.EnginePool{MaxConcurrentLoads: 3, ChecksFencing: true, Version: 4}, pool, store, &fakeLease{held: true, fence: 2})
		time.Sleep(5 * time.Second)
		wantVersions(t, pool, 4)
	})
}

// Two successive holders pin different versions, and the first one's orders arrive
// late on engines that ignore fencing tokens. The engines must end up with the
// version of the second holder.
func TestLateOrderOnEnginesThatIgnoreFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, store := newFakePool(3, 1, false), &fakeStore{newest: 3}
		pool.delayed[1] = 12 * time.Second
		old := &fakeLease{held: true, fence: 1}
		startHost(t, deployment.EnginePool{MaxConcurrentLoads: 3, Version: 2}, pool, store, old)
		time.Sleep(time.Second)
		old.set(false)
		startHost(t, deployment.EnginePool{MaxConcurrentLoads: 3, Version: 3}, pool, store, &fakeLease{held: true, fence: 2})
		time.Sleep(5 * time.Second)
		wantVersions(t, pool, 1)
		time.Sleep(6 * time.Second)
		wantVersions(t, pool, 3)
		time.Sleep(10 * time.Second)
		wantVersions(t, pool, 3)
	})
}

// After a takeover all engines that check the fencing token must get the new one,
// even if they need no load. Otherwise they would accept a late order of the
// previous holder.
func TestTakeoverRaisesFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, store := newFakePool(3, 2, true), &fakeStore{newest: 2}
		startHost(t, deployment.EnginePool{MaxConcurrentLoads: 1, ChecksFencing: true}, pool, store, &fakeLease{held: true, fence: 7})
		time.Sleep(2 * time.Second)
		pool.mu.Lock()
		defer pool.mu.Unlock()
		for id, s := range pool.status {
			if s.Fence != 7 {
				t.Errorf("engine %s has seen fence %d, want 7", id, s.Fence)
			}
		}
	})
}

// The lease may expire while the status of the engines is read. No order may be sent after that.
func TestLeaseThatExpiresWithinARun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, store := newFakePool(3, 1, true), &fakeStore{newest: 2}
		pool.statusTime = time.Second
		leases := &fakeLease{held: true, fence: 1}
		startHost(t, deployment.EnginePool{MaxConcurrentLoads: 3, ChecksFencing: true}, pool, store, leases)
		time.Sleep(500 * time.Millisecond)
		leases.set(false)
		time.Sleep(5 * time.Second)
		wantVersions(t, pool, 1)
	})
}

func TestFrozenEngineDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, store := newFakePool(60, 1, true), &fakeStore{newest: 2}
		pool.frozen = "e007"
		startHost(t, deployment.EnginePool{MaxConcurrentLoads: 6, ChecksFencing: true}, pool, store, &fakeLease{held: true, fence: 1})
		time.Sleep(7 * time.Second)
		pool.mu.Lock()
		defer pool.mu.Unlock()
		old := 0
		for _, s := range pool.status {
			if s.Version != 2 {
				old++
			}
		}
		if old != 1 {
			t.Errorf("%d engines run the old version after 7s, want the frozen one", old)
		}
	})
}
