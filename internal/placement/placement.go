// Package placement chooses the replica for a request or rollout: it filters the
// replicas and takes the one with the lowest cost. It makes no calls and reads no
// clock.
//
// Load pattern: jobs arrive as bursts that fill most engines at once, several hosts
// place rollouts at the same time, and some engines are slow, load weights, or
// refuse requests.
package placement

import (
	"math"
	"time"
)

// Replica is the state of a replica as this host knows it.
type Replica struct {
	ID     string
	Domain string
	// Slots is the number of requests that the replica runs at once; zero if not known.
	Slots int
	// InFlight is the number of this host's requests in flight.
	InFlight int
	// OtherInFlight is the estimated number of other hosts' requests in flight.
	OtherInFlight float64
	// OtherDrift is OtherInFlight less the number by the last report alone. Whether a
	// replica has room is decided by the last report: with the average, a host would
	// wait for seconds after an overload that is over, since it gets no reports meanwhile.
	OtherDrift float64
	// Unanswered is the number of this host's requests in flight that the replica has
	// not begun to answer.
	Unanswered int
	// Tokens is the number of tokens of the replica's memory that this host's requests
	// may take.
	Tokens int
	// Draining replicas take no new requests.
	Draining bool
	// Missing replicas disappeared from discovery a moment ago.
	Missing bool
	// RetryAt is the end of the backoff after failures or refusals.
	RetryAt time.Time
	// Slowdown is the replica's latency divided by the median latency of its
	// service; zero counts as 1.
	Slowdown float64
	// Version is the weight version of the request's model; zero if not known.
	Version uint64
	// RingDistance is the distance of the replica from the arc of the request's
	// model, 0 to 1; see ArcDistance. The replicas of a service form a ring ordered by
	// ID, and each model prefers one arc of it.
	RingDistance float64
	// HasIdleConnection is true if this host has an idle connection to the replica.
	HasIdleConnection bool
}

// Request holds the requirements of a request or rollout.
type Request struct {
	// Domain is the failure domain of this host.
	Domain string
	// MinVersion is the oldest weight version that may be used; zero accepts all. A
	// replica whose version is not known is accepted.
	MinVersion uint64
	// Version is the only weight version that may be used; zero accepts all. A replica
	// whose version is not known is accepted.
	Version uint64
	// Avoid holds the IDs of replicas to avoid, for example because they failed this
	// request. They are chosen only if no other replica is left.
	Avoid map[string]bool
	// ExcludeID is the ID of a replica that must not be chosen; empty excludes none.
	ExcludeID string
	// LimitUnanswered limits the requests that a replica has not begun to answer; see
	// unansweredWindow.
	LimitUnanswered bool
	// AllowQueue allows replicas without a free slot, up to maxQueued requests beyond
	// the slots.
	AllowQueue bool
	// Tokens is the number of tokens of a replica's memory that the request may take,
	// and TokenCapacity the number that fit there. If either is zero, memory does not
	// matter.
	Tokens        int
	TokenCapacity int
}

// Costs are relative to the cost of an empty replica of median latency, which is 1.
const (
	// queueCost is the extra cost of each request beyond the slots, multiplied by the
	// replica's slowdown.
	queueCost = 0.6
	// loadCost is the extra cost of a full replica over an empty one, or of each
	// request in flight if the slots are not known, multiplied by the replica's
	// slowdown.
	loadCost = 0.15
	// domainCost is the extra cost of a replica in another failure domain; it breaks ties.
	domainCost = 0.02
	// connectionCost is the extra cost of a replica without an idle connection; a new
	// connection takes time at both ends.
	connectionCost = 0.06
	// ringCost is the extra cost of a replica at distance 1 on the ring. Hosts
	// that own jobs of different models place rollouts at once and can't see each
	// other's choices in time; with this cost each of them fills a different arc of
	// the ring first.
	ringCost = 0.8
	// maxQueued is the number of requests beyond the slots that may queue at a replica.
	maxQueued = 3
)

// Choose returns the index of the replica with the lowest cost for a request, or -1
// if the request has to wait. The replicas in req.Avoid, and those missing from
// discovery, are chosen only if no other replica is left. Among the others, those whose
// memory is estimated to be full are chosen only if no other is left.
func Choose(req Request, replicas []Replica, now time.Time) int {
	best, bestRank, bestCost := -1, 0, 0.0
	for i := range replicas {
		r := &replicas[i]
		if !usable(req, r, now) {
			continue
		}
		rank := 0
		switch {
		case r.Missing || req.Avoid[r.ID]:
			rank = 2
		case estimatedFull(req, r):
			rank = 1
		}
		if cost := Cost(req, r); best < 0 || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestRank, bestCost = i, rank, cost
		}
	}
	return best
}

