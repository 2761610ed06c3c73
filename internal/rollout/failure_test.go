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

// wantOnce fails unless each slot of a step occurs once, with an id of its own.
func wantOnce(t *testing.T, samples []trainerapi.Sample, groups, size int) {
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
		b := newBench(1, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 100 }
		h := b.host(t, DefaultPolicy())
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

// A rollout that outlives the bound is given up and generated again.
func TestRolloutPastTheBoundIsGeneratedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 400 }
		h := b.host(t, DefaultPolicy())
		defer h.stop()
		begun := time.Now()
		h.do(t, "POST", "advice/steps/1", stepRequest(1, 2), nil)
		time.Sleep(2 * time.Second)
		b.engines.setVersion(4)
		b.versions.publish(4)
		for _, s := range h.fetch(t, 1).Samples {
			if oldest, _ := oldestOf(s.Segments); oldest != 4 {
				t.Errorf("segments are %v, want version 4 alone", s.Segments)
			}
		}
		if took := time.Since(begun); took > 7*time.Second {
			t.Errorf("the step took %s, want 2s that are lost and 4s", took)
		}
		if b.engines.count() != 4 {
			t.Errorf("%d generations, want 2 given up and 2 whole", b.engines.count())
		}
	})
}

// New weights between seal and first fetch: the stale groups are generated
// again. After the first delivery the content is fixed, and refused once it is stale.
func TestWeightsPublishedBetweenSealAndFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(2, advice)
		h, other := b.host(t, DefaultPolicy()), b.host(t, DefaultPolicy())
		defer h.stop()
		defer other.stop()
		h.do(t, "POST", "advice/steps/1", stepRequest(2, 2), nil)
		time.Sleep(5 * time.Second)
		b.engines.setVersion(4)
		b.versions.publish(4)
		first := h.fetch(t, 1)
		wantOnce(t, first.Samples, 2, 2)
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
		b := newBench(2, advice)
		b.engines.length = func(req engineapi.ChatRequest) int { return 50 + int(req.Seed%100) }
		h := b.host(t, DefaultPolicy())
		h.do(t, "POST", "advice/steps/1", stepRequest(8, 4), nil)
		time.Sleep(3 * time.Second)
		other := b.host(t, DefaultPolicy())
		defer other.stop()
		h.kill()
		first := other.fetch(t, 1)
		wantOnce(t, first.Samples, 8, 4)
		h.done.Wait()
	})
}

// Two hosts that both believe to own a trainer waste work, but each slot is
// committed once and both deliver the same content, with lost replies on all writes.
func TestTwoOwnersWithLostReplies(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			b := newBench(4, advice)
			b.store.fate = func(platform.Transaction) fate { return fate(random.IntN(3)) }
			lengths := rand.New(rand.NewPCG(seed, 2))
			b.engines.length = func(engineapi.ChatRequest) int { return 20 + lengths.IntN(100) }
			h, other := b.host(t, DefaultPolicy()), b.host(t, DefaultPolicy())
			defer h.stop()
			defer other.stop()
			for h.do(t, "POST", "advice/steps/1", stepRequest(6, 3), nil) != 202 {
				time.Sleep(time.Second)
			}
			first := h.fetch(t, 1)
			wantOnce(t, first.Samples, 6, 3)
			if diff := cmp.Diff(first, other.fetch(t, 1)); diff != "" {
				t.Errorf("seed %d: hosts deliver different content: %s", seed, diff)
			}
		})
	}
}

// The store is down twice within a step, longer than a lease's term.
// Generation goes on, and nothing is generated twice.
func TestStoreOutageWithinAStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(2, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 300 }
		h := b.host(t, DefaultPolicy())
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
		wantOnce(t, h.fetch(t, 1).Samples, 16, 4)
		if b.engines.count() != 64 {
			t.Errorf("%d generations, want 64", b.engines.count())
		}
	})
}

// A host that lost its lease while the store answers stops, and its work is done by the next holder.
func TestOwnerWithoutALeaseStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(2, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 10_000 }
		h := b.host(t, DefaultPolicy())
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

