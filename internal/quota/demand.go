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
	// demandKey is the key of a host's one entry.
	demandKey = "all"
	// maxPublished bounds the tenants in an entry; those with the least demand are left out.
	maxPublished = 64
	// figureBytes is the length of one encoded figure: the tenant's hash and its demand.
	figureBytes = 8
)

// tenantHash names a tenant in an entry.
type tenantHash uint32

func hashOf(tenant string) tenantHash { return tenantHash(xxhash.Sum64String(tenant)) }

// figure is one tenant's demand, in requests a second.
type figure struct {
	tenant    tenantHash
	perSecond float64
}

// encodeFigures encodes the largest figures.
func encodeFigures(figures []figure) []byte {
	slices.SortFunc(figures, func(a, b figure) int {
		return cmp.Or(cmp.Compare(b.perSecond, a.perSecond), cmp.Compare(a.tenant, b.tenant))
	})
	figures = figures[:min(len(figures), maxPublished)]
	value := make([]byte, 0, figureBytes*len(figures))
	for _, f := range figures {
		value = binary.LittleEndian.AppendUint32(value, uint32(f.tenant))
		value = binary.LittleEndian.AppendUint32(value, math.Float32bits(float32(f.perSecond)))
	}
	return value
}

// decodeFigures returns nil for a value of another form.
func decodeFigures(value []byte) []figure {
	if len(value)%figureBytes != 0 {
		return nil
	}
	figures := make([]figure, 0, len(value)/figureBytes)
	for len(value) > 0 {
		figures = append(figures, figure{
			tenant:    tenantHash(binary.LittleEndian.Uint32(value)),
			perSecond: float64(math.Float32frombits(binary.LittleEndian.Uint32(value[4:]))),
		})
		value = value[figureBytes:]
	}
	return figures
}

// otherDemand returns the demand for each tenant on the other live hosts
// together. What a host demanded that is held dead since counts no more.
func (q *Quota) otherDemand() map[tenantHash]float64 {
	self := q.exchange.Self().ID
	live := make(map[string]bool)
	for _, h := range q.exchange.Hosts() {
		live[h.ID] = h.State == peer.Alive || h.State == peer.Suspect
	}
	demand := make(map[tenantHash]float64)
	for _, e := range q.exchange.Entries(peer.TopicDemand) {
		if e.HostID == self || !live[e.HostID] {
			continue
		}
		for _, f := range decodeFigures(e.Value) {
			demand[f.tenant] += f.perSecond
		}
	}
	return demand
}

// DemandByHost returns the demand of each host over all tenants, in requests a second.
func (q *Quota) DemandByHost() map[string]float64 {
	demand := make(map[string]float64)
	for _, e := range q.exchange.Entries(peer.TopicDemand) {
		for _, f := range decodeFigures(e.Value) {
			demand[e.HostID] += f.perSecond
		}
	}
	return demand
}
