package job

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

func TestJobIsRunAndReadAtAnyHost(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := w.boot("a"), w.boot("b")
		s := spec("job", 6)
		w.accept(a, s)
		results := w.finishes(b, s, 3*time.Second)
		if diff := cmp.Diff(results, w.read(a, s.ID)); diff != "" {
			t.Errorf("hosts show different results: %s", diff)
		}
		body, err := b.manager.Body(context.Background(), s.ID, "job.3")
		if err != nil || string(body) != "body of job.3" {
			t.Errorf("body is %q, %v", body, err)
		}
		if _, err := b.manager.Results(context.Background(), "other", 0, 0); !failure.IsKind(err, failure.NotFound) {
			t.Errorf("an unknown job is %v", err)
		}
	})
}

func TestJobIsAcceptedOnce(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := w.boot("a"), w.boot("b")
		s := spec("job", 4)
		w.accept(a, s)
		w.accept(b, s)
		w.accept(a, s)
		w.finishes(a, s, 3*time.Second)
		if n := w.engines.begun(); n != 4 {
			t.Errorf("%d runs of 4 rollouts", n)
		}
	})
}

func TestAcceptanceWhoseAnswerIsLost(t *testing.T) {
	inWorld(t, func(w *world) {
		a := w.boot("a")
		a.rows.LoseAnswers(3)
		s := spec("job", 4)
		w.accept(a, s)
		w.finishes(a, s, 4*time.Second)
	})
}

func TestJobsOfOneModelAreRunByOneHost(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := w.boot("a"), w.boot("b")
		first, second := spec("first", 4), spec("second", 4)
		w.accept(a, first)
		w.accept(b, second)
		one, _ := w.sides(first.ID)
		two, _ := w.sides(second.ID)
		if one != two {
			t.Errorf("%s and %s run jobs of one model", one.id, two.id)
		}
		w.finishes(a, first, 3*time.Second)
		w.finishes(b, second, 3*time.Second)
	})
}

func TestAcceptanceInDoubtIsNotRefusedAsNotRun(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := w.boot("a"), w.boot("b")
		a.rows.DelayWrites(100, 3*time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		s := spec("job", 4)
		err := a.manager.Accept(ctx, s)
		if e := failure.As(err); e.Kind != failure.StoreInDoubt || e.Outcome == failure.NotRun {
			t.Fatalf("an acceptance in doubt ended with %v", err)
		}
		a.rows.DelayWrites(0, 0)
		time.Sleep(3 * time.Second)
		w.finishes(b, s, 5*time.Second)
	})
}

func TestRefusedAcceptanceLeavesNothing(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := w.boot("a"), w.boot("b")
		a.rows.SetDown(true)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		err := a.manager.Accept(ctx, spec("job", 4))
		if e := failure.As(err); e.Kind != failure.StoreUnavailable || e.Outcome != failure.NotRun {
			t.Fatalf("a refused acceptance ended with %v", err)
		}
		a.rows.SetDown(false)
		time.Sleep(4 * time.Second)
		if _, err := b.manager.Results(context.Background(), "job", 0, 0); !failure.IsKind(err, failure.NotFound) {
			t.Errorf("the refused job is %v", err)
		}
	})
}

func TestOwnerThatIsCutOffLosesItsJob(t *testing.T) {
	inWorld(t, func(w *world) {
		s, a, b := w.given(20, "b", "a", "b")
		time.Sleep(500 * time.Millisecond)
		before := w.read(b, s.ID)
		a.rows.SetDown(true)
		results := w.finishes(b, s, 6*time.Second)
		if diff := cmp.Diff(before, results[:len(before)]); diff != "" {
			t.Errorf("listed results have changed: %s", diff)
		}
		a.rows.SetDown(false)
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff(results, w.read(a, s.ID)); diff != "" {
			t.Errorf("the old owner shows other results: %s", diff)
		}
		if a.manager.runs[s.ID] != nil {
			t.Error("the old owner still runs the job")
		}
	})
}

// A host that had just been added knew the jobs before it knew the other hosts,
// held all owners dead, and took every job over.
func TestNewHostTakesNothingBeforeItKnowsTheOthers(t *testing.T) {
	inWorld(t, func(w *world) {
		a := w.boot("a")
		s := spec("job", 24)
		w.accept(a, s)
		w.bootBlind("b", 500*time.Millisecond)
		if owner, _ := w.sides(s.ID); owner != a {
			t.Error("the new host took the job of a live owner over")
		}
		w.finishes(a, s, 4*time.Second)
	})
}

