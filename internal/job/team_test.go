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
		other := largeSpec("")
		other.Step++
		for _, test := range []struct {
			spec *Spec
			want failure.Outcome
		}{{largeSpec("blue"), failure.NotRun}, {other, failure.Unknown}} {
			for _, h := range []*host{a, b} {
				for _, forget := range []bool{false, true} {
					restore := func() {}
					if owner, _ := c.ownerAndOther(first.ID); forget && h != owner {
						restore = forgetJob(h, first.ID)
					}
					err := h.manager.Accept(context.Background(), test.spec, 1)
					restore()
					if e := failure.As(err); err == nil || e.Kind != failure.Conflict || e.Outcome != test.want {
						t.Errorf("submission of team %q at host %s: %v, want a conflict with outcome %s", test.spec.Team, h.id, err, test.want)
					}
				}
			}
		}
		c.accept(a, largeSpec("red"))
		owner, survivor := c.ownerAndOther(first.ID)
		owner.kill()
		c.waitForResults(survivor, first, 12*time.Second)
		body, err := survivor.manager.Body(context.Background(), first.ID, first.Rollouts[0].ID)
		if err != nil || !bytes.Equal(body, first.Rollouts[0].Body) {
			t.Errorf("the body is not that of the first team: %d bytes, %.20q, %v", len(body), body, err)
		}
		row, err := survivor.manager.Owner(context.Background(), first.ID)
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

// dropTeam writes the owner row of a job back without its team, as a process of an older
// version does.
func (c *cluster) dropTeam(id string) {
	row, _, err := c.ownerRow(id)
	if err != nil {
		c.t.Fatal(err)
	}
	row.Team = ""
	write, err := ownerWrite(id, row)
	if err != nil {
		c.t.Fatal(err)
	}
	c.rows.Put(write.RowID, write.Value)
}

// A process of an older version that writes the owner row drops the team. Nobody else may
// get the job by that, and a host that takes it over must find its spec. A refused
// submission of another team has left rows in the store.
func TestTeamIsDroppedFromOwnerRow(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		s := largeSpec("red")
		c.accept(a, s)
		restore := forgetJob(a, s.ID)
		for _, team := range []string{"blue", ""} {
			_ = a.manager.Accept(context.Background(), largeSpec(team), 1)
		}
		restore()
		a.kill()
		c.dropTeam(s.ID)
		time.Sleep(3 * time.Second)
		b := c.startHost("b")
		row, _, err := c.ownerRow(s.ID)
		if err != nil {
			t.Fatal(err)
		}
		row.Team = ""
		if team, err := b.manager.TeamOf(context.Background(), s.ID, row); team != "red" || err != nil {
			t.Errorf("the job is of team %q, %v", team, err)
		}
		c.waitForResults(b, s, 12*time.Second)
		if body, err := b.manager.Body(context.Background(), s.ID, s.Rollouts[0].ID); err != nil || !bytes.Equal(body, s.Rollouts[0].Body) {
			t.Errorf("the body is not that of the team: %d bytes, %v", len(body), err)
		}
		if row, _, err := c.ownerRow(s.ID); err != nil || row.Team != "red" {
			t.Errorf("the owner row has team %q, %v", row.Team, err)
		}
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		if len(c.engines.teams) != 1 || c.engines.teams["red"] == 0 {
			t.Errorf("attempts by team are %v, want only those of red", maps.Clone(c.engines.teams))
		}
	})
}

// The spec of a job without a team must be read for the decision at most once, since its
// results may be read at any rate.
func TestTeamOfJobWithoutTeamIsReadOnce(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, b := c.startHost("a"), c.startHost("b")
		s := spec("job", 4)
		c.accept(a, s)
		c.waitForResults(a, s, 12*time.Second)
		time.Sleep(time.Second)
		for _, h := range []*host{a, b} {
			row, known := h.manager.KnownOwner(s.ID)
			before := h.rows.Reads()
			for range 5 {
				if team, err := h.manager.TeamOf(context.Background(), s.ID, row); team != "" || err != nil || !known {
					t.Errorf("known %t, team %q, %v", known, team, err)
				}
			}
			if reads := h.rows.Reads() - before; reads > 1 {
				t.Errorf("host %s made %d reads", h.id, reads)
			}
		}
	})
}

// A job that runs must not be reported as not run to a trainer that repeats its submission
// with a key, or without one: it was accepted before there were teams, or at a host with an
// older configuration.
func TestRepeatAcrossTheIntroductionOfTeams(t *testing.T) {
	for _, teams := range [][2]string{{"", "red"}, {"red", ""}} {
		withCluster(t, func(c *cluster) {
			a, b := c.startHost("a"), c.startHost("b")
			first := spec("job", 4)
			first.Team = teams[0]
			c.accept(a, first)
			for _, change := range []func(*Spec){
				nil, func(s *Spec) { s.Step++ }, func(s *Spec) { s.Model = "other" }, func(s *Spec) { s.MinVersion++ },
				func(s *Spec) { s.Rollouts = s.Rollouts[1:] },
			} {
				repeat := spec("job", 4)
				repeat.Team = teams[1]
				if change != nil {
					change(repeat)
				}
				for _, h := range []*host{a, b} {
					for _, forget := range []bool{false, true} {
						restore := func() {}
						if owner, _ := c.ownerAndOther(first.ID); forget && h != owner {
							restore = forgetJob(h, first.ID)
						}
						err := h.manager.Accept(context.Background(), repeat, 1)
						restore()
						if change == nil && err != nil {
							t.Errorf("repeat of team %q's job by %q: %v", teams[0], teams[1], err)
						}
						if e := failure.As(err); change != nil && (err == nil || e.Kind != failure.Conflict || e.Outcome != failure.Unknown) {
							t.Errorf("another job of team %q with the id of a job of %q: %v, want a conflict with an unknown outcome", teams[1], teams[0], err)
						}
					}
				}
			}
			c.waitForResults(a, first, 12*time.Second)
		})
	}
}