// countsMemory reports whether the memory of replicas matters for a request.
func countsMemory(req Request) bool { return req.Tokens > 0 && req.TokenCapacity > 0 }

// exceedsMemory reports whether this host's own requests at a replica leave no room for
// another one. Their number of tokens is known, and they end, so a request that waits for
// room gets it. A replica without requests of this host is open to any request, also to
// one that is larger than its memory.
func exceedsMemory(req Request, r *Replica) bool {
	return countsMemory(req) && r.Tokens > 0 && r.Tokens+req.Tokens > req.TokenCapacity
}

// estimatedFull reports whether a replica's memory has no room for a request if those of
// other hosts take as much as this one. That is a guess, so it only orders the replicas:
// it must not keep a request waiting.
func estimatedFull(req Request, r *Replica) bool {
	return countsMemory(req) && float64(r.Tokens)+(r.OtherInFlight+1)*float64(req.Tokens) > float64(req.TokenCapacity)
}

// usable reports whether a replica may run a request now.
func usable(req Request, r *Replica, now time.Time) bool {
	switch {
	case r.Draining || now.Before(r.RetryAt) || req.ExcludeID != "" && r.ID == req.ExcludeID:
		return false
	case r.Version != 0 && r.Version < req.MinVersion:
		return false
	case req.Version != 0 && r.Version != 0 && r.Version != req.Version:
		return false
	}
	if exceedsMemory(req, r) {
		return false
	}
	if r.Slots == 0 {
		return true
	}
	if req.LimitUnanswered && r.Unanswered >= unansweredWindow(r.Slots) {
		return false
	}
	load := float64(r.InFlight) + r.OtherInFlight - r.OtherDrift
	if req.AllowQueue {
		return load < float64(r.Slots+maxQueued)
	}
	return load < float64(r.Slots)
}

// unansweredShare is the share of a replica's slots that a host fills before the
// replica begins to answer. It takes four round trips to fill a replica, some 80 ms.
const unansweredShare = 0.25

// unansweredWindow returns the number of requests that a host may have at a replica
// before the replica begins to answer them.
//
// Load pattern: the owners of several models place bursts within the same tenth of a
// second and learn of each other only by the load in the replicas' answers, which
// takes some 20 ms. Without the window a burst that meets another one, or a replica
// that is busy with long rollouts, fills slots that are taken, and waits in the
// replica's queue. The window also bounds what is lost at a replica that accepts
// requests and does not answer.
func unansweredWindow(slots int) int { return max(1, int(math.Ceil(unansweredShare*float64(slots)))) }

// Cost returns the cost of a request at a replica: its expected duration, relative to
// an empty replica of median latency, plus domainCost, ringCost and connectionCost
// where they apply.
func Cost(req Request, r *Replica) float64 {
	cost := r.Slowdown
	if cost <= 0 {
		cost = 1
	}
	load := float64(r.InFlight) + r.OtherInFlight
	if r.Slots > 0 {
		cost *= 1 + loadCost*load/float64(r.Slots) + queueCost*max(0, load+1-float64(r.Slots))
	} else {
		cost *= 1 + loadCost*load
	}
	if r.Domain != req.Domain {
		cost += domainCost
	}
	cost += ringCost * r.RingDistance
	if !r.HasIdleConnection {
		cost += connectionCost
	}
	return cost
}

// arcEdgeDistance is the distance of a replica just outside the arc of a model.
const arcEdgeDistance = 0.25

// ArcDistance returns the distance of the item at a position of a ring of size items
// from arc number part, counted from 0, of parts equal arcs. It is 0 within the arc,
// and grows from arcEdgeDistance at the end of the arc to 1 before its start.
func ArcDistance(position, size, part, parts int) float64 {
	if size <= 0 || parts <= 1 {
		return 0
	}
	start := part * size / parts
	offset := float64((position-start+size)%size) / float64(size)
	arc := 1 / float64(parts)
	if offset < arc {
		return 0
	}
	return arcEdgeDistance + (1-arcEdgeDistance)*(offset-arc)/(1-arc)
}
