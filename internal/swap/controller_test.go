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
)

// fakeEngine carries out orders as engines do.
type fakeEngine struct {
	orders  uint64
	busy    bool
	version uint64
	fence   uint64
}

// fakeEngines are engines whose answers may be lost and whose orders may be late.
type fakeEngines struct {
	mu      sync.Mutex
	fleet   *fleet.Fleet
	engines map[string]*fakeEngine
	// late orders get no answer and are carried out after lateAfter, if the number of orders then fits.
	late      int
	lateAfter time.Duration
	given     int
	reports   int
	// wrong counts orders that put an engine back.
	wrong   int
	pending sync.WaitGroup
}

const loadTime = 900 * time.Millisecond

func (f *fakeEngines) Order(_ context.Context, target fleet.Replica, c LoadOrder) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.given++
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

// start begins to carry an order out. The caller holds mu.
func (f *fakeEngines) start(id string, c LoadOrder) (bool, error) {
	e := f.engines[id]
	switch {
	case c.Fence < e.fence:
		return false, failure.New(failure.StaleFence, failure.NotRun, "stale")
	case e.busy || c.Orders != e.orders:
		return false, failure.New(failure.Conflict, failure.NotRun, "conflict")
	case e.version == c.Version:
		return false, nil
	}
	if c.Version < e.version {
		f.wrong++
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

type retain struct{}

func (retain) SwapMode(string) Mode { return ModeRetain }

// inSwap runs a controller that holds the lease over four engines.
func inSwap(t *testing.T, test func(c *Controller, f *fakeEngines)) {
	synctest.Test(t, func(*testing.T) {
		all := fleet.New(logr.Discard())
		f := &fakeEngines{fleet: all, engines: map[string]*fakeEngine{}}
		for _, id := range []string{"a", "b", "c", "d"} {
			f.engines[id] = &fakeEngine{version: 1}
			all.Put(fleet.Replica{ID: id, Service: "s", Address: id, Models: map[string]uint64{"m": 1}})
		}
		host := compete(platformtest.NewRows(), "0", "a")
		c := NewController("0", host.lease, all, f, retain{}, 2, nil, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Go(func() { _ = c.Run(ctx) })
		time.Sleep(2 * time.Second)
		test(c, f)
		cancel()
		done.Wait()
		host.stop()
		f.pending.Wait()
	})
}

// all reports whether all engines use a version.
func (f *fakeEngines) all(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if e.version != version {
			return false
		}
	}
	return true
}

func TestEnginesGetTheNamedVersion(t *testing.T) {
	inSwap(t, func(c *Controller, f *fakeEngines) {
		c.SetTargetVersion("m", 2)
		time.Sleep(3 * time.Second)
		if !f.all(2) || f.given != 4 {
			t.Errorf("after %d orders the engines are %v", f.given, f.engines)
		}
		c.SetTargetVersion("m", 1)
		time.Sleep(2 * time.Second)
		if f.given != 4 {
			t.Error("an older version was ordered")
		}
	})
}

func TestOrderThatIsCarriedOutLate(t *testing.T) {
	inSwap(t, func(c *Controller, f *fakeEngines) {
		f.late, f.lateAfter = 2, 5*time.Second
		c.SetTargetVersion("m", 2)
		time.Sleep(2 * time.Second)
		c.SetTargetVersion("m", 3)
		time.Sleep(12 * time.Second)
		if !f.all(3) || f.wrong != 0 {
			t.Errorf("the engines are %v, %d orders put one back", f.engines, f.wrong)
		}
	})
}

func TestVersionsOvertake(t *testing.T) {
	inSwap(t, func(c *Controller, f *fakeEngines) {
		for version := uint64(2); version <= 6; version++ {
			c.SetTargetVersion("m", version)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		if !f.all(6) || f.given > 8 {
			t.Errorf("after %d orders the engines are %v", f.given, f.engines)
		}
	})
}

func TestRestartedEngineIsOrderedAnew(t *testing.T) {
	inSwap(t, func(c *Controller, f *fakeEngines) {
		c.SetTargetVersion("m", 2)
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.engines["a"] = &fakeEngine{version: 1}
		f.mu.Unlock()
		f.fleet.Put(fleet.Replica{ID: "a", Service: "s", Address: "a", Incarnation: 7, Models: map[string]uint64{"m": 1}})
		time.Sleep(3 * time.Second)
		if !f.all(2) {
			t.Errorf("the engines are %v", f.engines)
		}
	})
}
