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

// Demands gives the recent demand of each host, in requests a second.
type Demands interface {
	DemandByHost() map[string]float64
}

const (
	// maxHosts bounds the hosts of one answer.
	maxHosts = 13
	// nearHosts is the number of hosts that a shortened answer takes by order alone.
	nearHosts = 8
)

// HostSelector builds entry answers.
type HostSelector struct {
	exchange peer.Exchange
	source   deployment.Source
	demands  Demands

	mu     sync.Mutex
	random *rand.Rand
}

// New returns an Answerer whose order among equal hosts follows random.
func New(exchange peer.Exchange, source deployment.Source, demands Demands, random *rand.Rand) *HostSelector {
	return &HostSelector{exchange: exchange, source: source, demands: demands, random: random}
}

// Select returns the hosts to use for a caller in a failure domain, which may be empty.
func (a *HostSelector) Select(failureDomain string, now time.Time) (entryapi.EntryAnswer, error) {
	doc := a.source.Current()
	if doc == nil {
		return entryapi.EntryAnswer{}, failure.New(failure.NotReady, failure.NotRun, "this host has no deployment document yet")
	}
	hosts := usable(a.exchange.Hosts(), a.exchange.Self())
	if len(hosts) == 0 {
		return entryapi.EntryAnswer{}, failure.New(failure.Draining, failure.NotRun, "no host takes new requests")
	}
	return entryapi.EntryAnswer{
		Hosts: lo.Map(shorten(a.order(hosts, failureDomain)), func(h *peer.Host, _ int) entryapi.EntryHost {
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

// usable returns the hosts that take new requests. The answering host counts
// as alive whatever its peers' entries say.
func usable(known []peer.Host, self peer.Host) []peer.Host {
	hosts := lo.Filter(known, func(h peer.Host, _ int) bool {
		return h.ID != self.ID && h.State == peer.StateAlive && !h.Draining && h.CallerAddress != ""
	})
	if !self.Draining {
		hosts = append(hosts, self)
	}
	return hosts
}

// ranked is a host's place in the order of an answer.
type ranked struct {
	distance int
	rank     float64
	host     *peer.Host
}

// order returns the hosts of the caller's failure domain first, then those of
// its region, and spreads callers within each group away from busy hosts.
func (a *HostSelector) order(hosts []peer.Host, failureDomain string) []*peer.Host {
	region := ""
	if h, ok := lo.Find(hosts, func(h peer.Host) bool { return h.FailureDomain == failureDomain }); ok {
		region = h.Region
	}
	demand := a.demands.DemandByHost()
	places := make([]ranked, len(hosts))
	a.mu.Lock()
	for i := range hosts {
		h := &hosts[i]
		// An exponential variable scaled by the demand makes a weighted shuffle.
		rank := a.random.ExpFloat64() * (1 + demand[h.ID])
		places[i] = ranked{distance: distance(h, failureDomain, region), rank: rank, host: h}
	}
	a.mu.Unlock()
	slices.SortFunc(places, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(x.distance, y.distance), cmp.Compare(x.rank, y.rank))
	})
	return lo.Map(places, func(p ranked, _ int) *peer.Host { return p.host })
}

// shorten keeps the first hosts, and from the rest the best host of each
// failure domain that they lack, so that an answer does not grow with the
// number of hosts and yet outlives the loss of a failure domain.
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

// distance is 0 within the failure domain, 1 within the region and 2 elsewhere.
func distance(h *peer.Host, failureDomain, region string) int {
	switch {
	case h.FailureDomain == failureDomain:
		return 0
	case region != "" && h.Region == region:
		return 1
	}
	return 2
}
