// Package placement decides which replica takes a request or rollout. It makes
// no calls and reads no clock.
//
// Load pattern: jobs arrive as bursts that fill most engines at once, several
// hosts place at the same time, and some engines are slow, load weights, or
// refuse.
package placement

import (
	"time"
)

// Replica is what this host knows of one replica.
type Replica struct {
	ID     string
	Domain string
	// Slots is the number of requests that the replica runs at once; zero if not known.
	Slots int
	// InFlight is the number of this host's requests there.
	InFlight int
	// Others is the estimated number of other hosts' requests there.
	Others float64
	// Draining replicas take no new work.
	Draining bool
	// Missing replicas have vanished from discovery a moment ago.
	Missing bool
	// RetryAt is when the replica may be tried again after failures or refusals.
	RetryAt time.Time
	// Pace is the time that the replica takes, relative to its peers; 1 is usual.
	Pace float64
	// Version is the version of the model that the request needs; zero if not known.
	Version uint64
	// Distance is how far the replica is from the arc of the ring of replicas that
	// is the request's model's own, 0 to 1.
	Distance float64
	// Connected is true if a connection to the replica waits for use.
	Connected bool
}

// Request is what has to be placed.
type Request struct {
	// Domain is the failure domain of this host.
	Domain string
	// MinVersion is the oldest version of the weights that may be used; zero accepts all.
	MinVersion uint64
	// Version is the only version that may be used; zero accepts all.
	Version uint64
	// Avoid names replicas that have failed this request.
	Avoid map[string]bool
	// Except names a replica that is not to be taken; it may be empty.
	Except string
	// Queue allows a replica without a free slot.
	Queue bool
}

const (
	// fullCost is what each request beyond the slots adds, as a share of the replica's pace.
	fullCost = 0.6
	// loadCost is what a full replica costs more than an empty one, as a share of the replica's pace.
	loadCost = 0.15
	// domainCost is what a replica in another failure domain costs more; it breaks ties.
	domainCost = 0.02
	// connectCost is what a replica without a waiting connection costs more; a new
	// one takes time at both ends.
	connectCost = 0.06
	// ringCost is what the farthest replica on the ring costs more. Owners of
	// several models place at once and can't see each other's choices in time, so
	// each fills an arc of its own first.
	ringCost = 0.8
	// slotSlack is how many requests beyond the slots may queue at a replica.
	slotSlack = 3
)

// Choose returns the index of the replica that a request goes to, or -1 if it
// has to wait. Replicas that failed the request, and those that discovery has
// just lost, are taken only where no other is left.
func Choose(req Request, replicas []Replica, now time.Time) int {
	for _, last := range []bool{false, true} {
		best, bestCost := -1, 0.0
		for i := range replicas {
			r := &replicas[i]
			second := r.Missing || req.Avoid[r.ID]
			if second != last || !usable(req, r, now) {
				continue
			}
			if cost := Cost(req, r); best < 0 || cost < bestCost {
				best, bestCost = i, cost
			}
		}
		if best >= 0 {
			return best
		}
	}
	return -1
}

func usable(req Request, r *Replica, now time.Time) bool {
	switch {
	case r.Draining || now.Before(r.RetryAt) || req.Except != "" && r.ID == req.Except:
		return false
	case r.Version != 0 && r.Version < req.MinVersion:
		return false
	case req.Version != 0 && r.Version != 0 && r.Version != req.Version:
		return false
	}
	if r.Slots == 0 {
		return true
	}
	load := float64(r.InFlight) + r.Others
	if req.Queue {
		return load < float64(r.Slots+slotSlack)
	}
	return load < float64(r.Slots)
}

// Cost is the expected time of a request at a replica, relative to an empty usual one.
func Cost(req Request, r *Replica) float64 {
	cost := r.Pace
	if cost <= 0 {
		cost = 1
	}
	load := float64(r.InFlight) + r.Others
	if r.Slots > 0 {
		cost *= 1 + loadCost*load/float64(r.Slots) + fullCost*max(0, load+1-float64(r.Slots))
	} else {
		cost *= 1 + loadCost*load
	}
	if r.Domain != req.Domain {
		cost += domainCost
	}
	cost += ringCost * r.Distance
	if !r.Connected {
		cost += connectCost
	}
	return cost
}

// arcEdge is the distance of the first replica outside of a model's own arc.
const arcEdge = 0.25

// ArcDistance returns how far the item at a position of a ring of size items is
// from the part-th of parts equal arcs: 0 within it, and up to 1 behind it.
func ArcDistance(position, size, part, parts int) float64 {
	if size <= 0 || parts <= 1 {
		return 0
	}
	start := part * size / parts
	way := float64((position-start+size)%size) / float64(size)
	arc := 1 / float64(parts)
	if way < arc {
		return 0
	}
	return arcEdge + (1-arcEdge)*(way-arc)/(1-arc)
}
