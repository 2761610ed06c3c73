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

// blow is a fault that strikes a deployment while the owner of a job runs it.
type blow struct {
	name   string
	strike func(w *world, owner *host)
}

// outage is how long a store is out of reach, and an engine silent.
const outage = 2 * time.Second

func blows() []blow {
	all := func(w *world, do func(h *host)) {
		for _, h := range w.hosts {
			if !h.killed.Load() {
				do(h)
			}
		}
	}
	return []blow{
		{"the owner is killed", func(_ *world, owner *host) { owner.kill() }},
		{"the owner is killed and comes back", func(w *world, owner *host) {
			owner.kill()
			w.boot(owner.id)
		}},
		{"all lose power", func(w *world, _ *host) {
			all(w, func(h *host) { h.kill() })
			for _, id := range []string{"a", "b", "c"} {
				w.boot(id)
			}
		}},
		{"the owner loses the store", func(_ *world, owner *host) {
			owner.rows.SetDown(true)
			time.AfterFunc(outage, func() { owner.rows.SetDown(owner.killed.Load()) })
		}},
		{"the store is down", func(w *world, _ *host) {
			all(w, func(h *host) {
				h.rows.SetDown(true)
				time.AfterFunc(outage, func() { h.rows.SetDown(h.killed.Load()) })
			})
		}},
		{"answers are lost", func(w *world, _ *host) { all(w, func(h *host) { h.rows.LoseAnswers(3) }) }},
		{"writes come late", func(w *world, _ *host) { all(w, func(h *host) { h.rows.DelayWrites(2, time.Second) }) }},
		{"the history is forgotten", func(w *world, _ *host) { w.rows.DropHistory() }},
		{"the owner stops", func(_ *world, owner *host) {
			owner.beat.SetDraining()
			owner.manager.Drain(context.Background(), 200*time.Millisecond)
		}},
		{"an engine turns silent", func(w *world, _ *host) {
			w.engines.set(func(e *engines) { e.silent["e1"] = true })
			time.AfterFunc(outage, func() { w.engines.set(func(e *engines) { e.silent["e1"] = false }) })
		}},
		{"an engine refuses", func(w *world, _ *host) { w.engines.set(func(e *engines) { e.refuse["e2"] = 5 }) }},
		{"an engine changes its version", func(w *world, _ *host) { w.engines.set(func(e *engines) { e.version["e3"]++ }) }},
	}
}

func (e *engines) set(change func(e *engines)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// watch reads a job at all hosts until ctx ends and demands that a position that
// was once shown keeps its result.
func (w *world) watch(ctx context.Context, id string) {
	var shown []Result
	for ctx.Err() == nil {
		for _, h := range w.live() {
			page, err := h.manager.Results(ctx, id, 0, 0)
			if err != nil {
				continue
			}
			both := min(len(shown), len(page.Results))
			if diff := cmp.Diff(shown[:both], page.Results[:both], cmpopts.EquateEmpty()); diff != "" {
				w.t.Errorf("%s shows other results than were shown before: %s", h.id, diff)
				return
			}
			if len(page.Results) > both {
				shown = page.Results
			}
		}
		time.Sleep(70 * time.Millisecond)
	}
}

func (w *world) live() []*host {
	w.mu.Lock()
	defer w.mu.Unlock()
	var live []*host
	for _, h := range w.hosts {
		if !h.killed.Load() {
			live = append(live, h)
		}
	}
	return live
}

// live plays a job that is struck by blows, each so long after the one before.
func live(t *testing.T, after []time.Duration, struck []blow) {
	inWorld(t, func(w *world) {
		w.engines.length = 30
		s, _, _ := w.given(6, "a", "a", "b", "c")
		ctx, cancel := context.WithCancel(context.Background())
		var reader sync.WaitGroup
		reader.Go(func() { w.watch(ctx, s.ID) })
		for i, b := range struck {
			time.Sleep(after[i])
			if owner, _ := w.sides(s.ID); owner != nil {
				b.strike(w, owner)
			}
		}
		// The last blow is over after the outage; then the job has a usual take-over and run.
		time.Sleep(outage + time.Second)
		defer reader.Wait()
		defer cancel()
		if alive := w.live(); len(alive) > 0 {
			w.finishes(alive[0], s, 10*time.Second)
		}
	})
}

func TestFaultsAtEveryMomentOfAJob(t *testing.T) {
	t.Parallel()
	for _, b := range blows() {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			for at := time.Duration(0); at <= 2400*time.Millisecond; at += 150 * time.Millisecond {
				t.Run(fmt.Sprint(at), func(t *testing.T) { live(t, []time.Duration{at}, []blow{b}) })
			}
		})
	}
}

func TestPairsOfFaults(t *testing.T) {
	t.Parallel()
	for _, first := range blows() {
		for _, second := range blows() {
			t.Run(first.name+", "+second.name, func(t *testing.T) {
				t.Parallel()
				for _, apart := range []time.Duration{0, 700 * time.Millisecond} {
					t.Run(fmt.Sprint(apart), func(t *testing.T) {
						live(t, []time.Duration{500 * time.Millisecond, apart}, []blow{first, second})
					})
				}
			})
		}
	}
}
