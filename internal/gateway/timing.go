package gateway

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/routes"
)

const (
	// hedgeFactor is how many times its objective an idempotent request waits
	// for one replica before a second one is asked too.
	hedgeFactor = 2
	// minHedgeDelay bounds that wait from below.
	minHedgeDelay = 100 * time.Millisecond
	// slotTimeoutDivisor is the share of its objective that a request waits for a place.
	slotTimeoutDivisor = 4
	// maxSlotTimeout bounds that wait.
	maxSlotTimeout = 500 * time.Millisecond
	// slotRetryInterval is the wait between two looks for a place.
	slotRetryInterval = 25 * time.Millisecond
	// busyRetryAfter is when a caller should come back if replicas are busy.
	busyRetryAfter = 300 * time.Millisecond
	// deadlineMargin is how long before its deadline a request is given up, so that its caller hears of it in time.
	deadlineMargin = 15 * time.Millisecond
)

// hedgeDelay is how long one replica is waited for before another is asked too;
// zero waits for it alone.
func hedgeDelay(route *routes.Route, sent int) time.Duration {
	if route.Kind != routes.Idempotent || sent >= route.MaxAttempts {
		return 0
	}
	return max(minHedgeDelay, hedgeFactor*route.LatencyObjective)
}

// slotTimeout is how long a request may wait for a place at a replica.
func slotTimeout(route *routes.Route) time.Duration {
	return min(maxSlotTimeout, route.LatencyObjective/slotTimeoutDivisor)
}
