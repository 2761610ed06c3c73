package usage

import (
	"strings"
	"testing"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

// fixedClock is a Clock that takes the host's time of day as the true time.
type fixedClock struct{}

func (fixedClock) TrueTime(at time.Time) (time.Duration, bool) {
	return time.Duration(at.UnixNano()), true
}

// Counts that are dropped because there are too many windows must not be lost without an
// event, whether they are those of an older window or of the request itself.
func TestDroppedCountsAreRecorded(t *testing.T) {
	first := time.Unix(5_000_000, 0)
	for _, test := range []struct {
		name string
		// written is true if the counts of all windows were written before the last request.
		written bool
		last    time.Time
		want    string
	}{
		{"an older window", false, first.Add(maxTallies * length), "1"},
		{"an older window that is written", true, first.Add(maxTallies * length), ""},
		{"the window of the request", true, first.Add(-length), "1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			events := telemetry.New()
			counter := NewCounter(fixedClock{}, length, events)
			for i := range maxTallies {
				counter.Began("x", first.Add(time.Duration(i)*length))
			}
			for _, tally := range counter.tallies {
				tally.changed = !test.written
			}
			counter.Began("x", test.last)
			var out strings.Builder
			events.Write(&out)
			_, got, _ := strings.Cut(out.String(), `event="usage_counted_late"} `)
			if got, _, _ = strings.Cut(got, "\n"); got != test.want {
				t.Errorf("%q events of late counts, want %q", got, test.want)
			}
			if len(counter.tallies) != maxTallies {
				t.Errorf("%d windows are kept", len(counter.tallies))
			}
		})
	}
}
