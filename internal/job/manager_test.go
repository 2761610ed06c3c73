package job

import (
	"context"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

func TestJobIsRunAndReadAtAnyHost(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, b := c.startHost("a"), c.startHost("b")
		s := spec("job", 6)
		c.accept(a, s)
		results := c.waitForResults(b, s, 3*time.Second)
		if diff := cmp.Diff(results, c.read(a, s.ID)); diff != "" {
			t.Errorf("hosts return different results: %s", diff)
		}
		body, err := b.manager.Body(context.Background(), s.ID, "job.3")
		if err != nil || string(body) != "body of job.3" {
			t.Errorf("body is %q, %v", body, err)
		}
		if _, err := b.manager.Results(context.Background(), "other", 0, 0); !failure.IsKind(err, failure.NotFound) {
			t.Errorf("Results of an unknown job: error %v, want NotFound", err)
		}
	})
}

func TestJobIsAcceptedOnce(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, b := c.startHost("a"), c.startHost("b")
		s := spec("job", 4)
		c.accept(a, s)
		c.accept(b, s)
		c.accept(a, s)
		c.waitForResults(a, s, 3*time.Second)
		if n := c.engines.startedRuns(); n != 4 {
			t.Errorf("%d runs of 4 rollouts", n)
		}
	})
}

func TestAcceptanceWhoseAnswerIsLost(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		a.rows.LoseAnswers(3)
		s := spec("job", 4)
		c.accept(a, s)
		c.waitForResults(a, s, 4*time.Second)
	})
}

func TestJobsOfOneModelAreRunByOneHost(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, b := c.startHost("a"), c.startHost("b")
		first, second := spec("first", 4), spec("second", 4)
		c.accept(a, first)
		c.accept(b, second)
		one, _ := c.ownerAndOther(first.ID)
		two, _ := c.ownerAndOther(second.ID)
		if one != two {
			t.Errorf("%s and %s run jobs of one model", one.id, two.id)
		}
		c.waitForResults(a, first, 3*time.Second)
		c.waitForResults(b, second, 3*time.Second)
	})
}

func TestAcceptWithUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, b := c.startHost("a"), c.startHost("b")
		a.rows.DelayWrites(100, 3*time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		s := spec("job", 4)
		err := a.manager.Accept(ctx, s, 1)
		if e := failure.As(err); e.Kind != failure.StoreInDoubt || e.Outcome == failure.NotRun {
			t.Fatalf("an acceptance in doubt ended with %v", err)
		}
		a.rows.DelayWrites(0, 0)
		time.Sleep(3 * time.Second)
		c.waitForResults(b, s, 5*time.Second)
	})
}

func TestRefusedAcceptanceLeavesNothing(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, b := c.startHost("a"), c.startHost("b")
		a.rows.SetDown(true)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		err := a.manager.Accept(ctx, spec("job", 4), 1)
		if e := failure.As(err); e.Kind != failure.StoreUnavailable || e.Outcome != failure.NotRun {
			t.Fatalf("a refused acceptance ended with %v", err)
		}
		a.rows.SetDown(false)
		time.Sleep(4 * time.Second)
		if _, err := b.manager.Results(context.Background(), "job", 0, 0); !failure.IsKind(err, failure.NotFound) {
			t.Errorf("Results of the refused job: error %v, want NotFound", err)
		}
	})
}

func TestOwnerThatIsCutOffLosesItsJob(t *testing.T) {
	withCluster(t, func(c *cluster) {
		// Host b accepts a job of 20 rollouts. a is the owner of the job, b the other host.
		s, a, b := c.startWithJob(20, "b", "a", "b")
		time.Sleep(500 * time.Millisecond)
		before := c.read(b, s.ID)
		a.rows.SetDown(true)
		results := c.waitForResults(b, s, 6*time.Second)
		if diff := cmp.Diff(before, results[:len(before)]); diff != "" {
			t.Errorf("listed results have changed: %s", diff)
		}
		a.rows.SetDown(false)
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff(results, c.read(a, s.ID)); diff != "" {
			t.Errorf("the former owner returns other results: %s", diff)
		}
		if a.manager.runs[s.ID] != nil {
			t.Error("the former owner still runs the job")
		}
	})
}

// Guards against a new host that synced the jobs before it synced the other hosts:
// it considered all owners dead and took every job over.
func TestNewHostTakesNothingBeforeItKnowsTheOthers(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		s := spec("job", 24)
		c.accept(a, s)
		c.startHostWithDelayedView("b", 500*time.Millisecond)
		if owner, _ := c.ownerAndOther(s.ID); owner != a {
			t.Error("the new host took the job of a live owner over")
		}
		c.waitForResults(a, s, 4*time.Second)
	})
}

