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

// A caller reads page after page and is away for a round trip in between. A read of the
// feed that ends meanwhile must not be followed by a long interval.
func TestFeedRunsAtFullRateBetweenPages(t *testing.T) {
	withCluster(t, func(c *cluster) {
		a := c.startHost("a")
		factor := a.manager.FollowConfig(time.Second, 25*time.Millisecond, func() float64 { return 6.4 }).IntervalFactor
		s := spec("job", 4)
		c.accept(a, s)
		if got := factor(); got != 6.4 {
			t.Errorf("factor is %g before any caller waits, want 6.4", got)
		}
		for from := 0; from < len(s.Rollouts); {
			page, err := a.manager.Results(context.Background(), s.ID, from, 2*time.Second)
			if err != nil || len(page.Results) == 0 {
				t.Fatalf("%d results after %d, %v", len(page.Results), from, err)
			}
			from += len(page.Results)
			for range 6 {
				if got := factor(); got != 1 {
					t.Fatalf("factor is %g while the caller is away after result %d, want 1", got, from)
				}
				time.Sleep(time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		if got := factor(); got != 6.4 {
			t.Errorf("factor is %g a second after the last caller, want 6.4", got)
		}
	})
}
