package rollout

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
	"github.com/sapphirehatch/sapphirehatch/internal/weights"
)

// wantEachSlotOnce checks that samples contain each slot of a step exactly once, with unique
// ids.
func wantEachSlotOnce(t *testing.T, samples []trainerapi.Sample, groups, size int) {
	t.Helper()
	slots := map[slotID]int{}
	ids := map[string]int{}
	for _, s := range samples {
		slots[slotID{s.Group, s.Index}]++
		ids[s.ID]++
	}
	if len(samples) != groups*size || len(slots) != groups*size || len(ids) != groups*size {
		t.Errorf("%d samples of %d slots with %d ids, want %d of each", len(samples), len(slots), len(ids), groups*size)
	}
}

func TestSegmentsNameTheVersionsThatProducedThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(1, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 100 }
		h := b.startHost(t, defaultPolicy())
		defer h.stop()
		h.do(t, "POST", "advice/steps/1", stepRequest(1, 2), nil)
		time.Sleep(700 * time.Millisecond)
		b.engines.setVersion(2)
		b.versions.publish(2)
		for _, s := range h.fetch(t, 1).Samples {
			if len(s.Segments) != 2 || s.Segments[0].WeightVersion != 1 || s.Segments[1].WeightVersion != 2 {
				t.Errorf("segments are %v, want version 1, then 2", s.Segments)
			}
			if s.Segments[0].Tokens+s.Segments[1].Tokens != 100 {
				t.Errorf("segments %v do not add up to 100 tokens", s.Segments)
			}
		}
	})
}

// A rollout that exceeds the staleness bound while it runs is cancelled and generated again.
func TestRolloutPastTheBoundIsGeneratedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(1, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 400 }
		h := b.startHost(t, defaultPolicy())
		defer h.stop()
		started := time.Now()
		h.do(t, "POST", "advice/steps/1", stepRequest(1, 2), nil)
		time.Sleep(2 * time.Second)
		b.engines.setVersion(4)
		b.versions.publish(4)
		for _, s := range h.fetch(t, 1).Samples {
			if oldest, _ := oldestOf(s.Segments); oldest != 4 {
				t.Errorf("segments are %v, want version 4 alone", s.Segments)
			}
		}
		if took := time.Since(started); took > 7*time.Second {
			t.Errorf("the step took %s, want 2s that are discarded and 4s", took)
		}
		if b.engines.count() != 4 {
			t.Errorf("%d generations, want 2 cancelled and 2 complete", b.engines.count())
		}
	})
}

// Weights published between seal and first fetch: the stale groups are generated again. After
// the first delivery the content is fixed, and refused once it is stale.
func TestWeightsPublishedBetweenSealAndFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(2, advice)
		h, other := b.startHost(t, defaultPolicy()), b.startHost(t, defaultPolicy())
		defer h.stop()
		defer other.stop()
		h.do(t, "POST", "advice/steps/1", stepRequest(2, 2), nil)
		time.Sleep(5 * time.Second)
		b.engines.setVersion(4)
		b.versions.publish(4)
		first := h.fetch(t, 1)
		wantEachSlotOnce(t, first.Samples, 2, 2)
		for _, s := range first.Samples {
			if oldest, _ := oldestOf(s.Segments); oldest != 4 {
				t.Errorf("sample %s has segments %v, want version 4", s.ID, s.Segments)
			}
		}
		b.versions.publish(6)
		if diff := cmp.Diff(first, other.fetch(t, 1)); diff != "" {
			t.Errorf("fetch within the bound differs: %s", diff)
		}
		b.versions.publish(7)
		if status := other.do(t, "GET", "advice/steps/1/samples", nil, nil); status != 409 {
			t.Errorf("fetch past the bound: status %d, want 409", status)
		}
	})
}

func TestTakeOverAfterAKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(2, advice)
		b.engines.length = func(req engineapi.ChatRequest) int { return 50 + int(req.Seed%100) }
		h := b.startHost(t, defaultPolicy())
		h.do(t, "POST", "advice/steps/1", stepRequest(8, 4), nil)
		time.Sleep(3 * time.Second)
		other := b.startHost(t, defaultPolicy())
		defer other.stop()
		h.kill()
		first := other.fetch(t, 1)
		wantEachSlotOnce(t, first.Samples, 8, 4)
		h.done.Wait()
	})
}

