package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

// localShare is the share of the first replicas in a host's order of preference
// that are in its own failure domain.
const localShare = 0.5

// rendezvousWeight returns the weight of a pair in rendezvous (highest random
// weight) hashing.
func rendezvousWeight(a, b string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(a)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(b)
	return digest.Sum64()
}

// preferenceOrder orders replicas for one host by rendezvous hashing. Replicas
// of the host's failure domain alternate with those of the other domains until
// one group is used up. Adding or removing one replica moves few others.
func preferenceOrder(hostID, failureDomain string, upstreams []membership.Upstream) []membership.Upstream {
	sorted := slices.Clone(upstreams)
	weight := make(map[string]uint64, len(sorted))
	for _, u := range sorted {
		weight[u.ID] = rendezvousWeight(hostID, u.ID)
	}
	slices.SortFunc(sorted, func(a, b membership.Upstream) int {
		return cmp.Compare(weight[b.ID], weight[a.ID])
	})
	var local []membership.Upstream
	domains := make(map[string][]membership.Upstream)
	for _, u := range sorted {
		if u.FailureDomain == failureDomain {
			local = append(local, u)
			continue
		}
		domains[u.FailureDomain] = append(domains[u.FailureDomain], u)
	}
	return mergeByShare(local, interleaveDomains(hostID, domains), localShare)
}

// interleaveDomains takes one replica from each failure domain in turn.
func interleaveDomains(hostID string, domains map[string][]membership.Upstream) []membership.Upstream {
	names := make([]string, 0, len(domains))
	for name := range domains {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(rendezvousWeight(hostID, b), rendezvousWeight(hostID, a))
	})
	var out []membership.Upstream
	for depth := 0; ; depth++ {
		before := len(out)
		for _, name := range names {
			if depth < len(domains[name]) {
				out = append(out, domains[name][depth])
			}
		}
		if len(out) == before {
			return out
		}
	}
}

// mergeByShare merges two lists. Until one is used up, each prefix of the
// result has the given share of elements of the first list, rounded up.
func mergeByShare(first, second []membership.Upstream, share float64) []membership.Upstream {
	out := make([]membership.Upstream, 0, len(first)+len(second))
	taken := 0
	for len(first) > 0 && len(second) > 0 {
		if float64(taken) < share*float64(len(out)+1) {
			out = append(out, first[0])
			first = first[1:]
			taken++
			continue
		}
		out = append(out, second[0])
		second = second[1:]
	}
	return append(append(out, first...), second...)
}
