package job

import (
	"testing"
	"time"
)

// Guards against a rollout with text of a weight version that no engine has any more: if one
// version must generate the whole text, it waited until its time was over, beside idle engines.
func TestOnPolicyTextOfAVersionThatIsGoneIsGeneratedAgain(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.rules.rule.OnPolicy = true
		a := c.startHost("a")
		c.engines.slow["e1"] = 2
		s := spec("job", 6)
		c.accept(a, s)
		// The other engines finish their rollouts and load the next version. Then the slow one
		// is gone for good in the middle of its own.
		time.Sleep(12 * eventInterval)
		c.useVersion2(a, "e2", "e3")
		c.engines.update(func(e *fakeEngines) { e.gone["e1"] = true })
		a.fleet.Remove("e1")
		again := 0
		for _, r := range c.waitForResults(a, s, 4*time.Second) {
			if len(r.Versions) != 1 {
				t.Errorf("rollout %s is of versions %v", r.ID, r.Versions)
			}
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
		for _, r := range c.waitForResults(a, s, 8*time.Second) {
			if len(r.Versions) != 1 {
				t.Errorf("rollout %s is of versions %v", r.ID, r.Versions)
			}
		}
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
		c.rules.rule.OnPolicy = true
		a := c.startHost("a")
		c.engines.slow["e1"] = 2
		s := spec("job", 6)
		c.accept(a, s)
		time.Sleep(12 * eventInterval)
		c.useVersion2(a, "e2", "e3")
		c.engines.update(func(e *fakeEngines) { e.gone["e1"] = true })
		for _, r := range c.waitForResults(a, s, 6*time.Second) {
			if len(r.Versions) != 1 {
				t.Errorf("rollout %s is of versions %v", r.ID, r.Versions)
			}
		}
	})
}