// Two hosts that both act as owner of a trainer waste work, but each slot is committed once and
// both deliver the same content, even if requests and replies of writes are lost.
func TestTwoOwnersWithLostReplies(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			b := newTestCluster(4, advice)
			b.store.transactOutcome = func(platform.Transaction) callOutcome { return callOutcome(random.IntN(3)) }
			lengths := rand.New(rand.NewPCG(seed, 2))
			b.engines.length = func(engineapi.ChatRequest) int { return 20 + lengths.IntN(100) }
			h, other := b.startHost(t, defaultPolicy()), b.startHost(t, defaultPolicy())
			defer h.stop()
			defer other.stop()
			for h.do(t, "POST", "advice/steps/1", stepRequest(6, 3), nil) != 202 {
				time.Sleep(time.Second)
			}
			first := h.fetch(t, 1)
			wantEachSlotOnce(t, first.Samples, 6, 3)
			if diff := cmp.Diff(first, other.fetch(t, 1)); diff != "" {
				t.Errorf("seed %d: hosts deliver different content: %s", seed, diff)
			}
		})
	}
}

// The store is unavailable twice within a step, longer than the lease term. Generation
// continues, and nothing is generated twice.
func TestStoreOutageWithinAStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(2, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 300 }
		h := b.startHost(t, defaultPolicy())
		defer h.stop()
		h.do(t, "POST", "advice/steps/1", stepRequest(16, 4), nil)
		time.Sleep(time.Second)
		for range 2 {
			b.store.setDown(true)
			h.leases.set(false)
			time.Sleep(15 * time.Second)
			b.store.setDown(false)
			time.Sleep(2 * time.Second)
			h.leases.set(true)
			time.Sleep(time.Second)
		}
		wantEachSlotOnce(t, h.fetch(t, 1).Samples, 16, 4)
		if b.engines.count() != 64 {
			t.Errorf("%d generations, want 64", b.engines.count())
		}
	})
}

// A host that lost its lease while the store is available stops generating.
func TestOwnerWithoutALeaseStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(2, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 10_000 }
		h := b.startHost(t, defaultPolicy())
		defer h.stop()
		h.do(t, "POST", "advice/steps/1", stepRequest(2, 2), nil)
		time.Sleep(2 * time.Second)
		h.leases.set(false)
		time.Sleep(10 * time.Second)
		b.engines.mu.Lock()
		defer b.engines.mu.Unlock()
		for id, n := range b.engines.inFlight {
			if n != 0 {
				t.Errorf("engine %s still has %d rollouts", id, n)
			}
		}
	})
}

// An interrupted rollout continues on another engine from its output so far, and keeps the
// weight versions of its first part.
func TestBrokenRolloutIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(2, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 100 }
		b.engines.versions["e1"] = 2
		b.engines.breakAt["e0"] = 60
		b.versions.publish(2)
		h := b.startHost(t, defaultPolicy())
		defer h.stop()
		h.do(t, "POST", "advice/steps/1", stepRequest(1, 1), nil)
		got := h.fetch(t, 1).Samples[0].Segments
		want := []engineapi.Segment{{WeightVersion: 1, Tokens: 60}, {WeightVersion: 2, Tokens: 40}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

// A rollout whose stream broke after its last token is complete, and no longer than requested.
func TestRolloutWithAllItsTokensIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(2, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 100 }
		b.engines.breakAt["e0"] = 50
		h := b.startHost(t, defaultPolicy())
		defer h.stop()
		req := stepRequest(1, 1)
		req.MaxTokens = 50
		h.do(t, "POST", "advice/steps/1", req, nil)
		got := h.fetch(t, 1).Samples[0]
		want := []engineapi.Segment{{WeightVersion: 1, Tokens: 50}}
		if diff := cmp.Diff(want, got.Segments); diff != "" || got.FinishReason != engineapi.FinishLength {
			t.Error(got.FinishReason, diff)
		}
	})
}

// A rollout on a slow engine is hedged on a fast one.
func TestSlowRolloutIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := map[bool]time.Duration{}
		for _, hedge := range []bool{false, true} {
			b := newTestCluster(4, advice)
			b.engines.length = func(engineapi.ChatRequest) int { return 200 }
			b.engines.tokenTime = func(id string) time.Duration {
				if id == "e0" {
					return 100 * time.Millisecond
				}
				return 10 * time.Millisecond
			}
			policy := defaultPolicy()
			policy.Hedge = hedge
			h := b.startHost(t, policy)
			started := time.Now()
			h.do(t, "POST", "advice/steps/1", stepRequest(2, 4), nil)
			wantEachSlotOnce(t, h.fetch(t, 1).Samples, 2, 4)
			took[hedge] = time.Since(started)
			h.stop()
		}
		if took[true] > took[false]/2 {
			t.Errorf("with hedges the step took %s, without %s", took[true], took[false])
		}
	})
}

