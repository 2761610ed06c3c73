package job

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// runTag is what tagged engines add to the data of each event of a rollout's run.
func runTag(run int) string { return fmt.Sprintf("@%d", run) }

// checkRunsAreNotMixed checks that each text goes on with another run only where that run was
// asked to, after the very events that it was given. The engines must be tagged.
func (c *cluster) checkRunsAreNotMixed(results []Result) {
	c.t.Helper()
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	for _, r := range results {
		lines := strings.Split(r.Text, "\n")
		if len(lines) != c.engines.length {
			c.t.Errorf("the text of %s has %d events, want %d", r.ID, len(lines), c.engines.length)
		}
		before := -1
		for i, line := range lines {
			var run int
			_, tag, _ := strings.Cut(line, "@")
			if _, err := fmt.Sscan(tag, &run); err != nil || line != eventText(r.ID, i+1)+runTag(run) {
				c.t.Errorf("event %d of %s is %q", i+1, r.ID, line)
				break
			}
			if run != before {
				prior := dataOf(c.engines.priors[r.ID][run])
				if !slices.Equal(prior, lines[:i]) {
					c.t.Errorf("after event %d the text of %s goes on with run %d, which was asked to go on after event %d of %q",
						i, r.ID, run, len(prior), prior[max(0, len(prior)-2):])
					break
				}
			}
			before = run
		}
	}
}

func dataOf(events []Event) []string {
	data := make([]string, len(events))
	for i, e := range events {
		data[i] = e.Data
	}
	return data
}

// waitForTaggedResults is like waitForResults for tagged engines: it checks the runs of each text.
func (c *cluster) waitForTaggedResults(s *Spec, within time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		results := c.read(c.liveHosts()[0], s.ID)
		if len(results) == len(s.Rollouts) {
			c.checkRunsAreNotMixed(results)
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("%d of %d results of %s are listed after %s", len(results), len(s.Rollouts), s.ID, within)
		}
	}
}

// useVersion makes engines use a weight version, which all hosts know at once.
func (c *cluster) useVersion(version uint64, engines ...string) {
	c.engines.update(func(e *fakeEngines) {
		for _, id := range engines {
			e.version[id] = version
		}
	})
	for _, h := range c.liveHosts() {
		for _, id := range engines {
			h.fleet.ObserveVersion(id, testModel, version)
		}
	}
}

// killOwner kills the owner of a job and waits until another host owns it.
func (c *cluster) killOwner(id string) {
	c.t.Helper()
	owner, _ := c.ownerAndOther(id)
	c.killFormerOwner(id, owner)
}

// killFormerOwner kills a host that owns a job, or has handed it over, and waits until
// another host owns it, unless the job is complete.
func (c *cluster) killFormerOwner(id string, owner *host) {
	c.t.Helper()
	owner.kill()
	for end := time.Now().Add(6 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		row, _, err := c.ownerRow(id)
		switch {
		case err != nil:
			c.t.Fatal(err)
		case row.Host != "" && row.Host != owner.id, row.Listed == row.Total:
			return
		case time.Now().After(end):
			c.t.Fatal("no host takes the job over")
		}
	}
}

// Guards against a save of text that gets no answer and is executed late: it put back a
// shorter row, and after two kills of the owner the rows behind that gap, of the first
// run, were joined with those of the second one.
func TestLateSaveDoesNotMixRuns(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.engines.tagged, c.engines.length = true, 100
		s, owner, _ := c.startWithJob(2, "a", "a", "b", "c")
		owner.rows.DelayWritesTo(tableTexts, 1, time.Second)
		time.Sleep(50 * eventInterval)
		c.killOwner(s.ID)
		time.Sleep(15 * eventInterval)
		c.killOwner(s.ID)
		c.waitForTaggedResults(s, 10*time.Second)
		for _, rollout := range s.Rollouts {
			// The first owner had saved more than the late save.
			if runs := c.engines.startsOf(rollout.ID); !slices.ContainsFunc(runs, func(after int) bool { return after > 0 && after < 15 }) {
				t.Errorf("the runs of %s began after events %v, want one after the last event of the late save", rollout.ID, runs)
			}
		}
	})
}