// A host that had just started did not know the store's clock, wrote an
// acceptance at the clock's zero, and so gave the rollouts up at once.
func TestAcceptanceBeforeTheClockIsKnown(t *testing.T) {
	inWorld(t, func(w *world) {
		w.rules.rule.GiveUpAfter = 40 * time.Second
		a := w.boot("a")
		b := w.bootBlind("b", 3*time.Second)
		s := spec("job", 4)
		w.accept(b, s)
		time.Sleep(3 * time.Second)
		for _, result := range w.finishes(a, s, 5*time.Second) {
			if result.State != Completed {
				t.Errorf("rollout %s is %s", result.ID, result.State)
			}
		}
		for _, k := range a.manager.jobs {
			if k.owner.acceptedAt() < time.Hour {
				t.Errorf("the job was accepted at %s of the store's clock", k.owner.acceptedAt())
			}
		}
	})
}

func TestAllHostsLosePowerRightAfterAcceptance(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := w.boot("a"), w.boot("b")
		s := spec("job", 8)
		w.accept(a, s)
		a.kill()
		b.kill()
		time.Sleep(time.Second)
		a, b = w.boot("a"), w.boot("b")
		w.finishes(b, s, 5*time.Second)
		w.finishes(a, s, time.Second)
	})
}

func TestTextGoesOnAfterATakeOver(t *testing.T) {
	inWorld(t, func(w *world) {
		s, a, b := w.given(2, "b", "a", "b")
		time.Sleep(8 * testPace)
		saveNow(a, s.ID)
		a.kill()
		w.finishes(b, s, 5*time.Second)
		for _, rollout := range s.Rollouts {
			runs := w.engines.runsOf(rollout.ID)
			if len(runs) != 2 || runs[1] == 0 {
				t.Errorf("rollout %s was run from %v", rollout.ID, runs)
			}
		}
	})
}

// saveNow has the owner save its texts at once.
func saveNow(h *host, id string) {
	h.manager.mu.Lock()
	r := h.manager.runs[id]
	h.manager.mu.Unlock()
	r.saveTexts()
}

func TestListingWhoseAnswerIsLost(t *testing.T) {
	for _, late := range []bool{false, true} {
		inWorld(t, func(w *world) {
			s, a, b := w.given(12, "b", "a", "b")
			if late {
				a.rows.DelayWrites(6, 700*time.Millisecond)
			} else {
				a.rows.LoseAnswers(6)
			}
			w.finishes(b, s, 8*time.Second)
			time.Sleep(time.Second)
			w.finishes(b, s, time.Second)
		})
	}
}

func TestEndStopsTheGeneration(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := w.boot("a"), w.boot("b")
		s := spec("job", 40)
		w.accept(a, s)
		time.Sleep(200 * time.Millisecond)
		for range 2 {
			if err := b.manager.End(context.Background(), s.ID); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(500 * time.Millisecond)
		begun := w.engines.begun()
		time.Sleep(2 * time.Second)
		if n := w.engines.begun(); n != begun {
			t.Errorf("%d runs began after the end", n-begun)
		}
		if err := b.manager.End(context.Background(), "other"); !failure.IsKind(err, failure.NotFound) {
			t.Errorf("the end of an unknown job is %v", err)
		}
	})
}

func TestEndedJobIsNotTakenUpAgain(t *testing.T) {
	inWorld(t, func(w *world) {
		s, a, b := w.given(40, "b", "a", "b")
		time.Sleep(200 * time.Millisecond)
		a.kill()
		if err := b.manager.End(context.Background(), s.ID); err != nil {
			t.Fatal(err)
		}
		begun := w.engines.begun()
		b.kill()
		w.boot("c")
		time.Sleep(4 * time.Second)
		if n := w.engines.begun(); n != begun {
			t.Errorf("%d runs began after the end", n-begun)
		}
	})
}

func TestCarriedRolloutsGoOn(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := w.boot("a"), w.boot("b")
		first := spec("job", 14)
		w.accept(a, first)
		// Twelve rollouts have places; two wait.
		time.Sleep(6 * testPace)
		if err := a.manager.End(context.Background(), first.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		second := spec("next", 2)
		second.Step = 1
		second.Rollouts = append(slices.Clone(first.Rollouts[:2]), second.Rollouts...)
		w.accept(b, second)
		w.finishes(a, second, 3*time.Second)
		for _, rollout := range first.Rollouts[:2] {
			runs := w.engines.runsOf(rollout.ID)
			if len(runs) != 2 || runs[1] == 0 {
				t.Errorf("carried rollout %s was run from %v", rollout.ID, runs)
			}
		}
	})
}

