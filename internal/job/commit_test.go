package job

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
)

// Of two hosts that accept one job at the same moment, the second one must not replace
// the owner row of the first.
func TestSecondAcceptanceConflicts(t *testing.T) {
	rows := platformtest.NewRows().Client()
	last, _, err := acceptTransactions(spec("job", 2), OwnerRow{Host: "a", Total: 2}, func(platform.RowTransaction) error {
		t.Error("a small job needs more than one transaction")
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := rows.Commit(context.Background(), last); err != nil {
		t.Fatal(err)
	}
	if _, err := rows.Commit(context.Background(), last); !failure.IsKind(err, failure.Conflict) {
		t.Errorf("the second acceptance ended with %v, want a conflict", err)
	}
}

// A listing whose reply was lost is recognised when it is repeated. The run goes on: no
// rollout is generated again.
func TestLostReplyOfAListingEndsNoRun(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		// Twelve rollouts have slots; two begin later and still run when the first results
		// are listed.
		s := spec("job", 14)
		c.accept(a, s)
		time.Sleep((testEvents - 1) * eventInterval)
		for len(c.read(a, s.ID)) == 0 {
			a.rows.LoseAnswers(1)
			time.Sleep(10 * time.Millisecond)
		}
		a.rows.LoseAnswers(0)
		c.waitForResults(a, s, 6*time.Second)
		for _, rollout := range s.Rollouts {
			if runs := c.engines.startsOf(rollout.ID); len(runs) != 1 {
				t.Errorf("rollout %s was started %d times", rollout.ID, len(runs))
			}
		}
	})
}

// An owner row that counts results which this run did not list must end the run: listing
// at its own positions would replace results that a trainer may have read.
func TestResultsOfAnotherWriterKeepTheirPositions(t *testing.T) {
	// The late write comes before the run saves texts, and right before it lists as many
	// results as the late write did.
	for _, after := range []time.Duration{testEvents / 2 * eventInterval, testEvents*eventInterval - time.Millisecond} {
		withCluster(t, func(c *cluster) { lateListing(c, after) })
	}
}

// lateListing runs a job into which a listing of another run falls at a time after its
// acceptance, and checks its results.
func lateListing(c *cluster, after time.Duration) {
	t := c.t
	t.Helper()
	a := c.startHost("a")
	s := spec("job", 4)
	c.accept(a, s)
	time.Sleep(after)
	// A write of an earlier run of this process takes effect late.
	owner, version, err := c.ownerRow(s.ID)
	if err != nil {
		t.Fatal(err)
	}
	events := make([]Event, testEvents)
	for n := range events {
		events[n] = Event{Data: eventText(s.Rollouts[3].ID, n+1), Version: 1}
	}
	late := completed(events, "signature of score "+s.Rollouts[3].ID, "score "+s.Rollouts[3].ID)
	late.ID = s.Rollouts[3].ID
	tx, _, _, err := listTransaction(s.ID, version, owner, []Result{late})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.rows.Client().Commit(context.Background(), tx); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	results := c.read(a, s.ID)
	seen := map[string]bool{}
	for _, result := range results {
		if seen[result.ID] {
			t.Errorf("rollout %s stands at two positions", result.ID)
		}
		seen[result.ID] = true
	}
	if len(results) != 4 || results[0].ID != late.ID {
		t.Errorf("results are %s, want 4, the first one of %s", fmt.Sprint(results), late.ID)
	}
}
