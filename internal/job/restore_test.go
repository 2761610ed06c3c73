package job

import (
	"testing"
	"time"
)

// Guards against saved rows of a text that was dropped: after a takeover they followed the
// first events of the next one, of another version.
func TestRowsOfADroppedTextAreNotRestored(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.rules.rule.OnPolicy = true
		c.engines.length = 20
		s, owner, other := c.startWithJob(2, "a", "a", "b")
		for range 2 {
			time.Sleep(4 * eventInterval)
			saveNow(owner, s.ID)
		}
		// The next event is of another version, so the text is dropped.
		c.useVersion2(owner, "e1", "e2", "e3")
		other.fleet.ObserveVersion("e1", testModel, 2)
		time.Sleep(8 * eventInterval)
		saveNow(owner, s.ID)
		owner.kill()
		c.checkOneVersion(c.waitForResults(other, s, 6*time.Second))
	})
}
