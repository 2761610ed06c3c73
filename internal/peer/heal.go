package peer

import (
	"math/rand/v2"
	"time"
)

// healInterval is the interval between attempts to reach a host that is not known to be alive.
const healInterval = 5 * time.Second

// heal dials a random host that is not known to be alive, which reconnects the
// parts of a network after a partition. A host without links does so in each round.
func (r *roundRunner) heal(now time.Time) {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.links) > 0 && now.Sub(r.lastHeal) < healInterval {
		return
	}
	r.lastHeal = now
	candidates := n.healCandidates()
	if len(candidates) > 0 {
		c := candidates[rand.IntN(len(candidates))]
		n.dial(c.id, c.address)
	}
}

// healCandidate is a host that heal may dial.
type healCandidate struct{ id, address string }

// healCandidates returns the seeds and known hosts that are not known to be alive,
// or all of them if this host has no link. This host's own
// address is excluded, and so are hosts that left, unless a seed has their address.
// The caller holds mu.
func (n *Node) healCandidates() []healCandidate {
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
	var out []healCandidate
	for address, id := range addresses {
		if !live[address] {
			out = append(out, healCandidate{id: id, address: address})
		}
	}
	return out
}
