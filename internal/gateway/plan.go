package gateway

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/routes"
)

const (
	// hedgeFactor is how many times its objective an idempotent request waits
	// for one replica before a second one is asked too.
	hedgeFactor = 2
	// shortestHedge bounds that wait from below.
	shortestHedge = 100 * time.Millisecond
	// placeShare is the share of its objective that a request waits for a place.
	placeShare = 4
	// longestPlaceWait bounds that wait.
	longestPlaceWait = 500 * time.Millisecond
	// placePause is the wait between two looks for a place.
	placePause = 25 * time.Millisecond
	// retrySoon is when a caller should come back if replicas are busy.
	retrySoon = 300 * time.Millisecond
	// answerMargin is how long before its deadline a request is given up, so that its caller hears of it in time.
	answerMargin = 15 * time.Millisecond
)

// patience is how long one replica is waited for before another is asked too;
// zero waits for it alone.
func patience(route *routes.Route, sent int) time.Duration {
	if route.Kind != routes.Idempotent || sent >= route.MaxAttempts {
		return 0
	}
	return max(shortestHedge, hedgeFactor*route.LatencyObjective)
}

// placeWait is how long a request may wait for a place at a replica.
func placeWait(route *routes.Route) time.Duration {
	return min(longestPlaceWait, route.LatencyObjective/placeShare)
}