// A trainer that weighs staleness gets samples within half its bound if possible, and its steps
// end nevertheless.
func TestStalenessRuleKeepsAReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		careful := advice
		careful.SchedulingGoal = deployment.MinimizeStaleness
		b := newTestCluster(2, careful)
		h := b.startHost(t, defaultPolicy())
		defer h.stop()
		b.engines.length = func(req engineapi.ChatRequest) int {
			if req.Messages[0].Content == "prompt 0" {
				return 400
			}
			return 10
		}
		h.do(t, "POST", "advice/steps/1", stepRequest(2, 2), nil)
		time.Sleep(2 * time.Second)
		b.engines.setVersion(3)
		b.versions.publish(3)
		for _, s := range h.fetch(t, 1).Samples {
			if oldest, _ := oldestOf(s.Segments); age(3, oldest) > 1 {
				t.Errorf("sample of group %d has segments %v, want none before version 2", s.Group, s.Segments)
			}
		}
	})
}

// The capacity of a pool is divided by weight, and unused capacity goes to the others.
func TestTrainersShareThePlaces(t *testing.T) {
	trainers := map[string]deployment.Trainer{
		"a": {Name: "a", Share: 1, MaxInFlight: 60},
		"b": {Name: "b", Share: 2, MaxInFlight: 60},
	}
	for _, test := range []struct {
		name    string
		demands map[string]int
		want    map[string]int
	}{
		{"alone", map[string]int{"a": 100}, map[string]int{"a": 60}},
		{"by weight", map[string]int{"a": 100, "b": 100}, map[string]int{"a": 20, "b": 40}},
		{"unused capacity goes to others", map[string]int{"a": 100, "b": 10}, map[string]int{"a": 50, "b": 10}},
		{"little demand", map[string]int{"a": 3, "b": 4}, map[string]int{"a": 3, "b": 4}},
		{"none", map[string]int{"a": 0}, map[string]int{}},
	} {
		if diff := cmp.Diff(test.want, divide(trainers, test.demands)); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

// Lost replies are not visible in the trainer API: the write is read back.
func TestLostRepliesAreSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(1, advice)
		b.store.transactOutcome = func(platform.Transaction) callOutcome { return replyLost }
		h := b.startHost(t, defaultPolicy())
		defer h.stop()
		if status := h.do(t, "POST", "advice/steps/1", stepRequest(1, 1), nil); status != 202 {
			t.Errorf("create: status %d", status)
		}
		h.fetch(t, 1)
		if status := h.do(t, "POST", "advice/steps/1/ack", nil, nil); status != 200 {
			t.Errorf("ack: status %d", status)
		}
	})
}

// A trainer that weighs staleness does not start a rollout shortly before the version that
// would make it stale.
func TestRolloutWaitsForTheNextVersion(t *testing.T) {
	for weigh, want := range map[deployment.SchedulingGoal]int{deployment.MinimizeStaleness: 2, deployment.MinimizeIdle: 3} {
		synctest.Test(t, func(t *testing.T) {
			strict := advice
			strict.SchedulingGoal = weigh
			strict.StalenessBound = 0
			b := newTestCluster(1, strict)
			b.engines.length = func(engineapi.ChatRequest) int { return 400 }
			h := b.startHost(t, defaultPolicy())
			defer h.stop()
			h.do(t, "POST", "advice/steps/1", stepRequest(1, 1), nil)
			h.fetch(t, 1)
			b.versions.setRate(weights.PublishRate{Last: time.Now(), Interval: 10 * time.Second})
			time.Sleep(8 * time.Second)
			h.do(t, "POST", "advice/steps/2", stepRequest(1, 1), nil)
			time.Sleep(1900 * time.Millisecond)
			b.engines.setVersion(2)
			b.versions.setRate(weights.PublishRate{Last: time.Now(), Interval: 10 * time.Second})
			b.versions.publish(2)
			h.fetch(t, 2)
			if n := b.engines.count(); n != want {
				t.Errorf("%s: %d generations, want %d", weigh, n, want)
			}
		})
	}
}

// An engine whose weights lag is skipped if a rollout on it would exceed the bound.
func TestLaggingEngineIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		strict := advice
		strict.StalenessBound = 0
		b := newTestCluster(2, strict)
		b.engines.versions["e1"] = 2
		b.versions.publish(2)
		b.versions.running = map[string]uint64{"e0": 1, "e1": 2}
		h := b.startHost(t, defaultPolicy())
		defer h.stop()
		h.do(t, "POST", "advice/steps/1", stepRequest(1, 2), nil)
		h.fetch(t, 1)
		if n := b.engines.count(); n != 2 {
			t.Errorf("%d generations, want 2", n)
		}
	})
}
