package rollout

import (
	"testing"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/weights"
)

func TestForecast(t *testing.T) {
	last := time.Unix(0, 0)
	rate := weights.PublishRate{Last: last, Interval: 10 * time.Second}
	for _, test := range []struct {
		name      string
		sinceLast time.Duration
		takes     time.Duration
		bound     uint64
		fresh     bool
		waits     bool
	}{
		{"ends before the next version", 2 * time.Second, 5 * time.Second, 0, true, false},
		{"outlives the bound, but not if it starts after the next version", 8 * time.Second, 5 * time.Second, 0, false, true},
		{"within the bound of one version", 8 * time.Second, 5 * time.Second, 1, true, false},
		{"too long in any case", 8 * time.Second, 25 * time.Second, 0, false, false},
		{"a rollout of nearly an interval", time.Second, 9500 * time.Millisecond, 0, false, true},
	} {
		f := forecast{now: last.Add(test.sinceLast), newest: 5, rate: rate}
		if got := f.freshAfter(5, test.takes, test.bound); got != test.fresh {
			t.Errorf("%s: fresh is %t", test.name, got)
		}
		if got := f.worthWaiting(test.takes, test.bound); got != test.waits {
			t.Errorf("%s: worth waiting is %t", test.name, got)
		}
	}
}