// Guards against a host that did not know the store clock yet: it stored zero as
// the time of the acceptance, and the rollouts were given up at once.
func TestAcceptanceBeforeTheClockIsKnown(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.rules.rule.GiveUpAfter = 40 * time.Second
		a := c.startHost("a")
		b := c.startHostWithDelayedView("b", 3*time.Second)
		s := spec("job", 4)
		c.accept(b, s)
		time.Sleep(3 * time.Second)
		for _, result := range c.waitForResults(a, s, 5*time.Second) {
			if result.State != Completed {
				t.Errorf("rollout %s is %s", result.ID, result.State)
			}
		}
		for _, state := range a.manager.jobs {
			if state.owner.acceptedAt() < time.Hour {
				t.Errorf("the job was accepted at %s of the store clock", state.owner.acceptedAt())
			}
		}
	})
}

func TestAllHostsLosePowerRightAfterAcceptance(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, b := c.startHost("a"), c.startHost("b")
		s := spec("job", 8)
		c.accept(a, s)
		a.kill()
		b.kill()
		time.Sleep(time.Second)
		a, b = c.startHost("a"), c.startHost("b")
		c.waitForResults(b, s, 5*time.Second)
		c.waitForResults(a, s, time.Second)
	})
}

func TestTextGoesOnAfterATakeover(t *testing.T) {
	withCluster(t, func(c *cluster) {
		s, a, b := c.startWithJob(2, "b", "a", "b")
		time.Sleep(8 * eventInterval)
		saveNow(a, s.ID)
		a.kill()
		c.waitForResults(b, s, 5*time.Second)
		for _, rollout := range s.Rollouts {
			runs := c.engines.startsOf(rollout.ID)
			if len(runs) != 2 || runs[1] == 0 {
				t.Errorf("rollout %s was started at events %v, want a second start after event 0", rollout.ID, runs)
			}
		}
	})
}

// saveNow makes the owner save its texts at once.
func saveNow(h *host, id string) {
	h.manager.mu.Lock()
	r := h.manager.runs[id]
	h.manager.mu.Unlock()
	r.saveTexts()
}

func TestListingWhoseAnswerIsLost(t *testing.T) {
	for _, late := range []bool{false, true} {
		withCluster(t, func(c *cluster) {
			s, a, b := c.startWithJob(12, "b", "a", "b")
			if late {
				a.rows.DelayWrites(6, 700*time.Millisecond)
			} else {
				a.rows.LoseAnswers(6)
			}
			c.waitForResults(b, s, 8*time.Second)
			time.Sleep(time.Second)
			c.waitForResults(b, s, time.Second)
		})
	}
}

func TestEndStopsTheGeneration(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, b := c.startHost("a"), c.startHost("b")
		s := spec("job", 40)
		c.accept(a, s)
		time.Sleep(200 * time.Millisecond)
		for range 2 {
			if err := b.manager.End(context.Background(), s.ID); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(500 * time.Millisecond)
		begun := c.engines.startedRuns()
		time.Sleep(2 * time.Second)
		if n := c.engines.startedRuns(); n != begun {
			t.Errorf("%d runs began after the end", n-begun)
		}
		if err := b.manager.End(context.Background(), "other"); !failure.IsKind(err, failure.NotFound) {
			t.Errorf("End of an unknown job: error %v, want NotFound", err)
		}
	})
}

func TestEndedJobIsNotTakenOver(t *testing.T) {
	withCluster(t, func(c *cluster) {
		s, a, b := c.startWithJob(40, "b", "a", "b")
		time.Sleep(200 * time.Millisecond)
		a.kill()
		if err := b.manager.End(context.Background(), s.ID); err != nil {
			t.Fatal(err)
		}
		begun := c.engines.startedRuns()
		b.kill()
		c.startHost("c")
		time.Sleep(4 * time.Second)
		if n := c.engines.startedRuns(); n != begun {
			t.Errorf("%d runs began after the end", n-begun)
		}
	})
}

func TestRolloutsCarriedOverFromPreviousJobContinue(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, b := c.startHost("a"), c.startHost("b")
		first := spec("job", 14)
		c.accept(a, first)
		// Twelve rollouts have slots; two wait.
		time.Sleep(6 * eventInterval)
		if err := a.manager.End(context.Background(), first.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		second := spec("next", 2)
		second.Step = 1
		second.Rollouts = append(slices.Clone(first.Rollouts[:2]), second.Rollouts...)
		c.accept(b, second)
		c.waitForResults(a, second, 3*time.Second)
		for _, rollout := range first.Rollouts[:2] {
			runs := c.engines.startsOf(rollout.ID)
			if len(runs) != 2 || runs[1] == 0 {
				t.Errorf("carried-over rollout %s was started at events %v, want a second start after event 0", rollout.ID, runs)
			}
		}
	})
}

