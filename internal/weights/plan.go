package weights

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

const (
	// settledReadInterval is the time between two status reads of a replica that has reached the goal.
	settledReadInterval = 5 * time.Second
	// unfencedReadInterval replaces settledReadInterval for engines that ignore
	// fencing tokens: a late order of a previous holder is noticed only by reading
	// the status.
	unfencedReadInterval = time.Second
	// pendingReadInterval is the time between two status reads of any other replica.
	pendingReadInterval = 200 * time.Millisecond
	// unreachableReadInterval is the time between two status reads of a replica that did not answer.
	unreachableReadInterval = 3 * time.Second
	// readTimeout bounds one status read. A run of the reconciler waits for all its reads.
	readTimeout = 500 * time.Millisecond
	// orderEffectTimeout is the time after which an accepted order that had no visible effect is repeated.
	orderEffectTimeout = 2 * time.Second
	// firstRetryDelay is the wait after a failed load or order. It doubles with
	// each further failure, up to maxRetryDelay.
	firstRetryDelay = 500 * time.Millisecond
	// maxRetryDelay bounds the wait after failed loads or orders.
	maxRetryDelay = 8 * time.Second
)

// replica is the state of one engine as the reconciler knows it.
type replica struct {
	upstream membership.Upstream
	// status is the last status read.
	status engineapi.Status
	// known is true if the last status read succeeded, and unreachable if it failed.
	// Both are false before the first read.
	known       bool
	unreachable bool
	// readAt is the time of the last status read, failed or not.
	readAt time.Time
	// orderedAt is the time of the last order under this grant.
	orderedAt time.Time
	// orderedVersion is the version of that order; zero if there was none, or if the order or its load failed.
	orderedVersion uint64
	// failures counts the failed loads and orders since the replica last served the goal's version.
	failures int
	// retryAt is the earliest time of the next order.
	retryAt time.Time
}

// goal is the desired state of a pool's replicas.
type goal struct {
	version uint64
	// fence is the fencing token of the current grant.
	fence uint64
	// checksFencing is true if the pool's engines refuse orders with an older token.
	checksFencing bool
	// maxLoading is the number of replicas that may load at a time.
	maxLoading int
}

// settled reports whether the replica has reached the goal: it serves the goal's
// version, loads no other one, and has seen the fencing token if it checks tokens.
func (r *replica) settled(g goal) bool {
	if !r.known || r.status.Version != g.version {
		return false
	}
	if r.status.LoadingVersion != 0 && r.status.LoadingVersion != g.version {
		return false
	}
	return !g.checksFencing || r.status.Fence >= g.fence
}

// loading reports whether the replica loads weights, or was ordered to load the
// goal's version within orderEffectTimeout and has not been read since.
func (r *replica) loading(g goal, now time.Time) bool {
	if r.status.LoadingVersion != 0 {
		return true
	}
	ordered := r.orderedVersion == g.version && now.Sub(r.orderedAt) < orderEffectTimeout
	return ordered && !r.readAt.After(r.orderedAt)
}

// dueForRead reports whether the replica's status should be read at now.
func (r *replica) dueForRead(g goal, now time.Time) bool {
	interval := pendingReadInterval
	if r.settled(g) {
		interval = settledReadInterval
		if !g.checksFencing {
			interval = unfencedReadInterval
		}
	}
	if r.unreachable {
		interval = unreachableReadInterval
	}
	return now.Sub(r.readAt) >= interval
}

// recordStatus records a status that was read at now. failed is true if it shows
// that the ordered load has failed.
func (r *replica) recordStatus(status engineapi.Status, g goal, now time.Time) (failed bool) {
	r.status = status
	r.known = true
	r.unreachable = false
	r.readAt = now
	if status.Version == g.version {
		r.failures = 0
		return false
	}
	loadEnded := r.orderedVersion == g.version && status.LoadingVersion == 0
	if !loadEnded || status.FailedVersion != g.version || now.Before(r.retryAt) {
		return false
	}
	r.failures++
	r.orderedVersion = 0
	r.retryAt = now.Add(retryDelay(r.failures))
	return true
}

// recordReadFailure records that a status read failed at now.
func (r *replica) recordReadFailure(now time.Time) {
	r.known = false
	r.unreachable = true
	r.readAt = now
}

// recordOrderFailure records that an order failed at now.
func (r *replica) recordOrderFailure(now time.Time) {
	r.failures++
	r.orderedVersion = 0
	r.retryAt = now.Add(retryDelay(r.failures))
}

// retryDelay returns the wait before the next order after a number of consecutive failures.
func retryDelay(failures int) time.Duration {
	delay := firstRetryDelay
	for range failures - 1 {
		delay = min(2*delay, maxRetryDelay)
	}
	return delay
}

// needsOrder reports whether the replica should get an order for the goal at now,
// regardless of the limit on replicas that load at a time.
func (r *replica) needsOrder(g goal, now time.Time) bool {
	if !r.known || r.upstream.Leaving || now.Before(r.retryAt) {
		return false
	}
	if r.settled(g) || r.status.LoadingVersion == g.version {
		return false
	}
	waiting := r.orderedVersion == g.version && now.Sub(r.orderedAt) < orderEffectTimeout
	return !waiting
}

// plan returns the replicas to send an order at now. The limit maxLoading does not
// apply to a replica that already serves the version and only lacks the fencing
// token, nor to one that is loading already.
func plan(replicas []*replica, g goal, now time.Time) []*replica {
	free := g.maxLoading
	for _, r := range replicas {
		if r.loading(g, now) && !r.settled(g) {
			free--
		}
	}
	var orders []*replica
	for _, r := range replicas {
		if !r.needsOrder(g, now) {
			continue
		}
		if r.status.Version == g.version || r.status.LoadingVersion != 0 {
			orders = append(orders, r)
			continue
		}
		if free > 0 {
			free--
			orders = append(orders, r)
		}
	}
	return orders
}