func TestCarriedTextOfAnOldVersionIsNotUsed(t *testing.T) {
	inWorld(t, func(w *world) {
		a := w.boot("a")
		first := spec("job", 2)
		w.accept(a, first)
		time.Sleep(6 * testPace)
		if err := a.manager.End(context.Background(), first.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		w.engines.mu.Lock()
		for _, id := range []string{"e1", "e2", "e3"} {
			w.engines.version[id] = 2
			a.fleet.ObserveVersion(id, testModel, 2)
		}
		w.engines.mu.Unlock()
		second := spec("job", 2)
		second.ID, second.Step, second.MinVersion = "next", 1, 2
		w.accept(a, second)
		for _, result := range w.finishes(a, second, 3*time.Second) {
			if !slices.Equal(result.Versions, []uint64{2}) {
				t.Errorf("rollout %s is of versions %v", result.ID, result.Versions)
			}
		}
	})
}

func TestStaleEngineIsNotUsed(t *testing.T) {
	inWorld(t, func(w *world) {
		a := w.boot("a")
		w.engines.version["e1"] = 2
		s := spec("job", 6)
		s.MinVersion = 2
		// Discovery is behind: it shows the version to come at all engines.
		for _, id := range []string{"e1", "e2", "e3"} {
			a.fleet.ObserveVersion(id, testModel, 2)
		}
		w.accept(a, s)
		for _, result := range w.finishes(a, s, 6*time.Second) {
			if !slices.Equal(result.Versions, []uint64{2}) {
				t.Errorf("rollout %s is of versions %v", result.ID, result.Versions)
			}
		}
	})
}

func TestOnPolicyRolloutIsOfOneVersion(t *testing.T) {
	inWorld(t, func(w *world) {
		a := w.boot("a")
		w.rules.rule.OnPolicy = true
		s := spec("job", 6)
		w.accept(a, s)
		time.Sleep(5 * testPace)
		w.engines.mu.Lock()
		for _, id := range []string{"e1", "e2", "e3"} {
			w.engines.version[id] = 2
		}
		w.engines.mu.Unlock()
		for _, result := range w.finishes(a, s, 6*time.Second) {
			if len(result.Versions) != 1 {
				t.Errorf("rollout %s is of versions %v", result.ID, result.Versions)
			}
		}
	})
}

func TestSilentEngineIsLeft(t *testing.T) {
	inWorld(t, func(w *world) {
		a := w.boot("a")
		w.engines.silent["e1"] = true
		s := spec("job", 6)
		w.accept(a, s)
		w.finishes(a, s, 4*time.Second)
	})
}

func TestBrokenRunGoesOn(t *testing.T) {
	inWorld(t, func(w *world) {
		a := w.boot("a")
		w.engines.cutAt["job.1"] = 4
		s := spec("job", 3)
		w.accept(a, s)
		w.finishes(a, s, 3*time.Second)
		if runs := w.engines.runsOf("job.1"); !slices.Equal(runs, []int{0, 4}) {
			t.Errorf("the broken rollout was run from %v", runs)
		}
	})
}

func TestRolloutThatAlwaysFailsIsDead(t *testing.T) {
	inWorld(t, func(w *world) {
		a := w.boot("a")
		for _, id := range []string{"e1", "e2", "e3"} {
			w.engines.failing[id] = true
		}
		s := spec("job", 1)
		w.accept(a, s)
		results := w.finishes(a, s, 3*time.Second)
		if results[0].State != Dead || len(w.engines.runsOf("job.0")) != 3 {
			t.Errorf("%s after %d runs", results[0].State, len(w.engines.runsOf("job.0")))
		}
	})
}

func TestScoringIsTriedAgain(t *testing.T) {
	inWorld(t, func(w *world) {
		a := w.boot("a")
		w.scores.fail["score job.0"] = 1
		w.scores.fail["score job.1"] = 100
		// One failure less than what ends a rollout.
		w.scores.fail["score job.2"] = scoreFailures - 1
		s := spec("job", 3)
		w.accept(a, s)
		results := w.finishes(a, s, 5*time.Second)
		states := map[string]State{}
		for _, r := range results {
			states[r.ID] = r.State
		}
		if states["job.0"] != Completed || states["job.1"] != Dead || states["job.2"] != Completed {
			t.Errorf("states are %v", states)
		}
	})
}

func TestStoppingHostHandsItsJobsOver(t *testing.T) {
	inWorld(t, func(w *world) {
		s, a, b := w.given(20, "b", "a", "b")
		time.Sleep(300 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		began := time.Now()
		a.manager.Drain(ctx, 0)
		if took := time.Since(began); took > time.Second {
			t.Errorf("the hand-over took %s", took)
		}
		w.finishes(b, s, 3*time.Second)
		// A job that arrives at a stopping host is run by another.
		late := spec("late", 2)
		w.accept(a, late)
		w.finishes(b, late, 3*time.Second)
	})
}

func TestStoppingHostGoesOnWhileTheStoreIsAway(t *testing.T) {
	inWorld(t, func(w *world) {
		s, a, b := w.given(4, "b", "a", "b")
		time.Sleep(2 * testPace)
		a.rows.SetDown(true)
		b.rows.SetDown(true)
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		go func() {
			time.Sleep(3 * time.Second)
			a.rows.SetDown(false)
			b.rows.SetDown(false)
		}()
		a.manager.Drain(ctx, 2*time.Second)
		w.finishes(b, s, time.Second)
		if n := w.engines.begun(); n != len(s.Rollouts) {
			t.Errorf("%d runs of %d rollouts", n, len(s.Rollouts))
		}
	})
}

func TestStoreOutageDelaysListingOnly(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := w.boot("a"), w.boot("b")
		s := spec("job", 8)
		w.accept(a, s)
		a.rows.SetDown(true)
		b.rows.SetDown(true)
		time.Sleep(4 * time.Second)
		if _, err := b.manager.Results(context.Background(), "other", 0, 0); !failure.IsKind(err, failure.StoreUnavailable) {
			t.Errorf("an unknown job is %v while the store is down", err)
		}
		a.rows.SetDown(false)
		b.rows.SetDown(false)
		w.finishes(b, s, 2*time.Second)
		if n := w.engines.begun(); n != 8 {
			t.Errorf("%d runs of 8 rollouts: the outage cost a take-over", n)
		}
	})
}

