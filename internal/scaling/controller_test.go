package scaling

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/job"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
	"github.com/sapphirehatch/sapphirehatch/internal/routes"
	"github.com/sapphirehatch/sapphirehatch/internal/rowlease"
)

// testLease is held under a fencing token, or not if that is zero.
type testLease struct {
	mu    sync.Mutex
	fence uint64
}

func (l *testLease) Grant() (rowlease.Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return rowlease.Grant{Host: "a", Fence: l.fence, Until: pause.DeadlineAfter(time.Second)}, l.fence > 0
}

func (l *testLease) set(fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = fence
}

func (l *testLease) Yield(fence uint64, _ time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == fence {
		l.fence = 0
	}
}

// testOrders records orders, and answers them with err.
type testOrders struct {
	mu     sync.Mutex
	err    error
	orders []Order
	fences []uint64
	// stored is called for each order.
	stored func(Order)
}

func (o *testOrders) Scale(_ context.Context, grant rowlease.Grant, order Order) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders, o.fences = append(o.orders, order), append(o.fences, grant.Fence)
	if o.stored != nil {
		o.stored(order)
	}
	return o.err
}

func (o *testOrders) take() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.orders
	o.orders, o.fences = nil, nil
	return taken
}

// testHost is a controller with its surroundings.
type testHost struct {
	lease  *testLease
	orders *testOrders
	rows   *platformtest.RowsClient
	// rollouts is the number of slots that rollouts want, and inputAge the age of all inputs.
	rollouts int
	inputAge time.Duration
	*Controller
}

func newTestHost(rows *platformtest.Rows, prices map[string]float64) *testHost {
	h := &testHost{lease: &testLease{}, orders: &testOrders{}, rows: rows.Client()}
	table := routes.New(1, []routes.Route{{Name: "jobs", Kind: routes.Rollouts, Shares: []routes.Share{{Service: "llm", Weight: 1}}}}, []routes.Service{
		{Name: "llm", Slots: 6, Models: []string{"m"}, Scaling: &routes.Scaling{Min: 1, Max: 26, BootTime: 4 * time.Second, SpotPrice: 0.18, Prices: prices}},
		{Name: "fixed"},
	}, routes.Limits{})
	// Two replicas run in each failure domain, and one more takes no requests.
	replicas := make([]fleet.Replica, 7)
	for i := range replicas {
		replicas[i] = fleet.Replica{ID: fmt.Sprint(i), Service: "llm", Domain: []string{"a", "b", "c"}[i%3], Slots: 6, Draining: i == 6}
	}
	began := time.Now()
	asOf := func() time.Time { return time.Now().Add(-h.inputAge) }
	h.Controller = NewController(Config{
		Lease: h.lease, Rows: h.rows, Orderer: h.orders, Routes: func() *routes.Table { return table },
		Replicas: func(string) []fleet.Replica { return replicas }, ReplicasAt: asOf,
		Jobs: func() ([]job.OpenJob, time.Time) {
			return []job.OpenJob{{ID: "j", Model: "m", Unlisted: rolloutsPerSlot * h.rollouts}, {ID: "k", Model: "other", Unlisted: 1000}}, asOf()
		},
		Requests: func() map[string]int { return map[string]int{"llm": 10, "fixed": 1000} },
		Domains:  func() []string { return []string{"a"} }, Log: logr.Discard(),
		StoreClock: func() (time.Duration, time.Time) { return time.Hour + time.Since(began), time.Now() },
	})
	return h
}

// plan makes one plan and waits until its orders have ended.
func (h *testHost) plan(t *testing.T) {
	h.step(t.Context())
	synctest.Wait()
}

var threeDomains = map[string]float64{"a": 1, "b": 1, "c": 1}