// A step that is asked for while the one before is open must not wait until the open
// step's texts and results have been read: a trainer names a rollout again only after
// it has ended the job.
func TestOpenStepIsNotReadBeforeTheNextOneStarts(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		first := spec("job", 4)
		c.accept(a, first)
		time.Sleep(6 * eventInterval)
		before := a.rows.Reads()
		second := spec("next", 4)
		second.Step = 1
		c.accept(a, second)
		synctest.Wait()
		if n := a.rows.Reads() - before; n != 0 {
			t.Errorf("%d reads between the acceptance of a job and its start, want none", n)
		}
		c.waitForResults(a, second, 3*time.Second)
	})
}

func TestCarriedOverTextOfAnOldVersionIsNotUsed(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		first := spec("job", 2)
		c.accept(a, first)
		time.Sleep(6 * eventInterval)
		if err := a.manager.End(context.Background(), first.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		c.engines.mu.Lock()
		for _, id := range []string{"e1", "e2", "e3"} {
			c.engines.version[id] = 2
			a.fleet.ObserveVersion(id, testModel, 2)
		}
		c.engines.mu.Unlock()
		second := spec("job", 2)
		second.ID, second.Step, second.MinVersion = "next", 1, 2
		c.accept(a, second)
		for _, result := range c.waitForResults(a, second, 3*time.Second) {
			if !slices.Equal(result.Versions, []uint64{2}) {
				t.Errorf("rollout %s is of versions %v", result.ID, result.Versions)
			}
		}
	})
}

func TestStaleEngineIsNotUsed(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		c.engines.version["e1"] = 2
		s := spec("job", 6)
		s.MinVersion = 2
		// Discovery is wrong: it shows version 2 for all engines.
		for _, id := range []string{"e1", "e2", "e3"} {
			a.fleet.ObserveVersion(id, testModel, 2)
		}
		c.accept(a, s)
		for _, result := range c.waitForResults(a, s, 6*time.Second) {
			if !slices.Equal(result.Versions, []uint64{2}) {
				t.Errorf("rollout %s is of versions %v", result.ID, result.Versions)
			}
		}
	})
}

func TestOnPolicyRolloutIsOfOneVersion(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		c.rules.rule.OnPolicy = true
		s := spec("job", 6)
		c.accept(a, s)
		time.Sleep(5 * eventInterval)
		c.engines.mu.Lock()
		for _, id := range []string{"e1", "e2", "e3"} {
			c.engines.version[id] = 2
		}
		c.engines.mu.Unlock()
		for _, result := range c.waitForResults(a, s, 6*time.Second) {
			if len(result.Versions) != 1 {
				t.Errorf("rollout %s is of versions %v", result.ID, result.Versions)
			}
		}
	})
}

func TestRolloutsMoveAwayFromSilentEngine(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		c.engines.silent["e1"] = true
		s := spec("job", 6)
		c.accept(a, s)
		c.waitForResults(a, s, 4*time.Second)
	})
}

func TestBrokenRunGoesOn(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		c.engines.cutAt["job.1"] = 4
		s := spec("job", 3)
		c.accept(a, s)
		c.waitForResults(a, s, 3*time.Second)
		if runs := c.engines.startsOf("job.1"); !slices.Equal(runs, []int{0, 4}) {
			t.Errorf("the broken rollout was started at events %v, want 0 and 4", runs)
		}
	})
}

// Engines crash again and again under the same sound rollout, more often than it may fail.
// It is still owed, and placed again soon after the last crash.
func TestRolloutUnderWhichEnginesCrashedIsPlacedAgain(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		c.engines.crashes["job.1"] = 12
		s := spec("job", 3)
		c.accept(a, s)
		results := c.waitForResults(a, s, 30*time.Second)
		for _, r := range results {
			if r.State != Completed {
				t.Errorf("rollout %s is %s", r.ID, r.State)
			}
		}
		// The longest pause after failures is 4 s; a run takes 0.4 s.
		if took := time.Since(c.engines.lastCrash); took > 5*time.Second {
			t.Errorf("completed %s after the last crash", took)
		}
	})
}

