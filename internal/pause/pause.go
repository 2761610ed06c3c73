// Package pause provides a cancellable sleep, an exponential backoff and a
// deadline check that also works after the machine was suspended.
package pause

import (
	"context"
	"time"
)

// For sleeps for d. It returns false if ctx ended first.
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

// maxDoublings limits the doublings of the backoff, which prevents an overflow.
const maxDoublings = 16

// Backoff returns the wait after a number of consecutive failures: first after one
// failure, doubled with each further failure, at most longest.
func Backoff(first, longest time.Duration, failures int) time.Duration {
	return min(longest, first<<min(max(failures-1, 0), maxDoublings))
}

// Passed reports whether now is at or after t by the monotonic clock or by the
// wall clock. Only the wall clock advances while the machine is suspended.
func Passed(t, now time.Time) bool {
	return !now.Before(t) || !now.Round(0).Before(t.Round(0))
}
