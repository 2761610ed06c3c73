package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/claim"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// DemandSource provides the recent demand of each host, in requests per second.
type DemandSource interface {
	DemandByHost() map[string]float64
}

const (
	// maxHosts is the maximum number of hosts in an answer.
	maxHosts = 13
	// nearHosts is how many hosts of a shortened answer are the first in the order of preference.
	nearHosts = 8
)

// HostSelector selects the hosts of entry answers.
type HostSelector struct {
	exchange peer.Exchange
	source   deployment.Source
	demands  DemandSource

	mu     sync.Mutex
	random *rand.Rand
}

// New returns a HostSelector. random orders the hosts at the same distance from a caller.
func New(exchange peer.Exchange, source deployment.Source, demands DemandSource, random *rand.Rand) *HostSelector {
	return &HostSelector{exchange: exchange, source: source, demands: demands, random: random}
}

// Select returns the hosts for a caller in failureDomain, which is empty if unknown. It
// fails with NotReady if this host has no deployment document yet, and with
// Draining if no host accepts new requests.
func (s *HostSelector) Select(failureDomain string, now time.Time) (entryapi.EntryAnswer, error) {
	doc := s.source.Current()
	if doc == nil {
		return entryapi.EntryAnswer{}, failure.New(failure.NotReady, failure.NotRun, "this host has no deployment document yet")
	}
	hosts := usable(s.exchange.Hosts(), s.exchange.Self())
	if len(hosts) == 0 {
		return entryapi.EntryAnswer{}, failure.New(failure.Draining, failure.NotRun, "no host accepts new requests")
	}
	return entryapi.EntryAnswer{
		Hosts: lo.Map(shorten(s.order(hosts, failureDomain)), func(h *peer.Host, _ int) entryapi.EntryHost {
			return entryapi.EntryHost{
				ID:            h.ID,
				Address:       h.CallerAddress,
				FailureDomain: h.FailureDomain,
				KeyPrefix:     claim.KeyPrefix(h.Incarnation, now),
			}
		}),
		TTLMillis: min(doc.Deployment.EntryTTL, entryapi.MaxTTL).Milliseconds(),
	}, nil
}

// usable returns the hosts that accept new requests. This host counts as alive
// even if its peers suspect it.
func usable(known []peer.Host, self peer.Host) []peer.Host {
	hosts := lo.Filter(known, func(h peer.Host, _ int) bool {
		return h.ID != self.ID && h.State == peer.StateAlive && !h.Draining && h.CallerAddress != ""
	})
	if !self.Draining {
		hosts = append(hosts, self)
	}
	return hosts
}

// rankedHost is a host with its sort keys.
type rankedHost struct {
	distance int
	// rank is random; it orders the hosts with the same distance.
	rank float64
	host *peer.Host
}

// order returns the hosts of the caller's failure domain first, then those of its
// region, then the others. The order within each group is random, and hosts with
// less demand are more likely to be first.
func (s *HostSelector) order(hosts []peer.Host, failureDomain string) []*peer.Host {
	region := ""
	if h, ok := lo.Find(hosts, func(h peer.Host) bool { return h.FailureDomain == failureDomain }); ok {
		region = h.Region
	}
	demand := s.demands.DemandByHost()
	places := make([]rankedHost, len(hosts))
	s.mu.Lock()
	for i := range hosts {
		h := &hosts[i]
		// Sorting by exponential variables scaled by the demand is a weighted shuffle.
		rank := s.random.ExpFloat64() * (1 + demand[h.ID])
		places[i] = rankedHost{distance: distance(h, failureDomain, region), rank: rank, host: h}
	}
	s.mu.Unlock()
	slices.SortFunc(places, func(x, y rankedHost) int {
		return cmp.Or(cmp.Compare(x.distance, y.distance), cmp.Compare(x.rank, y.rank))
	})
	return lo.Map(places, func(p rankedHost, _ int) *peer.Host { return p.host })
}

// shorten returns at most maxHosts hosts: the first nearHosts, then the first host
// of each failure domain that is still missing. The answer stays small in large
// deployments, and stays usable if a failure domain is lost.
func shorten(ordered []*peer.Host) []*peer.Host {
	if len(ordered) <= maxHosts {
		return ordered
	}
	kept := slices.Clone(ordered[:nearHosts])
	for _, h := range ordered[nearHosts:] {
		if len(kept) == maxHosts {
			break
		}
		covered := slices.ContainsFunc(kept, func(k *peer.Host) bool { return k.FailureDomain == h.FailureDomain })
		if !covered {
			kept = append(kept, h)
		}
	}
	return kept
}

// distance returns 0 for a host in the caller's failure domain, 1 for one in its region and 2 for any other.
func distance(h *peer.Host, failureDomain, region string) int {
	switch {
	case h.FailureDomain == failureDomain:
		return 0
	case region != "" && h.Region == region:
		return 1
	}
	return 2
}
