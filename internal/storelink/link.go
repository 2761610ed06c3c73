package storelink

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// turnedAwayAfter is how long direct calls must have failed without a success
	// before this host counts as turned away. A store that refuses calls because all
	// hosts together make too many still serves some within that time.
	turnedAwayAfter = 300 * time.Millisecond
	// turnedAwayFailures is the number of direct calls that must have failed meanwhile.
	turnedAwayFailures = 3
	// probeInterval is the time between two direct calls of a host that is turned away.
	probeInterval = 500 * time.Millisecond
	// relayBackoff is how long no call is relayed after all peers that were asked
	// could not help, as when the store is down for every host.
	relayBackoff = 250 * time.Millisecond
	// peerPause is how long a peer is not asked again after it could not help. Several
	// rounds then ask different peers.
	peerPause = 3 * time.Second
	// maxPeers is the largest number of peers of Order. A call asks these after the peer
	// that helped last.
	maxPeers = 3
)

// Way is how a call reaches the store.
type Way int

// Ways of a call.
const (
	// Direct calls go to the store.
	Direct Way = iota
	// Relayed calls go to a peer, which sends them to the store.
	Relayed
)

// Link is what a host knows of its way to the store. The zero value is a host that
// the store serves. It is not safe for concurrent use.
//
// Load pattern: for seconds the store turns a part of the hosts away, by refusals, by
// resets or by silence, while it serves the others; or it is down for all hosts, and
// each relayed call would be one more call in vain.
type Link struct {
	// failingSince is the start of the first direct call that failed since the last
	// success; zero if the last one succeeded.
	failingSince time.Time
	// failures is the number of direct calls that failed since.
	failures int
	// probedAt is when a direct call was last allowed while this host was turned away.
	probedAt time.Time
	// relayRetryAt is the end of relayBackoff.
	relayRetryAt time.Time
	// pausedUntil is the end of the pause of each peer.
	pausedUntil map[string]time.Time
}

// Succeeded records that the store answered a direct call.
func (l *Link) Succeeded() { l.failingSince, l.failures = time.Time{}, 0 }

// Failed records that a direct call, begun at started, got no answer or a refusal.
func (l *Link) Failed(started time.Time) {
	if l.failingSince.IsZero() || started.Before(l.failingSince) {
		l.failingSince = started
	}
	l.failures++
}

// TurnedAway reports whether the store does not serve this host.
func (l *Link) TurnedAway(now time.Time) bool {
	return l.failures >= turnedAwayFailures && now.Sub(l.failingSince) >= turnedAwayAfter
}

// MayRelay reports whether a call may be relayed: this host is turned away, and peers
// have not just failed to help.
func (l *Link) MayRelay(now time.Time) bool { return l.TurnedAway(now) && !now.Before(l.relayRetryAt) }

// Route returns the way for the next call. Of a host that is turned away, one read in
// probeInterval is direct and tells whether the store serves it again.
func (l *Link) Route(read bool, now time.Time) Way {
	switch {
	case !l.MayRelay(now):
		return Direct
	case read && now.Sub(l.probedAt) >= probeInterval:
		l.probedAt = now
		return Direct
	}
	return Relayed
}

// PeerFailed records that a peer could not help.
func (l *Link) PeerFailed(id string, now time.Time) {
	if l.pausedUntil == nil {
		l.pausedUntil = map[string]time.Time{}
	}
	for peer, until := range l.pausedUntil {
		if now.After(until) {
			delete(l.pausedUntil, peer)
		}
	}
	l.pausedUntil[id] = now.Add(peerPause)
}

// NobodyHelped records that no peer could relay a call.
func (l *Link) NobodyHelped(now time.Time) { l.relayRetryAt = now.Add(relayBackoff) }

// Peer is another host that may relay calls.
type Peer struct {
	ID string
	// Domain is its failure domain.
	Domain string
	// Address is the ip:port of its Server.
	Address string
}

// Order returns the peers to ask for a call, the first one first. Hosts that are turned
// away together spread over the others by a rendezvous hash. The first peer is one of
// this host's failure domain, because traffic within it is cheap; the next ones are of
// any domain, because the store may turn away a whole one.
func (l *Link) Order(self, domain string, peers []Peer, now time.Time) []Peer {
	type ranked struct {
		Peer
		weight uint64
	}
	usable := make([]ranked, 0, len(peers))
	for _, p := range peers {
		if p.ID != self && p.Address != "" && !now.Before(l.pausedUntil[p.ID]) {
			usable = append(usable, ranked{p, xxhash.Sum64String(self + "\x00" + p.ID)})
		}
	}
	slices.SortFunc(usable, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	if i := slices.IndexFunc(usable, func(p ranked) bool { return p.Domain == domain }); i > 0 {
		near := usable[i]
		usable = slices.Insert(slices.Delete(usable, i, i+1), 0, near)
	}
	order := make([]Peer, 0, maxPeers)
	for _, p := range usable[:min(maxPeers, len(usable))] {
		order = append(order, p.Peer)
	}
	return order
}
