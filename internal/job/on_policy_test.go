package job

import (
	"testing"
	"time"
)

// loseEngineOfOldVersion starts a host with an on-policy job. Two engines finish their rollouts
// and load the next version; then the third, which is slow, can't be reached any more in the
// middle of its own. Discovery still shows it.
func (c *cluster) loseEngineOfOldVersion() (*host, *Spec) {
	c.t.Helper()
	c.rules.rule.OnPolicy = true
	h := c.startHost("a")
	c.engines.slow["e1"] = 2
	s := spec("job", 6)
	c.accept(h, s)
	time.Sleep(12 * eventInterval)
	c.useVersion2(h, "e2", "e3")
	c.engines.update(func(e *fakeEngines) { e.gone["e1"] = true })
	return h, s
}

// checkOneVersion checks that one weight version generated each text.
func (c *cluster) checkOneVersion(results []Result) {
	c.t.Helper()
	for _, r := range results {
		if len(r.Versions) != 1 {
			c.t.Errorf("rollout %s is of versions %v", r.ID, r.Versions)
		}
	}
}

// Guards against a rollout with text of a weight version that no engine has any more: if one
// version must generate the whole text, it waited until its time was over, beside idle engines.
func TestOnPolicyTextOfAVersionThatIsGoneIsGeneratedAgain(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, s := c.loseEngineOfOldVersion()
		a.fleet.Remove("e1")
		again := 0
		results := c.waitForResults(a, s, 4*time.Second)
		c.checkOneVersion(results)
		for _, r := range results {
			if runs := c.engines.startsOf(r.ID); len(runs) == 2 && runs[1] == 0 && r.Versions[0] == 2 {
				again++
			}
		}
		if again == 0 {
			t.Error("no rollout was generated again under the next version")
		}
	})
}

// While an engine has the version of the text, the rollout waits for it, and its text is kept.
func TestOnPolicyTextWaitsForAnEngineWithItsVersion(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.rules.rule.OnPolicy = true
		c.engines.length = 40
		a := c.startHost("a")
		s := spec("job", 12)
		c.accept(a, s)
		time.Sleep(5 * eventInterval)
		c.engines.update(func(e *fakeEngines) { e.gone["e1"] = true })
		a.fleet.Remove("e1")
		c.useVersion2(a, "e3")
		c.checkOneVersion(c.waitForResults(a, s, 8*time.Second))
		kept := 0
		for _, rollout := range s.Rollouts {
			if runs := c.engines.startsOf(rollout.ID); runs[len(runs)-1] > 0 {
				kept++
			}
		}
		if kept == 0 {
			t.Error("no text was kept")
		}
	})
}

// Guards against a text that waits without end for the one engine with its version, which is
// listed and refuses.
func TestOnPolicyTextDoesNotWaitWithoutEnd(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a, s := c.loseEngineOfOldVersion()
		c.checkOneVersion(c.waitForResults(a, s, 6*time.Second))
	})
}
