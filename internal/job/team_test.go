package job

import (
	"bytes"
	"context"
	"maps"
	"testing"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// forgetJob removes a job from what a host knows from the feed, as if it was accepted elsewhere
// a moment ago, until restore is called.
func forgetJob(h *host, id string) (restore func()) {
	set := func(state *jobState) *jobState {
		h.manager.mu.Lock()
		defer h.manager.mu.Unlock()
		before := h.manager.jobs[id]
		delete(h.manager.jobs, id)
		if state != nil {
			h.manager.jobs[id] = state
		}
		return before
	}
	before := set(nil)
	return func() { set(before) }
}

// largeSpec returns a job of a team whose spec needs several transactions.
func largeSpec(team string) *Spec {
	s := spec("job", 4)
	s.Team = team
	s.Rollouts[0].Body = bytes.Repeat([]byte(team+" "), maxCommitBytes/4)
	return s
}

// A job id that two teams use must not be acknowledged to the second one, and its
// submission must not replace what the first one submitted: a host that takes the job over
// would run it.
func TestJobIDOfTwoTeams(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, b := c.startHost("a"), c.startHost("b")
		first := largeSpec("red")
		c.accept(a, first)
		for _, team := range []string{"blue", ""} {
			for _, h := range []*host{a, b} {
				for _, forget := range []bool{false, true} {
					restore := func() {}
					if owner, _ := c.ownerAndOther(first.ID); forget && h != owner {
						restore = forgetJob(h, first.ID)
					}
					err := h.manager.Accept(context.Background(), largeSpec(team), 1)
					restore()
					if e := failure.As(err); err == nil || e.Kind != failure.Conflict || e.Outcome != failure.NotRun {
						t.Errorf("submission of team %q at host %s: %v, want a conflict that was not run", team, h.id, err)
					}
				}
			}
		}
		c.accept(a, largeSpec("red"))
		owner, other := c.ownerAndOther(first.ID)
		owner.kill()
		c.waitForResults(other, first, 12*time.Second)
		body, err := other.manager.Body(context.Background(), first.ID, first.Rollouts[0].ID)
		if err != nil || !bytes.Equal(body, first.Rollouts[0].Body) {
			t.Errorf("the body is not that of the first team: %d bytes, %.20q, %v", len(body), body, err)
		}
		row, err := other.manager.Owner(context.Background(), first.ID)
		if err != nil || row.Team != "red" {
			t.Errorf("the job belongs to team %q, %v", row.Team, err)
		}
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		if len(c.engines.teams) != 1 || c.engines.teams["red"] == 0 {
			t.Errorf("attempts by team are %v, want only those of red", maps.Clone(c.engines.teams))
		}
	})
}

// Texts of one team must not be given to another one that names the same model and
// rollout ids.
func TestNothingIsCarriedOverBetweenTeams(t *testing.T) {
	for _, atOwner := range []bool{true, false} {
		withCluster(t, func(c *cluster) {
			a := c.startHost("a")
			first := spec("job", 4)
			first.Team = "red"
			c.accept(a, first)
			time.Sleep(6 * eventInterval)
			if err := a.manager.End(context.Background(), first.ID); err != nil {
				t.Fatal(err)
			}
			time.Sleep(300 * time.Millisecond)
			reader := a
			if !atOwner {
				reader = c.startHost("b")
				a.kill()
				time.Sleep(3 * time.Second)
			}
			second := spec("job", 4)
			second.ID, second.Step, second.Team = "next", 1, "blue"
			c.accept(reader, second)
			c.waitForResults(reader, second, 6*time.Second)
			for _, rollout := range second.Rollouts {
				if runs := c.engines.startsOf(rollout.ID); len(runs) != 2 || runs[1] != 0 {
					t.Errorf("rollout %s was started at events %v, want the second start at event 0", rollout.ID, runs)
				}
			}
		})
	}
}