// The rows of a text are told from those of earlier runs by their versions.
func TestRowsOfEarlierRunsAreNotJoined(t *testing.T) {
	row := func(version uint64, from, restarts int, events ...string) platform.VersionedRow {
		saved := textRow{From: from, Restarts: restarts}
		for _, e := range events {
			saved.Events = append(saved.Events, Event{Data: e})
		}
		value, err := json.Marshal(saved)
		if err != nil {
			t.Fatal(err)
		}
		return platform.VersionedRow{RowID: platform.RowID{Key: fmt.Sprintf("r/%08d", from)}, Value: value, Version: version}
	}
	type texts struct {
		Events          string
		Restarts, Stale int
	}
	for _, test := range []struct {
		name string
		rows []platform.VersionedRow
		want texts
	}{
		{"one run", []platform.VersionedRow{row(1, 0, 0, "a", "b"), row(2, 2, 0, "c"), row(5, 3, 0, "d")}, texts{"a b c d", 0, 0}},
		{"late save before a takeover", []platform.VersionedRow{row(9, 0, 0, "a"), row(2, 2, 0, "c"), row(5, 3, 0, "d")}, texts{"a", 0, 2}},
		{"second run behind the gap", []platform.VersionedRow{row(9, 0, 0, "a"), row(12, 1, 0, "B"), row(2, 2, 0, "c"), row(5, 3, 0, "d")}, texts{"a B", 0, 2}},
		{"second run on both sides of an older row", []platform.VersionedRow{row(9, 0, 0, "a"), row(12, 1, 0, "B", "C"), row(2, 2, 0, "c"), row(13, 3, 0, "D"), row(5, 4, 0, "e")}, texts{"a B C D", 0, 2}},
		{"late save of a larger number of events", []platform.VersionedRow{row(3, 0, 0, "a", "b", "c"), row(4, 2, 0, "c", "d")}, texts{"a b c d", 0, 0}},
		{"dropped text", []platform.VersionedRow{row(6, 0, 1, "A", "B"), row(2, 2, 0, "c")}, texts{"A B", 1, 1}},
		{"late save of a dropped text", []platform.VersionedRow{row(9, 0, 0, "a"), row(6, 2, 1, "C")}, texts{"", 1, 2}},
		{"next run after a late save of a dropped text", []platform.VersionedRow{row(12, 0, 1, "X", "Y"), row(6, 2, 1, "C")}, texts{"X Y", 1, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			joined, stale := joinTexts(test.rows)
			got := texts{strings.Join(dataOf(joined["r"].events), " "), joined["r"].restarts, stale}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestRandomLateSaves plays late saves, lost answers, kills, stops and changes of the weight
// version in random order.
func TestRandomLateSaves(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			withCluster(t, func(c *cluster) { c.playLateSaves(rand.New(rand.NewPCG(seed, 46)), 20) })
		})
	}
}

// playLateSaves runs a job of long rollouts through a number of random faults.
func (c *cluster) playLateSaves(random *rand.Rand, faults int) {
	c.engines.tagged, c.engines.length = true, 400
	c.rules.rule.OnPolicy = random.IntN(2) == 0
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	s, _, _ := c.startWithJob(2, "a", "a", "b", "c")
	version := uint64(1)
	for range faults {
		time.Sleep(upTo(1200 * time.Millisecond))
		owner, _ := c.ownerAndOther(s.ID)
		if row, _, err := c.ownerRow(s.ID); err != nil || row.Listed > 0 {
			break
		}
		switch random.IntN(7) {
		case 0, 1, 2:
			owner.rows.DelayWritesTo(tableTexts, 1+random.IntN(2), upTo(4*time.Second))
		case 3:
			owner.rows.LoseAnswers(1 + random.IntN(2))
		case 4:
			c.killOwner(s.ID)
			c.startHost(owner.id)
		case 5:
			version++
			c.useVersion(version, fmt.Sprintf("e%d", 1+random.IntN(3)))
		case 6:
			owner.heartbeat.SetDraining()
			owner.manager.Drain(context.Background(), upTo(time.Second))
			c.killFormerOwner(s.ID, owner)
			c.startHost(owner.id)
		}
	}
	// No text waits for an older version.
	c.useVersion(version+1, "e1", "e2", "e3")
	c.waitForTaggedResults(s, 60*time.Second)
}
