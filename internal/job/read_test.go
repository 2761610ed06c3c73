package job

import (
	"context"
	"testing"
	"time"
)

// At 195 hosts the change feed is read each 160 ms. A caller that waits for results must
// not wait for that as well: it learns of each within two reads of 25 ms.
func TestWaitingReaderLearnsSoon(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.feedFactor = 6.4
		c.notifies = true
		// The results of the first job keep the feed busy when those of the second come.
		_, owner, other := c.startWithJob(3, "a", "a", "b")
		time.Sleep(60 * time.Millisecond)
		s := spec("second", 3)
		c.accept(owner, s)
		listedAt := make(chan time.Time, 1)
		go func() { listedAt <- c.firstListing(s.ID, 3*time.Second) }()
		page, err := other.manager.Results(context.Background(), s.ID, 0, 2*time.Second)
		if err != nil || len(page.Results) == 0 {
			t.Fatalf("%d results, %v", len(page.Results), err)
		}
		read := time.Now()
		if late := read.Sub(<-listedAt); late > 50*time.Millisecond {
			t.Errorf("the reader learned of a result %s after it was listed, want at most 50 ms", late)
		}
	})
}
