package swap

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
	"github.com/sapphirehatch/sapphirehatch/internal/rowlease"
	"github.com/sapphirehatch/sapphirehatch/internal/rowlease/rowleasetest"
)

// fakeEngine is the state of an engine that carries out orders.
type fakeEngine struct {
	orders  uint64
	busy    bool
	version uint64
	fence   uint64
}

// fakeEngines is an EngineClient whose orders may get no reply and be carried out late.
type fakeEngines struct {
	mu      sync.Mutex
	fleet   *fleet.Fleet
	engines map[string]*fakeEngine
	// late is the number of coming orders that get no reply. They arrive at the
	// engine after lateAfter.
	late      int
	lateAfter time.Duration
	// orders and reports count the calls.
	orders  int
	reports int
	// downgrades counts the accepted orders for an older version.
	downgrades int
	pending    sync.WaitGroup
}

// loadTime is how long a fake engine loads.
const loadTime = 900 * time.Millisecond

func (f *fakeEngines) Order(_ context.Context, target fleet.Replica, c LoadOrder) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders++
	if f.late > 0 {
		f.late--
		f.pending.Go(func() {
			time.Sleep(f.lateAfter)
			f.mu.Lock()
			defer f.mu.Unlock()
			_, _ = f.start(target.ID, c)
		})
		return false, failure.New(failure.UpstreamFailed, failure.Unknown, "no answer")
	}
	return f.start(target.ID, c)
}

// start begins to carry out an order, or refuses it. The caller holds mu.
func (f *fakeEngines) start(id string, c LoadOrder) (bool, error) {
	e := f.engines[id]
	switch {
	case c.Fence < e.fence:
		return false, failure.New(failure.StaleFencingToken, failure.NotRun, "stale")
	case e.busy || c.Orders != e.orders:
		return false, failure.New(failure.Conflict, failure.NotRun, "conflict")
	case e.version == c.Version:
		return false, nil
	}
	if c.Version < e.version {
		f.downgrades++
	}
	e.fence, e.busy = c.Fence, true
	e.orders++
	f.pending.Go(func() {
		time.Sleep(loadTime)
		f.mu.Lock()
		e.busy, e.version = false, c.Version
		f.mu.Unlock()
		f.fleet.ObserveVersion(id, c.Model, c.Version)
	})
	return true, nil
}

func (f *fakeEngines) Report(_ context.Context, target fleet.Replica) (EngineReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
	e := f.engines[target.ID]
	return EngineReport{Orders: e.orders, Busy: e.busy, Versions: map[string]uint64{"m": e.version}}, nil
}

type alwaysRetain struct{}

func (alwaysRetain) SwapMode(string) Mode   { return ModeRetain }
func (alwaysRetain) HasService(string) bool { return true }

// withController runs a test with a controller that holds the lease and four engines.
func withController(t *testing.T, test func(c *Controller, f *fakeEngines)) {
	synctest.Test(t, func(*testing.T) {
		all := fleet.New(logr.Discard())
		f := &fakeEngines{fleet: all, engines: map[string]*fakeEngine{}}
		for _, id := range []string{"a", "b", "c", "d"} {
			f.engines[id] = &fakeEngine{version: 1}
			all.Put(fleet.Replica{ID: id, Service: "s", Address: id, Models: map[string]uint64{"m": 1}})
		}
		host := rowleasetest.Start(platformtest.NewRows(), rowlease.Weights, "0", "a")
		c := NewController("0", host.Elector, all, f, alwaysRetain{}, 2, nil, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Go(func() { _ = c.Run(ctx) })
		time.Sleep(2 * time.Second)
		test(c, f)
		cancel()
		done.Wait()
		host.Stop()
		f.pending.Wait()
	})
}

// allServe reports whether all engines serve a version.
func (f *fakeEngines) allServe(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if e.version != version {
			return false
		}
	}
	return true
}

func TestEnginesLoadTargetVersion(t *testing.T) {
	withController(t, func(c *Controller, f *fakeEngines) {
		c.SetTargetVersion("m", 2)
		time.Sleep(3 * time.Second)
		if !f.allServe(2) || f.orders != 4 {
			t.Errorf("after %d orders the engines are %v", f.orders, f.engines)
		}
		c.SetTargetVersion("m", 1)
		time.Sleep(2 * time.Second)
		if f.orders != 4 {
			t.Error("an older version was ordered")
		}
	})
}

func TestLateOrderDoesNotDowngradeEngine(t *testing.T) {
	withController(t, func(c *Controller, f *fakeEngines) {
		f.late, f.lateAfter = 2, 5*time.Second
		c.SetTargetVersion("m", 2)
		time.Sleep(2 * time.Second)
		c.SetTargetVersion("m", 3)
		time.Sleep(12 * time.Second)
		if !f.allServe(3) || f.downgrades != 0 {
			t.Errorf("the engines are %v, %d orders were downgrades", f.engines, f.downgrades)
		}
	})
}

func TestSkipsVersionsThatAreSuperseded(t *testing.T) {
	withController(t, func(c *Controller, f *fakeEngines) {
		for version := uint64(2); version <= 6; version++ {
			c.SetTargetVersion("m", version)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		if !f.allServe(6) || f.orders > 8 {
			t.Errorf("after %d orders the engines are %v", f.orders, f.engines)
		}
	})
}

func TestRestartedEngineGetsNewOrder(t *testing.T) {
	withController(t, func(c *Controller, f *fakeEngines) {
		c.SetTargetVersion("m", 2)
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.engines["a"] = &fakeEngine{version: 1}
		f.mu.Unlock()
		f.fleet.Put(fleet.Replica{ID: "a", Service: "s", Address: "a", Incarnation: 7, Models: map[string]uint64{"m": 1}})
		time.Sleep(3 * time.Second)
		if !f.allServe(2) {
			t.Errorf("the engines are %v", f.engines)
		}
	})
}