func TestRolloutThatAlwaysFailsIsDead(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		for _, id := range []string{"e1", "e2", "e3"} {
			c.engines.failing[id] = true
		}
		s := spec("job", 1)
		c.accept(a, s)
		results := c.waitForResults(a, s, 3*time.Second)
		if results[0].State != Dead || len(c.engines.startsOf("job.0")) != 3 {
			t.Errorf("%s after %d runs", results[0].State, len(c.engines.startsOf("job.0")))
		}
	})
}

func TestScoringIsTriedAgain(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		c.scores.fail["score job.0"] = 1
		c.scores.fail["score job.1"] = 100
		// One failure less than the limit.
		c.scores.fail["score job.2"] = scoreFailures - 1
		s := spec("job", 3)
		c.accept(a, s)
		results := c.waitForResults(a, s, 5*time.Second)
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
	withCluster(t, func(c *cluster) {
		s, a, b := c.startWithJob(20, "b", "a", "b")
		time.Sleep(300 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		began := time.Now()
		a.manager.Drain(ctx, 0)
		if took := time.Since(began); took > time.Second {
			t.Errorf("the handover took %s", took)
		}
		c.waitForResults(b, s, 3*time.Second)
		// A job that a draining host accepts is run by another host.
		late := spec("late", 2)
		c.accept(a, late)
		c.waitForResults(b, late, 3*time.Second)
	})
}

func TestStoppingHostGoesOnWhileTheStoreIsAway(t *testing.T) {
	withCluster(t, func(c *cluster) {
		s, a, b := c.startWithJob(4, "b", "a", "b")
		time.Sleep(2 * eventInterval)
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
		c.waitForResults(b, s, time.Second)
		if n := c.engines.startedRuns(); n != len(s.Rollouts) {
			t.Errorf("%d runs of %d rollouts", n, len(s.Rollouts))
		}
	})
}

func TestStoreOutageDelaysListingOnly(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, b := c.startHost("a"), c.startHost("b")
		s := spec("job", 8)
		c.accept(a, s)
		a.rows.SetDown(true)
		b.rows.SetDown(true)
		time.Sleep(4 * time.Second)
		if _, err := b.manager.Results(context.Background(), "other", 0, 0); !failure.IsKind(err, failure.StoreUnavailable) {
			t.Errorf("Results of an unknown job while the store is down: error %v, want StoreUnavailable", err)
		}
		a.rows.SetDown(false)
		b.rows.SetDown(false)
		c.waitForResults(b, s, 2*time.Second)
		if n := c.engines.startedRuns(); n != 8 {
			t.Errorf("%d runs of 8 rollouts: the outage caused a takeover", n)
		}
	})
}

func TestOldJobsAreForgotten(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, b := c.startHost("a"), c.startHost("b")
		over := spec("over", 4)
		c.accept(a, over)
		c.waitForResults(b, over, 5*time.Second)
		if err := b.manager.End(context.Background(), over.ID); err != nil {
			t.Fatal(err)
		}
		// Jobs of these hosts are kept for 90 s: a retention of 1 minute and retentionMargin.
		time.Sleep(80 * time.Second)
		c.waitForResults(b, over, time.Second)
		time.Sleep(30 * time.Second)
		for _, h := range []*host{a, b} {
			if _, err := h.manager.Results(context.Background(), over.ID, 0, 0); !failure.IsKind(err, failure.NotFound) {
				t.Errorf("Results of an expired job: error %v, want NotFound", err)
			}
		}
		if left := c.rows.Count(over.ID); left != 0 {
			t.Errorf("%d rows of an old job are left", left)
		}
	})
}

func TestHostRereadsRowsAfterHistoryIsDropped(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, b := c.startHost("a"), c.startHost("b")
		b.rows.SetDown(true)
		s := spec("job", 4)
		c.accept(a, s)
		time.Sleep(time.Second)
		c.rows.DropHistory()
		b.rows.SetDown(false)
		c.waitForResults(b, s, 3*time.Second)
	})
}

// Guards against an owner that reconnects after a partition and learns from a
// refused write, before its change feed shows it, that it lost its job. The older
// row of the feed made it the owner again, and it counted the results of the new
// owner as its own.
func TestFormerOwnerReturnsOnlyListedResultsAfterPartition(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.engines.length = 30
		s, owner, other := c.startWithJob(6, "a", "a", "b", "c")
		// The last rollouts are still running when the owner is partitioned.
		c.engines.update(func(e *fakeEngines) { e.silent["e1"] = true })
		time.Sleep(1500 * time.Millisecond)
		owner.rows.SetDown(true)
		c.engines.update(func(e *fakeEngines) { e.silent["e1"] = false })
		time.Sleep(8 * time.Second)
		want := c.waitForResults(other, s, 5*time.Second)
		owner.rows.SetDown(false)
		for range 1000 {
			time.Sleep(time.Millisecond)
			page, err := owner.manager.Results(context.Background(), s.ID, 0, 0)
			if err != nil {
				continue
			}
			if diff := cmp.Diff(want[:len(page.Results)], page.Results, cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("the former owner returns other results: %s", diff)
			}
		}
	})
}

