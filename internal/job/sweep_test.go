package job

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// Guards against the deletion of a complete job that its trainer has not ended: a trainer that
// was away for longer than the retention found its finished step gone. It is forgotten once it
// is ended, but not before a lost answer to the end can be asked for again.
func TestCompleteJobIsKeptUntilItIsEnded(t *testing.T) {
	withCluster(t, func(c *cluster) {
		s, a, b := c.startWithJob(4, "a", "a", "b")
		want := c.waitForResults(b, s, 5*time.Second)
		time.Sleep(10 * time.Minute)
		for _, h := range []*host{a, b} {
			if diff := cmp.Diff(want, c.read(h, s.ID)); diff != "" {
				t.Errorf("results at %s have changed: %s", h.id, diff)
			}
		}
		if n := a.manager.Load().Unended + b.manager.Load().Unended; n != 1 {
			t.Errorf("%d jobs are reported as complete and open past their retention, want 1", n)
		}
		for range 2 {
			if err := b.manager.End(context.Background(), s.ID); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Second)
		}
		time.Sleep(time.Minute)
		for _, h := range []*host{a, b} {
			if _, err := h.manager.Results(context.Background(), s.ID, 0, 0); !failure.IsKind(err, failure.NotFound) {
				t.Errorf("Results of an expired job: error %v, want NotFound", err)
			}
		}
		if left := c.rows.Count(s.ID); left != 0 {
			t.Errorf("%d rows of an old job are left", left)
		}
	})
}

// Guards against a host that took the rows of a complete job for final and so never learned of
// its end, which it alone has to act on.
func TestEndOfACompleteJobIsLearnedAfterHistoryIsDropped(t *testing.T) {
	withCluster(t, func(c *cluster) {
		s, a, b := c.startWithJob(4, "a", "a", "b")
		c.waitForResults(b, s, 5*time.Second)
		a.rows.SetDown(true)
		time.Sleep(500 * time.Millisecond)
		if err := b.manager.End(context.Background(), s.ID); err != nil {
			t.Fatal(err)
		}
		c.rows.DropHistory()
		a.rows.SetDown(false)
		time.Sleep(3 * time.Second)
		a.manager.mu.Lock()
		defer a.manager.mu.Unlock()
		if !a.manager.jobs[s.ID].ended {
			t.Error("the host has not learned of the end")
		}
	})
}