func TestOldJobsAreForgotten(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := w.boot("a"), w.boot("b")
		over := spec("over", 4)
		w.accept(a, over)
		w.finishes(b, over, 5*time.Second)
		time.Sleep(80 * time.Second)
		w.finishes(b, over, time.Second)
		time.Sleep(30 * time.Second)
		for _, h := range []*host{a, b} {
			if _, err := h.manager.Results(context.Background(), over.ID, 0, 0); !failure.IsKind(err, failure.NotFound) {
				t.Errorf("an old job is %v", err)
			}
		}
		if left := w.rows.Count(over.ID); left != 0 {
			t.Errorf("%d rows of an old job are left", left)
		}
	})
}

func TestForgottenHistoryIsReadAgain(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := w.boot("a"), w.boot("b")
		b.rows.SetDown(true)
		s := spec("job", 4)
		w.accept(a, s)
		time.Sleep(time.Second)
		w.rows.DropHistory()
		b.rows.SetDown(false)
		w.finishes(b, s, 3*time.Second)
	})
}

// An owner that comes back from a cut learns by a refused write that it lost its
// job, before its feed shows it. By the older row it would own the job again, and
// count the results that the new owner listed among its own.
func TestOwnerThatComesBackShowsNoOtherPositions(t *testing.T) {
	inWorld(t, func(w *world) {
		w.engines.length = 30
		s, owner, other := w.given(6, "a", "a", "b", "c")
		// The last rollouts run when the owner is cut off.
		w.engines.set(func(e *engines) { e.silent["e1"] = true })
		time.Sleep(1500 * time.Millisecond)
		owner.rows.SetDown(true)
		w.engines.set(func(e *engines) { e.silent["e1"] = false })
		time.Sleep(8 * time.Second)
		want := w.finishes(other, s, 5*time.Second)
		owner.rows.SetDown(false)
		for range 1000 {
			time.Sleep(time.Millisecond)
			page, err := owner.manager.Results(context.Background(), s.ID, 0, 0)
			if err != nil {
				continue
			}
			if diff := cmp.Diff(want[:len(page.Results)], page.Results, cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("the former owner shows other results: %s", diff)
			}
		}
	})
}

func TestStoppingHostHandsOverWhatItIsGivenMeanwhile(t *testing.T) {
	inWorld(t, func(w *world) {
		s, owner, other := w.given(4, "a", "a", "b", "c")
		owner.beat.SetDraining()
		owner.manager.Drain(context.Background(), 0)
		w.finishes(other, s, 4*time.Second)
	})
}

// Played on a hunted day: a host ends a job while its feed is behind, and then the
// store forgets its history. The job's listings must not stay unknown there.
func TestEndedJobIsReadAgainAfterLostHistory(t *testing.T) {
	inWorld(t, func(w *world) {
		s, _, other := w.given(6, "a", "a", "b", "c")
		time.Sleep(100 * time.Millisecond)
		other.rows.SetDown(true)
		time.Sleep(3 * time.Second)
		w.rows.DropHistory()
		other.rows.SetDown(false)
		if err := other.manager.End(context.Background(), s.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		// A host whose feed is a moment old asks the store, others answer by what they know.
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			w.check(s, w.read(other, s.ID))
		}
	})
}
