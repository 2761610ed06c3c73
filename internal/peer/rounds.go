package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// joinWindow is how long after its start a process may raise its epoch over an earlier one's.
	joinWindow = 30 * time.Second
	// rotation is the interval at which one random neighbour is replaced.
	rotation = time.Minute
	// farewell bounds the wait for others to take this host's leave.
	farewell = 300 * time.Millisecond
	// surplusAge is the least age at which a link outside the neighbours is closed.
	surplusAge = 5 * time.Second
)

// Run exchanges entries with the other hosts until ctx ends, then says that this host left.
func (n *Node) Run(ctx context.Context) error {
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.mu.Lock()
	n.ctx = taskCtx
	n.mu.Unlock()
	n.tasks.Go(func() { n.accept(taskCtx) })
	n.rounds(ctx)
	n.leave()
	cancel()
	err := n.opts.Transport.Close()
	n.tasks.Wait()
	return err
}

// rounds runs a round every PeerRound until ctx ends.
func (n *Node) rounds(ctx context.Context) {
	r := rounder{node: n, last: time.Now(), healed: time.Now()}
	ticker := time.NewTicker(n.opts.Timing.PeerRound)
	defer ticker.Stop()
	r.round(time.Now())
	for {
		select {
		case <-ticker.C:
			r.round(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// leave publishes that this host left and gives the links time to send it.
func (n *Node) leave() {
	n.mu.Lock()
	n.record.Draining = true
	n.record.Left = true
	n.record.Version++
	n.publishRecord(time.Now())
	n.wakeLinks(nil)
	links := len(n.links)
	n.mu.Unlock()
	if links > 0 {
		time.Sleep(farewell)
	}
}

// rounder does the periodic work of a Node.
type rounder struct {
	node   *Node
	last   time.Time
	healed time.Time
	turn   int
}

func (r *rounder) round(now time.Time) {
	n := r.node
	paused := now.Sub(r.last) > n.opts.Timing.PeerSuspect
	r.last = now
	if paused {
		n.forgive(now)
	}
	n.upkeep(now)
	watched, wanted := n.neighbours(now)
	n.judgeSilence(watched, now)
	n.connect(wanted)
	n.dropSurplus(wanted, now)
	r.ping(watched)
	r.heal(now)
}

// forgive gives all hosts a new chance after this process was paused: their
// silence was its own.
func (n *Node) forgive(now time.Time) {
	links := n.allLinks()
	n.mu.Lock()
	clear(n.unreachable)
	n.hosts.restart(now)
	n.mu.Unlock()
	for _, l := range links {
		l.forgive(now)
	}
}

// allLinks returns the links, the oldest first.
func (n *Node) allLinks() []*link {
	n.mu.Lock()
	links := slices.Collect(maps.Keys(n.links))
	n.mu.Unlock()
	slices.SortFunc(links, func(a, b *link) int { return a.opened.Compare(b.opened) })
	return links
}

// upkeep expires entries, renews the own record and derives the hosts' states.
func (n *Node) upkeep(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, topic := range n.store.expire(now, n.incarnation) {
		n.notify(topic)
	}
	if now.Sub(n.renewed) >= hostRenewal {
		n.publishRecord(now)
		n.wakeLinks(nil)
	}
	n.refreshHosts(now)
}

// neighbours returns the watched hosts and all hosts to be linked with.
func (n *Node) neighbours(now time.Time) (watched, wanted []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ids := n.hosts.reachableIDs(n.record.ID)
	watched = successors(n.record.ID, ids, monitored)
	if now.Sub(n.rotated) >= rotation && len(n.random) > 0 {
		n.random = slices.Delete(n.random, 0, 1)
		n.rotated = now
	}
	n.random = refill(n.random, ids, watched, extra, rand.IntN)
	return watched, append(slices.Clone(watched), n.random...)
}

// judgeSilence closes links whose other side owes an answer for too long, and
// publishes suspicions of watched hosts that give no sign of life.
func (n *Node) judgeSilence(watched []string, now time.Time) {
	limit := n.opts.Timing.PeerSuspect
	silent := make(map[string]time.Time)
	for _, l := range n.allLinks() {
		if since := l.silentSince(); !since.IsZero() && now.Sub(since) >= limit {
			silent[l.hostID] = since
			l.close()
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, since := range silent {
		n.missed(id, since)
	}
	for _, id := range watched {
		since, ok := n.unreachable[id]
		if ok && now.Sub(since) >= limit {
			n.suspect(id, now)
		}
	}
	n.withdrawRefuted()
}

// missed records since when a host gave no sign of life. The caller holds mu.
func (n *Node) missed(hostID string, since time.Time) {
	if old, ok := n.unreachable[hostID]; !ok || since.Before(old) {
		n.unreachable[hostID] = since
	}
}

// suspect publishes a suspicion of a host, unless one stands already. The caller holds mu.
func (n *Node) suspect(id string, now time.Time) {
	h := n.hosts.hosts[id]
	if h == nil || h.state != StateAlive {
		return
	}
	n.opts.Log.Info("host is suspected", "peer", id, "silent_since", n.unreachable[id].Format(time.RFC3339Nano))
	n.putOwn(topicSuspect, h.incarnation, encode(&suspicion{Version: h.record.Version}), false, hostTTL)
	n.refreshHosts(now)
	n.wakeLinks(nil)
}

// withdrawRefuted drops own suspicions that a newer record refuted. The caller holds mu.
func (n *Node) withdrawRefuted() {
	for _, h := range n.hosts.hosts {
		e := n.own(topicSuspect, h.incarnation)
		if e == nil || e.deleted || h.state == StateSuspect || h.state == StateDead {
			continue
		}
		n.putOwn(topicSuspect, h.incarnation, nil, true, n.opts.Timing.PeerDead)
	}
}

// connect dials the wanted hosts that have no link.
func (n *Node) connect(wanted []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	linked := n.linked()
	for _, id := range wanted {
		if !linked[id] {
			n.dial(id, n.hosts.hosts[id].record.PeerAddress)
		}
	}
}

// linked returns the ids of hosts with a link. The caller holds mu.
func (n *Node) linked() map[string]bool {
	out := make(map[string]bool, len(n.links))
	for l := range n.links {
		out[l.hostID] = true
	}
	return out
}

// dropSurplus closes the links that this host opened to hosts which are no
// neighbours. Of two links with the same host, the host with the smaller id closes its own.
func (n *Node) dropSurplus(wanted []string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	inbound := make(map[string]bool)
	for l := range n.links {
		if !l.outbound {
			inbound[l.hostID] = true
		}
	}
	for l := range n.links {
		if !l.outbound || now.Sub(l.opened) < surplusAge {
			continue
		}
		if !slices.Contains(wanted, l.hostID) || n.record.ID < l.hostID && inbound[l.hostID] {
			l.close()
		}
	}
}

// ping asks the watched hosts for a sign of life in each round, and one of the other links in turn.
func (r *rounder) ping(watched []string) {
	var others []*link
	for _, l := range r.node.allLinks() {
		if !l.ready() {
			continue
		}
		if slices.Contains(watched, l.hostID) {
			l.ping()
			continue
		}
		others = append(others, l)
	}
	if len(others) > 0 {
		r.turn++
		others[r.turn%len(others)].ping()
	}
}