// Drain begins right after the job was accepted, possibly before its owner runs it.
// Then only a run that starts while the host is draining can hand the job over.
func TestDrainHandsOverJobAcceptedJustBefore(t *testing.T) {
	withCluster(t, func(c *cluster) {
		s, owner, other := c.startWithJob(4, "a", "a", "b", "c")
		owner.heartbeat.SetDraining()
		owner.manager.Drain(context.Background(), 0)
		c.waitForResults(other, s, 4*time.Second)
	})
}

// Guards against a host that ends a job while its change feed lags, when the store
// then drops its history: the host never learned of the job's last results.
func TestEndedJobIsReadAgainAfterHistoryIsDropped(t *testing.T) {
	withCluster(t, func(c *cluster) {
		s, _, other := c.startWithJob(6, "a", "a", "b", "c")
		time.Sleep(100 * time.Millisecond)
		other.rows.SetDown(true)
		time.Sleep(3 * time.Second)
		c.rows.DropHistory()
		other.rows.SetDown(false)
		if err := other.manager.End(context.Background(), s.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		// A host with a lagging feed reads the store; with a current one it answers from memory.
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			c.check(s, c.read(other, s.ID))
		}
	})
}

// Guards against a host that began another takeover of a job in each pass over the jobs while
// the store was slow. It tries again meanwhile, because a connection may be silent, but not
// more often than every takeoverRetryDelay.
func TestTakeoversInASlowStoreAreFew(t *testing.T) {
	withCluster(t, func(c *cluster) {
		_, owner, other := c.startWithJob(20, "a", "a", "b")
		time.Sleep(300 * time.Millisecond)
		const writeTime = time.Second
		other.rows.SlowWrites(TableJobs, writeTime, 0)
		owner.kill()
		time.Sleep(6 * time.Second)
		if n, most := other.rows.MaxSlowWrites(), int(writeTime/takeoverRetryDelay)+1; n > most {
			t.Errorf("%d writes to the owner row at once, want at most %d", n, most)
		}
	})
}

// Guards against engines that run out of memory, which ends all their rollouts: a job has
// large and small rollouts, of which the slots of an engine would take too many. The one
// that is larger than the memory is still run, at an engine without others.
func TestRolloutsFitTheMemoryOfEngines(t *testing.T) {
	withCluster(t, func(c *cluster) {
		const capacity = 1000
		c.rules.rule.TokenCapacity = capacity
		a := c.startHost("a")
		s := spec("job", 24)
		for i := range s.Rollouts {
			s.Rollouts[i].Tokens = []int{100, 450, 300}[i%3]
		}
		c.accept(a, s)
		c.waitForResults(a, s, 20*time.Second)
		if c.engines.mostTokens > capacity {
			t.Errorf("an engine had %d tokens, want at most %d", c.engines.mostTokens, capacity)
		}
		large := spec("large", 3)
		large.Rollouts[1].Tokens = 2 * capacity
		c.accept(a, large)
		for _, r := range c.waitForResults(a, large, 20*time.Second) {
			if r.State != Completed {
				t.Errorf("rollout %s is %s", r.ID, r.State)
			}
		}
	})
}

// Counting the largest length of each rollout would leave most slots of an engine empty: it is
// several times the expected one.
func TestMemoryTokensOfARollout(t *testing.T) {
	for _, test := range []struct {
		rollout Rollout
		want    int
	}{
		{Rollout{Tokens: 14_000, PromptTokens: 1_000, LengthHint: 2_000}, 3_000},
		{Rollout{Tokens: 14_000, PromptTokens: 1_000, LengthHint: 90_000}, 14_000},
		{Rollout{Tokens: 14_000, PromptTokens: 1_000}, 14_000},
		{Rollout{Tokens: 14_000, LengthHint: 2_000}, 14_000},
		{Rollout{LengthHint: 2_000}, 2_000},
		{Rollout{Tokens: 14_000, PromptTokens: math.MaxInt, LengthHint: math.MaxInt}, 14_000},
		{Rollout{}, 0},
		{Rollout{LengthHint: -5}, 0},
	} {
		if got := test.rollout.memoryTokens(); got != test.want {
			t.Errorf("%+v takes %d tokens, want %d", test.rollout, got, test.want)
		}
	}
}