// Guards against orders of a host that may not give them.
func TestNoOrdersWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(platformtest.NewRows(), threeDomains)
		h.rollouts = 110
		h.plan(t)
		if orders := h.orders.take(); len(orders) > 0 {
			t.Errorf("orders without the lease: %+v", orders)
		}
		h.lease.set(7)
		h.plan(t)
		// 120 want a slot: 20 replicas, 24 with headroom, 8 in each failure domain, and 4 spot
		// ones in each for the loss of one.
		want := map[Order]bool{}
		for domain := range threeDomains {
			want[Order{Service: "llm", Domain: domain, Replicas: 8}] = true
			want[Order{Service: "llm", Domain: domain, Replicas: 4, Spot: true}] = true
		}
		orders := h.orders.take()
		for _, o := range orders {
			if !want[o] {
				t.Errorf("order %+v", o)
			}
		}
		if len(orders) != len(want) {
			t.Errorf("%d orders, want %d", len(orders), len(want))
		}
		h.plan(t)
		if orders := h.orders.take(); len(orders) > 0 {
			t.Errorf("needless orders: %+v", orders)
		}
	})
}

// Guards against an order that a new holder does not know of.
func TestStateIsStoredBeforeAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		h := newTestHost(rows, threeDomains)
		h.rollouts = 110
		h.lease.set(1)
		h.orders.err = failure.New(failure.UpstreamFailed, failure.Unknown, "no reply")
		h.orders.stored = func(Order) {
			if rows.Row(platform.RowID{Table: Table, Part: stateKey, Key: stateKey}).Version == 0 {
				t.Error("an order was sent before the state was stored")
			}
		}
		h.plan(t)
		sent := h.orders.take()
		if len(sent) != 6 {
			t.Fatalf("%d orders, want 6", len(sent))
		}
		// The holder dies without an answer, and another one continues.
		next := newTestHost(rows, threeDomains)
		next.rollouts = 0
		next.lease.set(2)
		next.plan(t)
		again := map[Order]bool{}
		for _, fence := range next.orders.fences {
			if fence != 2 {
				t.Errorf("an order was sent under token %d, want 2", fence)
			}
		}
		for _, o := range next.orders.take() {
			again[o] = true
		}
		for _, o := range sent {
			if !again[o] {
				t.Errorf("the new holder did not repeat %+v", o)
			}
		}
	})
}

// Guards against orders from knowledge that is out of date, and from a state that could not
// be stored.
func TestNoOrdersWithoutCurrentInputs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(platformtest.NewRows(), threeDomains)
		h.rollouts = 110
		h.lease.set(1)
		h.inputAge = maxInputAge + time.Second
		h.plan(t)
		if orders := h.orders.take(); len(orders) > 0 {
			t.Errorf("orders from old inputs: %+v", orders)
		}
		h.inputAge = 0
		h.rows.SetDown(true)
		h.plan(t)
		if orders := h.orders.take(); len(orders) > 0 {
			t.Errorf("orders without the store: %+v", orders)
		}
		h.rows.SetDown(false)
		h.plan(t)
		if orders := h.orders.take(); len(orders) != 6 {
			t.Errorf("%d orders once the store is back, want 6", len(orders))
		}
		h.rollouts = 300
		h.rows.SetDown(true)
		h.plan(t)
		if orders := h.orders.take(); len(orders) > 0 {
			t.Errorf("orders that could not be stored: %+v", orders)
		}
		h.rows.SetDown(false)
		time.Sleep(retryWait)
		h.plan(t)
		if orders := h.orders.take(); len(orders) == 0 {
			t.Error("no orders once the store is back")
		}
	})
}

// Guards against a holder that goes on with its own state after another one has written.
func TestStateOfAnotherHolderIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		first, second := newTestHost(rows, threeDomains), newTestHost(rows, threeDomains)
		first.lease.set(1)
		first.plan(t)
		second.lease.set(2)
		second.rollouts = 110
		second.plan(t)
		ordered := len(second.orders.take())
		if ordered == 0 {
			t.Fatal("no orders of the second holder")
		}
		// The first one still believes to hold the lease. Its write fails.
		first.rollouts = 300
		first.plan(t)
		if orders := first.orders.take(); len(orders) > 0 {
			t.Errorf("the former holder ordered %+v", orders)
		}
		first.plan(t)
		if regular, _ := first.wanted(); regular != 24 {
			t.Errorf("the former holder wants %d regular replicas, want the 24 of the second", regular)
		}
	})
}

