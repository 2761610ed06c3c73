package job

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// An owner that is told of its job starts it before its change feed shows it.
func TestOwnerIsToldOfItsJob(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.notifies = true
		a := c.startHost("a")
		c.startHost("b")
		first := spec("first", 2)
		c.accept(a, first)
		owner, other := c.ownerAndOther(first.ID)
		c.waitForResults(owner, first, 3*time.Second)
		// Without the store, the owner learns of the job only by being told.
		owner.rows.SetDown(true)
		s := spec("job", 3)
		c.accept(other, s)
		synctest.Wait()
		if n := c.engines.startedRuns(); n != 2+3 {
			t.Errorf("%d of 3 rollouts began at once", n-2)
		}
		owner.rows.SetDown(false)
		results := c.waitForResults(owner, s, 3*time.Second)
		if diff := cmp.Diff(results, c.read(other, s.ID)); diff != "" {
			t.Errorf("hosts return different results: %s", diff)
		}
	})
}

// An acceptance that arrives late, after another host took the job over, starts nothing.
func TestLateAcceptanceStartsNothing(t *testing.T) {
	withCluster(t, func(c *cluster) {
		s, owner, other := c.startWithJob(8, "a", "a", "b")
		row, version, err := c.ownerRow(s.ID)
		if err != nil {
			t.Fatal(err)
		}
		late := Acceptance{ID: s.ID, Owner: row, Version: version, Spec: s}
		time.Sleep(300 * time.Millisecond)
		owner.rows.SetDown(true)
		c.waitForResults(other, s, 6*time.Second)
		owner.rows.SetDown(false)
		time.Sleep(time.Second)
		begun := c.engines.startedRuns()
		owner.manager.Accepted(late)
		time.Sleep(time.Second)
		if n := c.engines.startedRuns() - begun; n != 0 {
			t.Errorf("%d runs began after a late acceptance", n)
		}
	})
}

// Guards against an acceptance that arrives after the job's end, at an owner whose feed shows
// neither yet: the job ran although the owner itself had acknowledged the end.
func TestAcceptanceThatArrivesAfterTheEndStartsNothing(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.notifies = true
		// Feeds are read every 5 s while nobody waits for results.
		c.feedFactor = 200
		first, owner, other := c.startWithJob(2, "a", "a", "b")
		c.waitForResults(owner, first, 3*time.Second)
		time.Sleep(1600 * time.Millisecond)
		c.notifyDelay = 200 * time.Millisecond
		s := spec("ended", 6)
		begun := c.engines.startedRuns()
		c.accept(other, s)
		if err := owner.manager.End(context.Background(), s.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if n := c.engines.startedRuns() - begun; n > 0 {
			t.Errorf("%d runs began after the end", n)
		}
	})
}

// Guards against a host that started a job again which it had just handed over, because its
// feed did not show the hand-over yet.
func TestHandedOverJobIsNotStartedAgain(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.notifies = true
		// Feeds are read every 5 s while nobody waits for results.
		c.feedFactor = 200
		c.engines.length = 100
		s, owner, _ := c.startWithJob(4, "a", "a", "b")
		time.Sleep(1500 * time.Millisecond)
		owner.rows.SlowWrites(TableJobs, 100*time.Millisecond, 0)
		owner.heartbeat.SetDraining()
		owner.manager.Drain(context.Background(), 0)
		begun := c.engines.startedRuns()
		time.Sleep(500 * time.Millisecond)
		if row, _, err := c.ownerRow(s.ID); err != nil || row.Host != "" {
			t.Fatalf("the job has the owner %q, %v", row.Host, err)
		}
		if n := c.engines.startedRuns() - begun; n > 0 {
			t.Errorf("the host that handed the job over began %d runs", n)
		}
	})
}
