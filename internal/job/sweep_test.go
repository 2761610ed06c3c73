package job

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
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

// losingStore loses the transactions that write to a table, while lose is set.
type losingStore struct {
	platform.RowStore
	table string
	lose  bool
}

func (s *losingStore) Commit(ctx context.Context, tx platform.RowTransaction) (platform.CommitResult, error) {
	if s.lose && tx.Writes[0].Table == s.table {
		return platform.CommitResult{}, failure.New(failure.StoreInDoubt, "", "the store did not answer")
	}
	return s.RowStore.Commit(ctx, tx)
}

// Guards against a deletion in doubt that counted as done: the rows stayed for ever, because
// the row by which hosts find the job was deleted next.
func TestDeletionInDoubtIsRepeated(t *testing.T) {
	for _, table := range []string{tableTexts, tableResults, tableSpecs, TableJobs} {
		withCluster(t, func(c *cluster) {
			s, a, b := c.startWithJob(4, "a", "a", "b")
			time.Sleep(6 * eventInterval)
			saveNow(a, s.ID)
			c.waitForResults(b, s, 5*time.Second)
			if err := b.manager.End(context.Background(), s.ID); err != nil {
				t.Fatal(err)
			}
			rows := &losingStore{RowStore: a.rows, table: table, lose: true}
			m := &Manager{store: store{rows}}
			if err := m.deleteJob(context.Background(), s.ID); err == nil {
				t.Errorf("%s: a deletion in doubt counts as done", table)
			}
			rows.lose = false
			if err := m.deleteJob(context.Background(), s.ID); err != nil {
				t.Error(err)
			}
			if left := c.rows.Count(s.ID); left != 0 {
				t.Errorf("%s: %d rows of a deleted job are left", table, left)
			}
		})
	}
}
