package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// knownHost is the state of a host's newest process, as seen by this host.
type knownHost struct {
	record      hostRecord
	incarnation string
	state       HostState
	// suspectSince is when this host first saw the current suspicion, or when this process resumed after a
	// pause during it; zero without a suspicion.
	suspectSince time.Time
}

func (h *knownHost) host() Host {
	return Host{
		ID:            h.record.ID,
		Incarnation:   h.incarnation,
		CallerAddress: h.record.CallerAddress,
		PeerAddress:   h.record.PeerAddress,
		FailureDomain: h.record.FailureDomain,
		Region:        h.record.Region,
		Draining:      h.record.Draining,
		State:         h.state,
	}
}

// reachable reports whether this host may open a link to the host.
func (h *knownHost) reachable() bool { return h.state == StateAlive || h.state == StateSuspect }

// hostTable holds the hosts and their states, computed from the entries of the store.
type hostTable struct {
	hosts map[string]*knownHost
	// sorted holds the hosts ordered by id.
	sorted []Host
	// suspicionTimeout is the time after which a host whose suspicion is not refuted counts as dead.
	suspicionTimeout time.Duration
}

func newHostTable(suspicionTimeout time.Duration) *hostTable {
	return &hostTable{hosts: make(map[string]*knownHost), suspicionTimeout: suspicionTimeout}
}

// refresh updates the table from the host records and suspicions in the store. It
// reports whether any host has changed.
func (t *hostTable) refresh(s *store, now time.Time) bool {
	next := make(map[string]*knownHost, len(t.hosts))
	s.forEach(TopicHost, now, func(e *storedEntry) {
		record := e.hostRecord()
		if record == nil {
			return
		}
		h := &knownHost{record: *record, incarnation: e.origin.incarnation}
		if supersedes(h, next[record.ID]) {
			next[record.ID] = h
		}
	})
	suspected := suspectedVersions(s, now)
	changed := len(next) != len(t.hosts)
	for id, h := range next {
		old := t.hosts[id]
		t.updateState(h, old, suspected, now)
		if old == nil || old.state != h.state || old.incarnation != h.incarnation || old.record != h.record {
			changed = true
		}
	}
	t.hosts = next
	if changed {
		t.sort()
	}
	return changed
}

// supersedes reports whether process h is newer than another process with the same host id.
func supersedes(h, other *knownHost) bool {
	if other == nil {
		return true
	}
	if c := cmp.Compare(h.record.Epoch, other.record.Epoch); c != 0 {
		return c > 0
	}
	return h.incarnation > other.incarnation
}

// suspectedVersions returns the highest suspected version of each host record, by incarnation.
func suspectedVersions(s *store, now time.Time) map[string]uint64 {
	out := make(map[string]uint64)
	s.forEach(topicSuspect, now, func(e *storedEntry) {
		var value suspicion
		if decode(e.value, &value) {
			out[e.key] = max(out[e.key], value.Version)
		}
	})
	return out
}

// updateState sets the state of h from the suspicions and its previous state in old.
func (t *hostTable) updateState(h, old *knownHost, suspected map[string]uint64, now time.Time) {
	version, isSuspected := suspected[h.incarnation]
	switch {
	case h.record.Left:
		h.state = StateLeft
		return
	case !isSuspected || version < h.record.Version:
		h.state = StateAlive
		return
	}
	h.suspectSince = now
	if old != nil && old.incarnation == h.incarnation && !old.suspectSince.IsZero() {
		h.suspectSince = old.suspectSince
	}
	h.state = StateSuspect
	if now.Sub(h.suspectSince) >= t.suspicionTimeout {
		h.state = StateDead
	}
}

// restartSuspicions restarts suspicionTimeout for all suspect hosts, after this process was paused.
func (t *hostTable) restartSuspicions(now time.Time) {
	for _, h := range t.hosts {
		if h.state == StateSuspect {
			h.suspectSince = now
		}
	}
}

// sort rebuilds sorted.
func (t *hostTable) sort() {
	t.sorted = make([]Host, 0, len(t.hosts))
	for _, id := range slices.Sorted(maps.Keys(t.hosts)) {
		t.sorted = append(t.sorted, t.hosts[id].host())
	}
}

// reachableIDs returns the sorted ids of the reachable hosts, without self.
func (t *hostTable) reachableIDs(self string) []string {
	var out []string
	for id, h := range t.hosts {
		if id != self && h.reachable() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