// An interrupted rollout goes on elsewhere from where it broke off, with the labels of its first part.
func TestBrokenRolloutIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(2, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 100 }
		b.engines.versions["e1"] = 2
		b.engines.breakAt["e0"] = 60
		b.versions.publish(2)
		h := b.host(t, DefaultPolicy())
		defer h.stop()
		h.do(t, "POST", "advice/steps/1", stepRequest(1, 1), nil)
		got := h.fetch(t, 1).Samples[0].Segments
		want := []engineapi.Segment{{WeightVersion: 1, Tokens: 60}, {WeightVersion: 2, Tokens: 40}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

// A rollout that broke off after its last token is whole, and no longer than was asked for.
func TestRolloutWithAllItsTokensIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(2, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 100 }
		b.engines.breakAt["e0"] = 50
		h := b.host(t, DefaultPolicy())
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
			b := newBench(4, advice)
			b.engines.length = func(engineapi.ChatRequest) int { return 200 }
			b.engines.tokenTime = func(id string) time.Duration {
				if id == "e0" {
					return 100 * time.Millisecond
				}
				return 10 * time.Millisecond
			}
			policy := DefaultPolicy()
			policy.Hedge = hedge
			h := b.host(t, policy)
			begun := time.Now()
			h.do(t, "POST", "advice/steps/1", stepRequest(2, 4), nil)
			wantOnce(t, h.fetch(t, 1).Samples, 2, 4)
			took[hedge] = time.Since(begun)
			h.stop()
		}
		if took[true] > took[false]/2 {
			t.Errorf("with hedges the step took %s, without %s", took[true], took[false])
		}
	})
}

// A trainer that weighs staleness gets samples within half its bound where
// they can be had, and its steps end all the same.
func TestStalenessRuleKeepsAReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		careful := advice
		careful.Weigh = deployment.WeighStaleness
		b := newBench(2, careful)
		h := b.host(t, DefaultPolicy())
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

// Two trainers with the same share and more work than places get the same part.
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
		{"unused places go over", map[string]int{"a": 100, "b": 10}, map[string]int{"a": 50, "b": 10}},
		{"little demand", map[string]int{"a": 3, "b": 4}, map[string]int{"a": 3, "b": 4}},
		{"none", map[string]int{"a": 0}, map[string]int{}},
	} {
		if diff := cmp.Diff(test.want, divide(trainers, test.demands)); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

// Lost replies do not show at the trainer API: the write is read back.
func TestLostRepliesAreSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, advice)
		b.store.fate = func(platform.Transaction) fate { return replyLost }
		h := b.host(t, DefaultPolicy())
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

// A trainer that weighs staleness does not start a rollout shortly before the
// version that would make it too old.
func TestRolloutWaitsForTheNextVersion(t *testing.T) {
	for weigh, want := range map[deployment.Weigh]int{deployment.WeighStaleness: 2, deployment.WeighIdle: 3} {
		synctest.Test(t, func(t *testing.T) {
			strict := advice
			strict.Weigh = weigh
			strict.StalenessBound = 0
			b := newBench(1, strict)
			b.engines.length = func(engineapi.ChatRequest) int { return 400 }
			h := b.host(t, DefaultPolicy())
			defer h.stop()
			h.do(t, "POST", "advice/steps/1", stepRequest(1, 1), nil)
			h.fetch(t, 1)
			b.versions.setPace(weights.PublishRate{Last: time.Now(), Interval: 10 * time.Second})
			time.Sleep(8 * time.Second)
			h.do(t, "POST", "advice/steps/2", stepRequest(1, 1), nil)
			time.Sleep(1900 * time.Millisecond)
			b.engines.setVersion(2)
			b.versions.setPace(weights.PublishRate{Last: time.Now(), Interval: 10 * time.Second})
			b.versions.publish(2)
			h.fetch(t, 2)
			if n := b.engines.count(); n != want {
				t.Errorf("%s: %d generations, want %d", weigh, n, want)
			}
		})
	}
}

// An engine whose weights lag is passed over while a rollout on it would end too old.
func TestLaggingEngineIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		strict := advice
		strict.StalenessBound = 0
		b := newBench(2, strict)
		b.engines.versions["e1"] = 2
		b.versions.publish(2)
		b.versions.running = map[string]uint64{"e0": 1, "e1": 2}
		h := b.host(t, DefaultPolicy())
		defer h.stop()
		h.do(t, "POST", "advice/steps/1", stepRequest(1, 2), nil)
		h.fetch(t, 1)
		if n := b.engines.count(); n != 2 {
			t.Errorf("%d generations, want 2", n)
		}
	})
}
