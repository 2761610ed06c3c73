package job

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"
)

func TestScoringLimit(t *testing.T) {
	for _, test := range []struct{ slots, owners, want int }{
		{slots: 0, owners: 1, want: 10},
		{slots: 18, owners: 1, want: 10},
		{slots: 24, owners: 2, want: 10},
		{slots: 84, owners: 1, want: 42},
		{slots: 108, owners: 2, want: 27},
		{slots: 108, owners: 84, want: 10},
		{slots: 108, owners: 0, want: 54},
	} {
		if got := ScoringLimit(test.slots, test.owners); got != test.want {
			t.Errorf("%d slots, %d owners: %d, want %d", test.slots, test.owners, got, test.want)
		}
	}
}

// A burst of complete texts must not wait for seconds for its scoring calls while the
// service has free slots. The replay has the load of a host that owns two jobs: 320
// rollouts that end within 4 s, calls of 0.2 s, and a service of 18 replicas with 6 slots.
func TestScoringKeepsUpWithBursts(t *testing.T) {
	const (
		rollouts = 320
		interval = 4 * time.Second
		call     = 200 * time.Millisecond
	)
	limit := ScoringLimit(18*6, 2)
	free := make([]time.Duration, limit)
	longest := time.Duration(0)
	for i := range rollouts {
		ready := interval * time.Duration(i) / rollouts
		first := slices.Index(free, slices.Min(free))
		start := max(ready, free[first])
		free[first] = start + call
		longest = max(longest, start-ready)
	}
	if longest > call {
		t.Errorf("a text waits %v for its scoring call, want at most the %v of one call", longest, call)
	}
}

// Calls of a job with an earlier deadline must not wait behind those of a later job, and a
// cancelled call must not keep its place.
func TestScoringGateOrder(t *testing.T) {
	g := &scoringGate{limit: 1}
	if !g.acquire(t.Context(), 5) {
		t.Fatal("a free gate refused a call")
	}
	var mu sync.Mutex
	var order []int64
	var calls sync.WaitGroup
	for i, accepted := range []int64{30, 10, 20, 10} {
		calls.Go(func() {
			if g.acquire(context.Background(), accepted) {
				mu.Lock()
				order = append(order, accepted)
				mu.Unlock()
				g.release()
			}
		})
		waitFor(t, func() bool { g.mu.Lock(); defer g.mu.Unlock(); return len(g.waiting) == i+1 })
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if g.acquire(cancelled, 1) {
		t.Error("a cancelled call was let through")
	}
	g.release()
	calls.Wait()
	if !slices.Equal(order, []int64{10, 10, 20, 30}) {
		t.Errorf("order is %v", order)
	}
	if g.inUse != 0 || len(g.waiting) != 0 {
		t.Errorf("%d calls in use and %d waiting at the end", g.inUse, len(g.waiting))
	}
}

// A limit that grows must let waiting calls proceed at once.
func TestScoringGateGrows(t *testing.T) {
	g := &scoringGate{}
	done := make(chan bool)
	go func() { done <- g.acquire(context.Background(), 1) }()
	waitFor(t, func() bool { g.mu.Lock(); defer g.mu.Unlock(); return len(g.waiting) == 1 })
	g.setLimit(1)
	if !<-done {
		t.Error("the call was not let through")
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition does not hold after 5 s")
		}
	}
}
