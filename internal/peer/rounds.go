package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// epochRaiseWindow is the time after its start in which a process may raise its epoch above that of a
	// previous process of the same host, whose clock may have been ahead; see refute.
	epochRaiseWindow = 30 * time.Second
	// rotationInterval is the interval at which one random neighbour is replaced.
	rotationInterval = time.Minute
	// leaveFlushDelay is how long a host that stops waits for its links to send its last record.
	leaveFlushDelay = 300 * time.Millisecond
	// minSurplusLinkAge is the minimum age of a link that is closed as surplus.
	minSurplusLinkAge = 5 * time.Second
)

// Run exchanges entries with the other hosts until ctx ends, then announces that this host has left.
func (n *Node) Run(ctx context.Context) error {
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.mu.Lock()
	n.ctx = taskCtx
	n.mu.Unlock()
	n.tasks.Go(func() { n.accept(taskCtx) })
	n.runRounds(ctx)
	n.leave()
	cancel()
	err := n.opts.Transport.Close()
	n.tasks.Wait()
	return err
}

// runRounds runs a round every PeerRound until ctx ends.
func (n *Node) runRounds(ctx context.Context) {
	r := roundRunner{node: n, lastRound: time.Now(), lastHeal: time.Now()}
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

// leave publishes that this host has left, and gives the links time to send it.
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
		time.Sleep(leaveFlushDelay)
	}
}

// roundRunner runs the periodic work of a Node.
type roundRunner struct {
	node      *Node
	lastRound time.Time
	// lastHeal is when heal last tried to reach a host that is not known to be alive.
	lastHeal time.Time
	// pingCount counts the pings on links to hosts that are not monitored.
	pingCount int
}

// round updates the entries, the host table and the links, and monitors hosts for failure.
func (r *roundRunner) round(now time.Time) {
	n := r.node
	paused := now.Sub(r.lastRound) > n.opts.Timing.PeerSuspect
	r.lastRound = now
	if paused {
		n.restartFailureDetection(now)
	}
	n.maintain(now)
	monitored, wanted := n.neighbours(now)
	n.checkSilence(monitored, now)
	n.connect(wanted)
	n.closeSurplusLinks(wanted, now)
	r.ping(monitored)
	r.heal(now)
}

// restartFailureDetection restarts the waits for acknowledgements and for refutations
// of suspicions after this process was paused, because it could not receive any meanwhile.
func (n *Node) restartFailureDetection(now time.Time) {
	links := n.linksByAge()
	n.mu.Lock()
	clear(n.unreachable)
	n.hosts.restartSuspicions(now)
	n.mu.Unlock()
	for _, l := range links {
		l.restartAckWait(now)
	}
}

// linksByAge returns the links, oldest first.
func (n *Node) linksByAge() []*link {
	n.mu.Lock()
	links := slices.Collect(maps.Keys(n.links))
	n.mu.Unlock()
	slices.SortFunc(links, func(a, b *link) int { return a.opened.Compare(b.opened) })
	return links
}

// maintain removes expired entries, renews this host's record if due and updates the host table.
func (n *Node) maintain(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, topic := range n.store.expire(now, n.incarnation) {
		n.notify(topic)
	}
	if now.Sub(n.recordPublished) >= hostRecordRenewal {
		n.publishRecord(now)
		n.wakeLinks(nil)
	}
	n.refreshHosts(now)
}

// neighbours updates the random neighbours, and returns the hosts to monitor and all
// hosts to keep a link to.
func (n *Node) neighbours(now time.Time) (monitored, wanted []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ids := n.hosts.reachableIDs(n.record.ID)
	monitored = successors(n.record.ID, ids, monitoredHosts)
	if now.Sub(n.lastRotation) >= rotationInterval && len(n.randomNeighbours) > 0 {
		n.randomNeighbours = slices.Delete(n.randomNeighbours, 0, 1)
		n.lastRotation = now
	}
	n.randomNeighbours = refill(n.randomNeighbours, ids, monitored, randomHosts, rand.IntN)
	return monitored, append(slices.Clone(monitored), n.randomNeighbours...)
}

