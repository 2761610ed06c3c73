package placement

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// staleLoadOption is a decision that was weighed; see docs/design/stale-load.md.
type staleLoadOption struct {
	name string
	// former uses the estimate from before the averages.
	former bool
	choose func(*replayState, *replayHost) int
}

var staleLoadOptions = []staleLoadOption{
	{"former decision", true, chooseShuffled},
	{"the same, ties in the order of the list", true, func(s *replayState, h *replayHost) int { return s.chooseBy(h, s.listOrder(), nil) }},
	{"the same, ties in an order of the host", true, func(s *replayState, h *replayHost) int {
		return s.chooseBy(h, rand.New(rand.NewPCG(uint64(h.index), 7)).Perm(s.replicas), nil)
	}},
	{"former without the latency", true, func(s *replayState, h *replayHost) int {
		return s.chooseBy(h, s.rng.Perm(s.replicas), func(r *Replica) { r.Slowdown = 1 })
	}},
	{"former without the cost of connections", true, func(s *replayState, h *replayHost) int {
		return s.chooseBy(h, s.rng.Perm(s.replicas), func(r *Replica) { r.HasIdleConnection = true })
	}},
	{"former with a subset of 6 for each host", true, chooseSubset},
	{"power of two choices, last reports", true, chooseTwo},
	{"in proportion to free slots, last reports", true, chooseFreeSlots},
	{"own requests only", true, chooseOwn},
	{"last reports that age towards the mean", true, chooseTowardsMean},
	{"last reports that fade in 0.15 s", true, func(s *replayState, h *replayHost) int {
		return s.chooseBy(h, s.rng.Perm(s.replicas), func(r *Replica) {
			age := s.clock().Sub(h.observed[index(r)].reportedAt)
			r.OtherInFlight = h.observed[index(r)].otherInFlight * math.Exp(-age.Seconds()/0.15)
			r.Slowdown = 1
		})
	}},
	{"average load, long slow spells", false, chooseShuffled},
	{"the same with a subset of 6 for each host", false, chooseSubset},
	{"perfect information", false, choosePerfect},
}

// TestStaleLoadOptions prints the table of docs/design/stale-load.md.
func TestStaleLoadOptions(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints the options with -v and checks nothing")
	}
	for _, load := range []float64{1, 2.5} {
		for _, age := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond} {
			for _, option := range staleLoadOptions {
				r := plainReplay(84, age, load)
				r.former, r.choose = option.former, option.choose
				t.Logf("load %.1f, age %s, %s: %s", load, age, option.name, r.run())
			}
		}
	}
}

func index(r *Replica) int {
	i, _ := strconv.Atoi(r.ID)
	return i
}

// listOrder is the order of the list, the same on all hosts.
func (s *replayState) listOrder() []int {
	order := make([]int, s.replicas)
	for i := range order {
		order[i] = i
	}
	return order
}

// chooseSubset uses the six replicas that come first in the host's rendezvous order.
func chooseSubset(s *replayState, h *replayHost) int {
	order := s.listOrder()
	slices.SortFunc(order, func(a, b int) int { return int(rendezvous(h.index, a)) - int(rendezvous(h.index, b)) })
	subset := order[:6]
	s.rng.Shuffle(len(subset), func(i, j int) { subset[i], subset[j] = subset[j], subset[i] })
	if i := s.chooseBy(h, subset, nil); i >= 0 {
		return i
	}
	return chooseShuffled(s, h)
}

func rendezvous(host, replica int) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(strconv.Itoa(host) + "/" + strconv.Itoa(replica) + "/rendezvous"))
	return sum.Sum32()
}

// chooseTwo takes the less loaded of two random replicas.
func chooseTwo(s *replayState, h *replayHost) int {
	all, order := s.candidates(h), s.rng.Perm(s.replicas)
	a, b := order[0], order[1]
	if float64(all[b].InFlight)+all[b].OtherInFlight < float64(all[a].InFlight)+all[a].OtherInFlight {
		return b
	}
	return a
}

// chooseFreeSlots samples in proportion to free slots.
func chooseFreeSlots(s *replayState, h *replayHost) int {
	all := s.candidates(h)
	sum, weights := 0.0, make([]float64, len(all))
	for i, r := range all {
		weights[i] = max(0.1, float64(r.Slots)-float64(r.InFlight)-r.OtherInFlight)
		sum += weights[i]
	}
	point := s.rng.Float64() * sum
	for i, w := range weights {
		if point -= w; point < 0 {
			return i
		}
	}
	return len(all) - 1
}

// chooseOwn takes the replica with the fewest requests of the host's own.
func chooseOwn(s *replayState, h *replayHost) int {
	best := -1
	for _, i := range s.rng.Perm(s.replicas) {
		if best < 0 || h.inFlight[i] < h.inFlight[best] {
			best = i
		}
	}
	return best
}

// chooseTowardsMean expects that other hosts even out the load that a report shows.
func chooseTowardsMean(s *replayState, h *replayHost) int {
	mean := 0.0
	for i := range h.observed {
		mean += h.observed[i].OtherInFlight(s.clock()) / float64(s.replicas)
	}
	return s.chooseBy(h, s.rng.Perm(s.replicas), func(r *Replica) {
		o := &h.observed[index(r)]
		fresh := math.Exp(-s.clock().Sub(o.reportedAt).Seconds() / loadDecayTime.Seconds())
		r.OtherInFlight = mean + fresh*(o.otherInFlight-mean)
		r.Slowdown = 1
	})
}
