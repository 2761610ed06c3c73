package job

import (
	"testing"
	"time"
)

// Guards against an owner whose configuration is older than the job's acceptance: it took
// the route that it had not received for one that was gone, and gave all rollouts up.
func TestJobOnARouteThatItsOwnerHasNotReceivedIsNotGivenUp(t *testing.T) {
	for _, test := range []struct {
		name     string
		notifies bool
	}{{"the owner is told", true}, {"the owner reads its feed", false}} {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, func(c *cluster) {
				c.notifies = test.notifies
				s, owner, other := c.startWithJob(2, "a", "a", "b")
				c.waitForResults(owner, s, 3*time.Second)
				c.rules.since.Store(2)
				other.rules.version.Store(2)
				added := spec("added", 6)
				begun := c.engines.startedRuns()
				c.accept(other, added)
				time.Sleep(1500 * time.Millisecond)
				if listed := c.read(other, added.ID); len(listed) > 0 || c.engines.startedRuns() > begun {
					t.Errorf("%d results are listed and %d runs began before the owner has the route", len(listed), c.engines.startedRuns()-begun)
				}
				owner.rules.version.Store(2)
				for _, r := range c.waitForResults(other, added, 3*time.Second) {
					if r.State != Completed {
						t.Errorf("rollout %s is %s", r.ID, r.State)
					}
				}
			})
		})
	}
}

// The same for a host that takes a job over.
func TestTakeoverByAHostWithoutTheRouteGivesNothingUp(t *testing.T) {
	withCluster(t, func(c *cluster) {
		owner, other := c.startHost("a"), c.startHost("b")
		c.rules.since.Store(2)
		owner.rules.version.Store(2)
		other.rules.version.Store(2)
		s := spec("job", 6)
		c.accept(owner, s)
		owner, other = c.ownerAndOther(s.ID)
		other.rules.version.Store(1)
		owner.kill()
		time.Sleep(4 * time.Second)
		if row, _, err := c.ownerRow(s.ID); err != nil || row.Host != other.id {
			t.Fatalf("the owner is %q, %v; want %q", row.Host, err, other.id)
		}
		other.rules.version.Store(2)
		for _, r := range c.waitForResults(other, s, 3*time.Second) {
			if r.State != Completed {
				t.Errorf("rollout %s is %s", r.ID, r.State)
			}
		}
	})
}

// A route that is gone from a later configuration ends its jobs.
func TestJobOnARemovedRouteIsGivenUp(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.engines.length = 100
		s, owner, other := c.startWithJob(20, "a", "a", "b")
		// Twelve rollouts get slots and go on.
		time.Sleep(5 * eventInterval)
		c.rules.until.Store(2)
		owner.rules.version.Store(2)
		time.Sleep(200 * time.Millisecond)
		dead := 0
		for _, r := range c.read(other, s.ID) {
			if r.State == Dead {
				dead++
			}
		}
		if dead != 8 {
			t.Errorf("%d of 8 waiting rollouts are dead", dead)
		}
	})
}
