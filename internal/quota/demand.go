package quota

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

const (
	// demandKey is the key of a host's only entry on the demand topic.
	demandKey = "all"
	// maxPublishedTenants bounds the tenants in an entry; those with the lowest demand are left out.
	maxPublishedTenants = 64
	// encodedDemandBytes is the size of one encoded tenantDemand: 4 bytes for the
	// tenant's hash and 4 for the demand as a float32, little-endian.
	encodedDemandBytes = 8
)

// tenantHash identifies a tenant in an entry.
type tenantHash uint32

func hashOf(tenant string) tenantHash { return tenantHash(xxhash.Sum64String(tenant)) }

// tenantDemand is one tenant's demand on one host, in requests per second.
type tenantDemand struct {
	tenant    tenantHash
	perSecond float64
}

// encodeDemand encodes the demand of the maxPublishedTenants tenants with the
// highest demand, in descending order. It sorts demands in place.
func encodeDemand(demands []tenantDemand) []byte {
	slices.SortFunc(demands, func(a, b tenantDemand) int {
		return cmp.Or(cmp.Compare(b.perSecond, a.perSecond), cmp.Compare(a.tenant, b.tenant))
	})
	demands = demands[:min(len(demands), maxPublishedTenants)]
	value := make([]byte, 0, encodedDemandBytes*len(demands))
	for _, d := range demands {
		value = binary.LittleEndian.AppendUint32(value, uint32(d.tenant))
		value = binary.LittleEndian.AppendUint32(value, math.Float32bits(float32(d.perSecond)))
	}
	return value
}

// decodeDemand decodes an entry. It returns nil if the length of value is invalid.
func decodeDemand(value []byte) []tenantDemand {
	if len(value)%encodedDemandBytes != 0 {
		return nil
	}
	demands := make([]tenantDemand, 0, len(value)/encodedDemandBytes)
	for len(value) > 0 {
		demands = append(demands, tenantDemand{
			tenant:    tenantHash(binary.LittleEndian.Uint32(value)),
			perSecond: float64(math.Float32frombits(binary.LittleEndian.Uint32(value[4:]))),
		})
		value = value[encodedDemandBytes:]
	}
	return demands
}

// otherDemand returns the total demand of each tenant on the other live hosts.
// The entries of dead hosts don't count.
func (q *Quota) otherDemand() map[tenantHash]float64 {
	self := q.exchange.Self().ID
	live := make(map[string]bool)
	for _, h := range q.exchange.Hosts() {
		live[h.ID] = h.State == peer.StateAlive || h.State == peer.StateSuspect
	}
	demand := make(map[tenantHash]float64)
	for _, e := range q.exchange.Entries(peer.TopicDemand) {
		if e.HostID == self || !live[e.HostID] {
			continue
		}
		for _, d := range decodeDemand(e.Value) {
			demand[d.tenant] += d.perSecond
		}
	}
	return demand
}

// DemandByHost returns the published demand of each host, summed over its tenants,
// in requests per second.
func (q *Quota) DemandByHost() map[string]float64 {
	demand := make(map[string]float64)
	for _, e := range q.exchange.Entries(peer.TopicDemand) {
		for _, d := range decodeDemand(e.Value) {
			demand[e.HostID] += d.perSecond
		}
	}
	return demand
}
