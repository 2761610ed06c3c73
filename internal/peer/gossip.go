package peer

import "time"

// addLink registers a link.
func (n *Node) addLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[l] = struct{}{}
}

// removeLink removes a link that has ended.
func (n *Node) removeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
}

// digest returns the highest sequence numbers in this host's store, by incarnation.
func (n *Node) digest() map[string]sequences {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.digest()
}

// blocksToSend returns the entries that a link sends now, and whether urgent
// entries remain. The caller holds the link's mu.
func (n *Node) blocksToSend(l *link, now time.Time) ([]block, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	urgent, cursor := n.store.arrivedAfter(urgentLane, l.cursor[urgentLane], l.known, maxUrgentBytes)
	l.cursor[urgentLane] = cursor
	more := cursor < n.store.lastArrival(urgentLane)
	entries := urgent
	if l.pingDue || l.ackDue {
		entries = append(entries, n.bulkEntriesToSend(l, now)...)
	}
	n.budget.ReserveN(now, min(sizeOf(entries), bulkBurst))
	return blocksOf(entries, now), more
}

// bulkEntriesToSend returns the bulk entries that a link sends now, within the remaining budget.
func (n *Node) bulkEntriesToSend(l *link, now time.Time) []*storedEntry {
	allowed := min(int(n.budget.TokensAt(now)), maxBulkBytes)
	if allowed <= 0 {
		return nil
	}
	bulk, cursor := n.store.arrivedAfter(bulkLane, l.cursor[bulkLane], l.known, allowed)
	l.cursor[bulkLane] = cursor
	return bulk
}

func sizeOf(entries []*storedEntry) int {
	total := 0
	for _, e := range entries {
		total += len(e.topic) + len(e.key) + len(e.value)
	}
	return total
}

// applyBlocks stores received entries, notifies watchers and forwards urgent entries at once.
func (n *Node) applyBlocks(from *link, blocks []block, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordContact(from.hostID, now)
	changed := make(map[Topic]bool)
	for _, b := range blocks {
		if b.Incarnation == n.incarnation {
			continue
		}
		for _, u := range b.updates() {
			if n.store.put(u, now) {
				changed[u.topic] = true
			}
		}
	}
	urgent := false
	for topic := range changed {
		n.notify(topic)
		urgent = urgent || laneOf(topic) == urgentLane
	}
	if changed[TopicHost] || changed[topicSuspect] {
		n.refreshHosts(now)
	}
	if urgent {
		n.wakeLinks(from)
	}
}

// refreshHosts updates the host table, and refutes suspicions of this host. The
// caller holds mu.
func (n *Node) refreshHosts(now time.Time) {
	n.refute(now)
	if n.hosts.refresh(n.store, now) {
		n.notify(TopicHost)
	}
}

// refute publishes a newer record if this process is suspected, or if another
// process of the same host supersedes it. It does the latter only within
// epochRaiseWindow after the start: a process that was replaced while it was paused
// must not replace its successor. The caller holds mu.
func (n *Node) refute(now time.Time) {
	suspected, ok := suspectedVersions(n.store, now)[n.incarnation]
	outdated := ok && suspected >= n.record.Version
	if outdated {
		n.record.Version = suspected + 1
	}
	if now.Sub(n.started) < epochRaiseWindow {
		if other := n.hosts.hosts[n.record.ID]; other != nil && other.incarnation != n.incarnation {
			n.record.Epoch = other.record.Epoch + 1
			n.record.Version++
			outdated = true
		}
	}
	if outdated {
		n.publishRecord(now)
		n.wakeLinks(nil)
	}
}
