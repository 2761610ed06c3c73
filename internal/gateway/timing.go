package gateway

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/routes"
)

const (
	// hedgeFactor multiplied by the latency objective of the route is the hedge delay.
	hedgeFactor = 2
	// minHedgeDelay is the shortest hedge delay.
	minHedgeDelay = 100 * time.Millisecond
	// slotTimeoutDivisor divides the latency objective of the route to give the slot timeout.
	slotTimeoutDivisor = 4
	// maxSlotTimeout is the longest slot timeout.
	maxSlotTimeout = 500 * time.Millisecond
	// slotRetryInterval is the time between two tries to reserve a slot.
	slotRetryInterval = 25 * time.Millisecond
	// busyRetryAfter is the time after which a caller should retry if no replica has a free slot.
	busyRetryAfter = 300 * time.Millisecond
	// deadlineMargin is how long before its deadline a request is given up. It leaves
	// time to send the error to the caller.
	deadlineMargin = 15 * time.Millisecond
)

// hedgeDelay returns how long to wait for an answer before the request is also sent
// to another replica; zero if it must not be. sent is the number of attempts so far.
func hedgeDelay(route *routes.Route, sent int) time.Duration {
	if route.Kind != routes.Idempotent || sent >= route.MaxAttempts {
		return 0
	}
	return max(minHedgeDelay, hedgeFactor*route.LatencyObjective)
}

// slotTimeout returns how long a request may wait for a free slot.
func slotTimeout(route *routes.Route) time.Duration {
	return min(maxSlotTimeout, route.LatencyObjective/slotTimeoutDivisor)
}
