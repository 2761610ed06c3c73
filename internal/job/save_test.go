package job

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// boundedStore refuses rows above the largest size, as the platform does.
type boundedStore struct{ platform.RowStore }

func (s boundedStore) Commit(ctx context.Context, tx platform.RowTransaction) (platform.CommitResult, error) {
	for _, write := range tx.Writes {
		if len(write.Value) > maxValueBytes {
			return platform.CommitResult{}, failure.New(failure.Internal, "", "row %s has %d bytes", write.Key, len(write.Value))
		}
	}
	return s.RowStore.Commit(ctx, tx)
}

// Guards against an event that is too large for a row: no text of its job was saved any more,
// and a stopping host did not hand the job over.
func TestLargeEventDoesNotBlockSavingAndHandOver(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.engines.length = 100
		c.engines.pad = map[string]string{"job.0": strings.Repeat("x", maxValueBytes)}
		s, owner, other := c.startWithJob(4, "a", "a", "b")
		for _, h := range c.hosts {
			h.manager.store.rows = boundedStore{h.rows}
		}
		time.Sleep(20 * eventInterval)
		owner.heartbeat.SetDraining()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		began := time.Now()
		owner.manager.Drain(ctx, 0)
		if took := time.Since(began); took > time.Second {
			t.Errorf("the hand-over took %s", took)
		}
		c.waitForResults(other, s, 8*time.Second)
		for _, rollout := range s.Rollouts[1:] {
			if runs := c.engines.startsOf(rollout.ID); len(runs) != 2 || runs[1] == 0 {
				t.Errorf("rollout %s was started at events %v, want a second start after event 0", rollout.ID, runs)
			}
		}
	})
}
