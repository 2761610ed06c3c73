package peer

import (
	"math/rand/v2"
	"time"
)

// healInterval is the interval at which an address outside the known live hosts is tried.
const healInterval = 5 * time.Second

// heal tries an address of a host that this one does not know to be live, so
// that parts which lost each other meet again. Without any link it tries in each round.
func (r *rounder) heal(now time.Time) {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.links) > 0 && now.Sub(r.healed) < healInterval {
		return
	}
	r.healed = now
	candidates := n.strangers()
	if len(candidates) > 0 {
		c := candidates[rand.IntN(len(candidates))]
		n.dial(c.id, c.address)
	}
}

// stranger is an address worth a try.
type stranger struct{ id, address string }

// strangers returns the addresses of seeds and hosts that are not known to be live. The caller holds mu.
func (n *Node) strangers() []stranger {
	live := map[string]bool{n.record.PeerAddress: true}
	addresses := make(map[string]string, len(n.seeds))
	for id, address := range n.seeds {
		addresses[address] = id
	}
	for id, h := range n.hosts.hosts {
		if h.state == StateAlive && len(n.links) > 0 {
			live[h.record.PeerAddress] = true
		} else if h.state != StateLeft {
			addresses[h.record.PeerAddress] = id
		}
	}
	var out []stranger
	for address, id := range addresses {
		if !live[address] {
			out = append(out, stranger{id: id, address: address})
		}
	}
	return out
}
