package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Neighbours of a host.
const (
	// monitoredHosts is the number of hosts that each host monitors for failure.
	monitoredHosts = 2
	// randomHosts is the number of additional, randomly chosen hosts that each host keeps a link to.
	randomHosts = 2
)

// successors returns the n ids that follow self on a ring ordered by hash. A host
// monitors its successors, so each host is monitored by its n predecessors.
func successors(self string, ids []string, n int) []string {
	type point struct {
		id   string
		hash uint64
	}
	own := xxhash.Sum64String(self)
	ring := make([]point, 0, len(ids))
	for _, id := range ids {
		if id != self {
			ring = append(ring, point{id: id, hash: xxhash.Sum64String(id) - own})
		}
	}
	slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	out := make([]string, 0, n)
	for _, p := range ring[:min(n, len(ring))] {
		out = append(out, p.id)
	}
	return out
}

// refill returns the elements of current that are still in ids and not in taken,
// filled up to n with random other ids. intN is as rand.IntN.
func refill(current, ids, taken []string, n int, intN func(int) int) []string {
	out := slices.DeleteFunc(slices.Clone(current), func(id string) bool {
		return !slices.Contains(ids, id) || slices.Contains(taken, id)
	})
	free := slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		return slices.Contains(out, id) || slices.Contains(taken, id)
	})
	for len(out) < n && len(free) > 0 {
		i := intN(len(free))
		out = append(out, free[i])
		free = slices.Delete(free, i, i+1)
	}
	return out[:min(n, len(out))]
}
