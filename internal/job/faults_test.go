package job

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// fault is a fault that is injected while a job runs.
type fault struct {
	name   string
	inject func(c *cluster, owner *host)
}

// outageDuration is how long the store is unreachable or an engine sends no events.
const outageDuration = 2 * time.Second

// faults returns all faults that the tests inject.
func faults() []fault {
	all := func(c *cluster, do func(h *host)) {
		for _, h := range c.hosts {
			if !h.killed.Load() {
				do(h)
			}
		}
	}
	return []fault{
		{"the owner is killed", func(_ *cluster, owner *host) { owner.kill() }},
		{"the owner is killed and comes back", func(c *cluster, owner *host) {
			owner.kill()
			c.startHost(owner.id)
		}},
		{"all hosts lose power", func(c *cluster, _ *host) {
			all(c, func(h *host) { h.kill() })
			for _, id := range []string{"a", "b", "c"} {
				c.startHost(id)
			}
		}},
		{"the owner loses the store", func(_ *cluster, owner *host) {
			owner.rows.SetDown(true)
			time.AfterFunc(outageDuration, func() { owner.rows.SetDown(owner.killed.Load()) })
		}},
		{"the store is down", func(c *cluster, _ *host) {
			all(c, func(h *host) {
				h.rows.SetDown(true)
				time.AfterFunc(outageDuration, func() { h.rows.SetDown(h.killed.Load()) })
			})
		}},
		{"responses of the store are lost", func(c *cluster, _ *host) { all(c, func(h *host) { h.rows.LoseAnswers(3) }) }},
		{"writes are delayed", func(c *cluster, _ *host) { all(c, func(h *host) { h.rows.DelayWrites(2, time.Second) }) }},
		{"the store drops its history", func(c *cluster, _ *host) { c.rows.DropHistory() }},
		{"the owner stops", func(_ *cluster, owner *host) {
			owner.heartbeat.SetDraining()
			owner.manager.Drain(context.Background(), 200*time.Millisecond)
		}},
		{"an engine sends no events", func(c *cluster, _ *host) {
			c.engines.update(func(e *fakeEngines) { e.silent["e1"] = true })
			time.AfterFunc(outageDuration, func() { c.engines.update(func(e *fakeEngines) { e.silent["e1"] = false }) })
		}},
		{"an engine refuses", func(c *cluster, _ *host) { c.engines.update(func(e *fakeEngines) { e.refuse["e2"] = 5 }) }},
		{"an engine loads a new version", func(c *cluster, _ *host) { c.engines.update(func(e *fakeEngines) { e.version["e3"]++ }) }},
	}
}

func (e *fakeEngines) update(change func(e *fakeEngines)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// checkPositionsStable reads a job at all hosts until ctx ends and checks that the
// result at a position never changes once a host has returned it.
func (c *cluster) checkPositionsStable(ctx context.Context, id string) {
	var shown []Result
	for ctx.Err() == nil {
		for _, h := range c.liveHosts() {
			page, err := h.manager.Results(ctx, id, 0, 0)
			if err != nil {
				continue
			}
			both := min(len(shown), len(page.Results))
			if diff := cmp.Diff(shown[:both], page.Results[:both], cmpopts.EquateEmpty()); diff != "" {
				c.t.Errorf("host %s returned results that differ from earlier ones: %s", h.id, diff)
				return
			}
			if len(page.Results) > both {
				shown = page.Results
			}
		}
		time.Sleep(70 * time.Millisecond)
	}
}

func (c *cluster) liveHosts() []*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []*host
	for _, h := range c.hosts {
		if !h.killed.Load() {
			live = append(live, h)
		}
	}
	return live
}

// runWithFaults runs a job and injects faults; after holds the delay before each.
func runWithFaults(t *testing.T, after []time.Duration, injected []fault) {
	withCluster(t, func(c *cluster) {
		c.engines.length = 30
		s, _, _ := c.startWithJob(6, "a", "a", "b", "c")
		ctx, cancel := context.WithCancel(context.Background())
		var reader sync.WaitGroup
		reader.Go(func() { c.checkPositionsStable(ctx, s.ID) })
		for i, f := range injected {
			time.Sleep(after[i])
			if owner, _ := c.ownerAndOther(s.ID); owner != nil {
				f.inject(c, owner)
			}
		}
		// The last fault ends after the outage; then the job needs time for a takeover and a run.
		time.Sleep(outageDuration + time.Second)
		defer reader.Wait()
		defer cancel()
		if alive := c.liveHosts(); len(alive) > 0 {
			c.waitForResults(alive[0], s, 10*time.Second)
		}
	})
}

func TestFaultsAtEveryMomentOfAJob(t *testing.T) {
	t.Parallel()
	for _, b := range faults() {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			for at := time.Duration(0); at <= 2400*time.Millisecond; at += 150 * time.Millisecond {
				t.Run(fmt.Sprint(at), func(t *testing.T) { runWithFaults(t, []time.Duration{at}, []fault{b}) })
			}
		})
	}
}

func TestPairsOfFaults(t *testing.T) {
	t.Parallel()
	for _, first := range faults() {
		for _, second := range faults() {
			t.Run(first.name+", "+second.name, func(t *testing.T) {
				t.Parallel()
				for _, apart := range []time.Duration{0, 700 * time.Millisecond} {
					t.Run(fmt.Sprint(apart), func(t *testing.T) {
						runWithFaults(t, []time.Duration{500 * time.Millisecond, apart}, []fault{first, second})
					})
				}
			})
		}
	}
}