// Guards against orders in a failure domain with a mistyped name.
func TestUnknownFailureDomainGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(platformtest.NewRows(), map[string]float64{"a": 1, "b": 1, "typo": 0.1})
		h.rollouts = 110
		h.lease.set(1)
		h.plan(t)
		orders := h.orders.take()
		if len(orders) == 0 {
			t.Error("no orders")
		}
		for _, o := range orders {
			if o.Domain == "typo" {
				t.Errorf("order %+v", o)
			}
		}
	})
}

// Guards against giving back replicas that are not registered yet when hosts and replicas
// start together: an order of Min by the first few sets the number of the whole pool.
func TestReplicasThatRegisterLateAreAdopted(t *testing.T) {
	limits := &routes.Scaling{Min: 1, Max: 26, BootTime: 4 * time.Second, SpotPrice: 0.18, Prices: threeDomains}
	s := State{AdoptUntil: 10 * time.Second}
	seen := Observation{Slots: 6, Pools: map[Pool]Count{}}
	for now := time.Second; now < 40*time.Second; now += 250 * time.Millisecond {
		if now > 3*time.Second {
			seen.Pools = map[Pool]Count{{Domain: "a"}: {Ready: 13}, {Domain: "b"}: {Ready: 13}, {Domain: "c"}: {Ready: 12}}
		}
		if d := s.Plan(now, limits, seen); len(d.Orders) > 0 {
			t.Fatalf("at %v orders %+v without any demand", now, d.Orders)
		}
	}
	if regular, spot := s.Wanted(); regular != 38 || spot != 0 {
		t.Errorf("wants %d regular and %d spot replicas, want the 38 that run", regular, spot)
	}
}

// Guards against orders for each rollout of a burst: the loads of a new weight version at
// twice as many engines delay steps by more than the wait for a slot.
func TestRolloutsShareSlots(t *testing.T) {
	for rollouts, want := range map[int]int{0: 0, 1: 1, 3: 1, 4: 2, 365: 122} {
		if got := slotsFor(rollouts); got != want {
			t.Errorf("%d rollouts want %d slots, want %d", rollouts, got, want)
		}
	}
}

// Guards against calls above the rate of the control API.
func TestOrdersOfAPlanAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prices := map[string]float64{}
		for i := range 20 {
			prices[fmt.Sprintf("d%02d", i)] = 1
		}
		h := newTestHost(platformtest.NewRows(), prices)
		for domain := range prices {
			h.known[domain] = true
		}
		h.rollouts = 2000
		h.lease.set(1)
		h.plan(t)
		if n := len(h.orders.take()); n != maxOrdersPerPlan {
			t.Errorf("%d orders of one plan, want %d", n, maxOrdersPerPlan)
		}
	})
}

// Guards against a holder that keeps the lease although only its own link to the control
// API is cut, and against one that gives it up while the control API answers.
func TestHolderWithoutAnswersYieldsTheLease(t *testing.T) {
	unreachable := failure.New(failure.UpstreamUnreachable, failure.NotRun, "no route")
	for _, test := range []struct {
		name string
		err  error
		held bool
	}{
		{"unreachable", unreachable, false},
		{"silent", failure.New(failure.UpstreamFailed, failure.Unknown, "no reply"), false},
		{"called too often", failure.New(failure.QuotaExceeded, failure.NotRun, "429"), true},
		{"none available", failure.New(failure.CapacityUnavailable, failure.NotRun, "409"), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newTestHost(platformtest.NewRows(), threeDomains)
				h.rollouts = 110
				h.lease.set(1)
				h.orders.err = test.err
				for range int(3 * maxSilence / planInterval) {
					h.plan(t)
					time.Sleep(planInterval)
				}
				if _, held := h.lease.Grant(); held != test.held {
					t.Errorf("the lease is held: %t, want %t", held, test.held)
				}
			})
		})
	}
}
