// Package pause waits for a while or until a context ends, says how long to wait
// after failures, and whether a time has come.
package pause

import (
	"context"
	"time"
)

// For waits for d. It reports false if ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// longestShift bounds the doublings of Doubled.
const longestShift = 16

// Backoff is the wait after a number of failures in a row, at least one: first
// after one, twice as long after each further one, up to longest.
func Backoff(first, longest time.Duration, failures int) time.Duration {
	return min(longest, first<<min(max(failures-1, 0), longestShift))
}

// Passed reports whether a time has come by the monotonic clock or by the wall
// clock, which goes on where a suspended machine's monotonic clock stands still.
func Passed(t, now time.Time) bool {
	return !now.Before(t) || !now.Round(0).Before(t.Round(0))
}