// checkSilence closes links on which an acknowledgement is overdue, publishes
// suspicions of monitored hosts that have not answered for PeerSuspect, and
// withdraws suspicions that were refuted.
func (n *Node) checkSilence(monitored []string, now time.Time) {
	limit := n.opts.Timing.PeerSuspect
	silent := make(map[string]time.Time)
	for _, l := range n.linksByAge() {
		if since := l.oldestUnacked(); !since.IsZero() && now.Sub(since) >= limit {
			silent[l.hostID] = since
			l.close()
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, since := range silent {
		n.markUnreachable(id, since)
	}
	for _, id := range monitored {
		since, ok := n.unreachable[id]
		if ok && now.Sub(since) >= limit {
			n.suspect(id, now)
		}
	}
	n.withdrawRefuted()
}

// markUnreachable records that a host has not answered since a time. The caller holds mu.
func (n *Node) markUnreachable(hostID string, since time.Time) {
	if old, ok := n.unreachable[hostID]; !ok || since.Before(old) {
		n.unreachable[hostID] = since
	}
}

// suspect publishes a suspicion of a host if its state is alive. The caller holds mu.
func (n *Node) suspect(id string, now time.Time) {
	h := n.hosts.hosts[id]
	if h == nil || h.state != StateAlive {
		return
	}
	n.opts.Log.Info("host is suspected", "peer", id, "silent_since", n.unreachable[id].Format(time.RFC3339Nano))
	n.putOwnEntry(topicSuspect, h.incarnation, encode(&suspicion{Version: h.record.Version}), false, hostRecordTTL)
	n.refreshHosts(now)
	n.wakeLinks(nil)
}

// withdrawRefuted withdraws this host's suspicions of hosts that are neither suspect nor dead any more.
// The caller holds mu.
func (n *Node) withdrawRefuted() {
	for _, h := range n.hosts.hosts {
		e := n.ownEntry(topicSuspect, h.incarnation)
		if e == nil || e.deleted || h.state == StateSuspect || h.state == StateDead {
			continue
		}
		n.putOwnEntry(topicSuspect, h.incarnation, nil, true, n.opts.Timing.PeerDead)
	}
}

// connect dials the wanted hosts without a link.
func (n *Node) connect(wanted []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	linked := n.linkedHosts()
	for _, id := range wanted {
		if !linked[id] {
			n.dial(id, n.hosts.hosts[id].record.PeerAddress)
		}
	}
}

// linkedHosts returns the ids of hosts with a link. The caller holds mu.
func (n *Node) linkedHosts() map[string]bool {
	out := make(map[string]bool, len(n.links))
	for l := range n.links {
		out[l.hostID] = true
	}
	return out
}

// closeSurplusLinks closes the links that this host opened to hosts other than
// wanted. If two hosts have opened links to each other, the host with the smaller
// id closes its own.
func (n *Node) closeSurplusLinks(wanted []string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	inbound := make(map[string]bool)
	for l := range n.links {
		if !l.outbound {
			inbound[l.hostID] = true
		}
	}
	for l := range n.links {
		if !l.outbound || now.Sub(l.opened) < minSurplusLinkAge {
			continue
		}
		if !slices.Contains(wanted, l.hostID) || n.record.ID < l.hostID && inbound[l.hostID] {
			l.close()
		}
	}
}

// ping pings all monitored hosts in each round, and one of the other links in turn.
func (r *roundRunner) ping(monitored []string) {
	var others []*link
	for _, l := range r.node.linksByAge() {
		if !l.ready() {
			continue
		}
		if slices.Contains(monitored, l.hostID) {
			l.ping()
			continue
		}
		others = append(others, l)
	}
	if len(others) > 0 {
		r.pingCount++
		others[r.pingCount%len(others)].ping()
	}
}
