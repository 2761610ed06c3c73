package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// knownHost is what this host believes of one process.
type knownHost struct {
	record      hostRecord
	incarnation string
	state       HostState
	// suspectSince is when the present suspicion was first seen, on the local clock.
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

// reachable reports whether the host may be exchanged with.
func (h *knownHost) reachable() bool { return h.state == StateAlive || h.state == StateSuspect }

// hostTable derives the hosts from the store.
type hostTable struct {
	hosts map[string]*knownHost
	// sorted holds the hosts in order of id.
	sorted []Host
	// confirm is how long a suspicion stands unrefuted before the host is held dead.
	confirm time.Duration
}

func newHostTable(confirm time.Duration) *hostTable {
	return &hostTable{hosts: make(map[string]*knownHost), confirm: confirm}
}

// refresh takes the records and suspicions of the store. It reports whether
// any host or state changed.
func (t *hostTable) refresh(s *store, now time.Time) bool {
	next := make(map[string]*knownHost, len(t.hosts))
	s.each(TopicHost, now, func(e *stored) {
		record := e.hostRecord()
		if record == nil {
			return
		}
		h := &knownHost{record: *record, incarnation: e.origin.incarnation}
		if newer(h, next[record.ID]) {
			next[record.ID] = h
		}
	})
	suspected := suspicions(s, now)
	changed := len(next) != len(t.hosts)
	for id, h := range next {
		old := t.hosts[id]
		t.judge(h, old, suspected, now)
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

// newer reports whether a process replaces another with the same host id.
func newer(h, other *knownHost) bool {
	if other == nil {
		return true
	}
	if c := cmp.Compare(h.record.Epoch, other.record.Epoch); c != 0 {
		return c > 0
	}
	return h.incarnation > other.incarnation
}

// suspicions returns the highest suspected record version by incarnation.
func suspicions(s *store, now time.Time) map[string]uint64 {
	out := make(map[string]uint64)
	s.each(topicSuspect, now, func(e *stored) {
		var value suspicion
		if decode(e.value, &value) {
			out[e.key] = max(out[e.key], value.Version)
		}
	})
	return out
}

// judge sets the state of h from the suspicions and its earlier state.
func (t *hostTable) judge(h, old *knownHost, suspected map[string]uint64, now time.Time) {
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
	if now.Sub(h.suspectSince) >= t.confirm {
		h.state = StateDead
	}
}

// restart begins the terms of all suspicions anew, after this process was paused.
func (t *hostTable) restart(now time.Time) {
	for _, h := range t.hosts {
		if h.state == StateSuspect {
			h.suspectSince = now
		}
	}
}

// sort rebuilds the sorted list.
func (t *hostTable) sort() {
	t.sorted = make([]Host, 0, len(t.hosts))
	for _, id := range slices.Sorted(maps.Keys(t.hosts)) {
		t.sorted = append(t.sorted, t.hosts[id].host())
	}
}

// reachableIDs returns the ids of the hosts that may be exchanged with, in order, without self.
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
