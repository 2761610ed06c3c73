package storelink

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Replays calls of one host, one each 50 ms, of which the store refuses some.
func TestTurnedAway(t *testing.T) {
	tests := map[string]struct {
		// refused tells whether the store refuses the call at a time since the start.
		refused func(n int) bool
		calls   int
		want    bool
	}{
		"served":                              {func(int) bool { return false }, 20, false},
		"a store at its limit refuses a half": {func(n int) bool { return n%2 == 0 }, 200, false},
		"it refuses nine in ten, for long":    {func(n int) bool { return n%10 != 0 }, 200, true},
		"refused for 0.25 s":                  {func(n int) bool { return n >= 10 }, 15, false},
		"refused for 0.35 s":                  {func(n int) bool { return n >= 10 }, 18, true},
		"refused, then served again":          {func(n int) bool { return n < 19 }, 20, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var l Link
			now := start
			for n := range test.calls {
				if test.refused(n) {
					l.Failed(now)
				} else {
					l.Succeeded()
				}
				now = now.Add(50 * time.Millisecond)
			}
			if got := l.TurnedAway(now); got != test.want {
				t.Errorf("turned away: %t, want %t", got, test.want)
			}
		})
	}
}

func peers(n int) []Peer {
	all := make([]Peer, 0, n)
	for i := range n {
		all = append(all, Peer{ID: fmt.Sprintf("h%d", i), Domain: fmt.Sprintf("z%d", i%6), Address: "10.0.0.1:1"})
	}
	return all
}

// While the store is down for every host, asking peers may add a third at most to the
// 40 calls a second that a host makes in vain anyway.
func TestStoreDownForAllHosts(t *testing.T) {
	var l Link
	asked := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(25 * time.Millisecond) {
		if l.Route(true, now) == Direct {
			l.Failed(now)
			continue
		}
		for _, p := range l.Order("h0", "z0", peers(195), now) {
			asked++
			l.PeerFailed(p.ID, now)
		}
		l.NobodyHelped(now)
	}
	if asked > 400/3 {
		t.Errorf("peers were asked %d times in 10 s, want at most %d", asked, 400/3)
	}
}

// A store that turns away 68 of 195 hosts, a whole failure domain among them: each must
// find a helper within 1 s, and no helper may get more than a few of them.
func TestShareOfTheHostsIsTurnedAway(t *testing.T) {
	all := peers(195)
	away := map[string]bool{}
	for i, p := range all {
		if p.Domain == "z0" || i%5 == 1 {
			away[p.ID] = true
		}
	}
	helps := map[string]int{}
	for _, self := range all {
		if !away[self.ID] {
			continue
		}
		var l Link
		found := time.Duration(-1)
		for now := start; found < 0 && now.Before(start.Add(3*time.Second)); now = now.Add(25 * time.Millisecond) {
			if l.Route(false, now) == Direct {
				l.Failed(start)
				continue
			}
			helped := false
			for _, p := range l.Order(self.ID, self.Domain, all, now) {
				if !away[p.ID] {
					helps[p.ID]++
					helped, found = true, now.Sub(start)
					break
				}
				l.PeerFailed(p.ID, now)
			}
			if !helped {
				l.NobodyHelped(now)
			}
		}
		if found < 0 || found > time.Second {
			t.Errorf("host %s found a helper after %s, want within 1 s", self.ID, found)
		}
	}
	for id, n := range helps {
		if n > 6 {
			t.Errorf("%s helps %d hosts, want at most 6", id, n)
		}
	}
}

func TestFirstPeerIsNear(t *testing.T) {
	var l Link
	order := l.Order("h0", "z3", peers(30), start)
	if len(order) != maxPeers || order[0].Domain != "z3" || order[1].Domain == "z3" && order[2].Domain == "z3" {
		t.Errorf("order is %v, want %d peers, the first of z3, others of any domain", order, maxPeers)
	}
	l.PeerFailed(order[0].ID, start)
	if again := l.Order("h0", "z3", peers(30), start); again[0].ID == order[0].ID {
		t.Error("a peer that just failed is asked again")
	}
	if again := l.Order("h0", "z3", peers(30), start.Add(peerPause)); again[0].ID != order[0].ID {
		t.Error("a peer is not asked again after its pause")
	}
}
