package fleet

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// burstEngine runs up to slots requests at once and queues the rest.
type burstEngine struct {
	mu             sync.Mutex
	running, queue int
	slots          chan struct{}
}

// run queues for a slot, reports when the engine begins to answer, and holds the slot.
func (e *burstEngine) run(answer time.Duration, began func(running, waiting int)) {
	e.mu.Lock()
	e.queue++
	e.mu.Unlock()
	e.slots <- struct{}{}
	time.Sleep(15 * time.Millisecond) // to the first token, with the network
	e.mu.Lock()
	e.queue--
	e.running++
	running, waiting := e.running, e.queue
	e.mu.Unlock()
	began(running, waiting)
	time.Sleep(answer)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	<-e.slots
}

// Load pattern of a day without faults: the owners of two models, which don't see each
// other's choices, place 64 and 68 rollouts within a quarter of a second. A load that
// was reported seconds ago says nothing. Three engines of 16 slots have versions that
// both models allow; one more serves only the first model, and two only the second.
// Lengths are exponential with a mean of 1 s, the longest first, as in that day's log.
func TestBurstsOfTwoOwnersDoNotMeet(t *testing.T) {
	for _, gap := range []time.Duration{0, 30 * time.Millisecond, 220 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				versions := [2][9]uint64{{1, 2, 2, 1, 2, 2, 1, 1, 1}, {2, 1, 2, 2, 2, 2, 1, 1, 1}}
				engines := map[string]*burstEngine{}
				owners := []*Fleet{New(logr.Discard()), New(logr.Discard())}
				for i := range 9 {
					id := fmt.Sprintf("e%d", i)
					engines[id] = &burstEngine{slots: make(chan struct{}, 16)}
					for _, owner := range owners {
						owner.Put(Replica{ID: id, Service: "lm", Address: id, Slots: 16, Models: map[string]uint64{"m0": versions[0][i], "m1": versions[1][i]}})
					}
				}
				var mu sync.Mutex
				longest := time.Duration(0)
				var wait sync.WaitGroup
				place := func(owner *Fleet, model string, rollouts int) {
					want := Requirements{Service: "lm", Model: model}
					want.MinVersion, want.LimitUnanswered = 2, true
					came := time.Now()
					for n := 0; n < rollouts; {
						changed := owner.Changed()
						r, err := owner.Reserve(want)
						if err != nil {
							select {
							case <-changed:
							case <-time.After(25 * time.Millisecond):
							}
							continue
						}
						answer := time.Duration(-math.Log((float64(n)+0.5)/float64(rollouts)) * float64(time.Second))
						n++
						wait.Go(func() {
							engines[r.ID].run(answer, func(running, waiting int) {
								owner.ObserveLoad(r.ID, LoadReport{Running: running, Waiting: waiting, Slots: 16})
								owner.RecordAnswer(r.ID)
								mu.Lock()
								defer mu.Unlock()
								longest = max(longest, time.Since(came))
							})
							owner.Release(r.ID)
						})
					}
				}
				wait.Go(func() { place(owners[0], "m0", 64) })
				time.Sleep(gap)
				wait.Go(func() { place(owners[1], "m1", 68) })
				wait.Wait()
				t.Logf("the last rollout began %s after its job came", longest)
				if longest > 1500*time.Millisecond {
					t.Errorf("a rollout began %s after its job came, want at most 1.5 s, after which an attempt counts as lost", longest)
				}
			})
		})
	}
}
