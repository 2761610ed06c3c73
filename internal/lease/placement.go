package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

const (
	// candidateCount is the number of best-ranked hosts that read a lease at every step, as its holder does.
	candidateCount = 3
	// nonCandidateReadSteps is the number of steps between two reads of a lease by any other host.
	nonCandidateReadSteps = 10
	// takeoverDelayPerRank is the extra wait before a takeover for each host with a better rank,
	// counted up to candidateCount.
	takeoverDelayPerRank = time.Second
	// takeoverDelayOverShare is the extra wait of a host that already holds its fair share of the leases.
	takeoverDelayOverShare = 5 * time.Second
)

// placement is this host's rank for one lease.
type placement struct {
	// rank is the number of hosts that are preferred over this one.
	rank int
	// hosts is the number of hosts that may hold leases: this one and all live, non-draining ones.
	hosts int
}

// placementFor ranks the hosts for a shard by rendezvous hashing: shards spread
// evenly, and few of them move when a host joins or leaves.
func placementFor(shard, self string, hosts []peer.Host) placement {
	ids := lo.FilterMap(hosts, func(h peer.Host, _ int) (string, bool) {
		return h.ID, h.ID == self || (h.State == peer.StateAlive && !h.Draining)
	})
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(shard, b), rendezvousWeight(shard, a)), cmp.Compare(a, b))
	})
	return placement{rank: slices.Index(ids, self), hosts: len(ids)}
}

// rendezvousWeight returns the weight of a host for a shard; the highest is preferred.
func rendezvousWeight(shard, host string) uint64 { return xxhash.Sum64String(shard + "\x00" + host) }

// fairShare returns the number of shards per host, rounded up.
func (p placement) fairShare(shards int) int { return (shards + p.hosts - 1) / p.hosts }

// takeoverDelay returns how long a host that holds a number of shards waits
// before it takes over a free lease. Preferred hosts get to take it first.
func (p placement) takeoverDelay(held, shards int) time.Duration {
	delay := time.Duration(min(p.rank, candidateCount)) * takeoverDelayPerRank
	if held >= p.fairShare(shards) {
		delay += takeoverDelayOverShare
	}
	return delay
}
