package fleet

import "time"

// leavingMarkTTL is how long a mark is kept after its replica was last known. It is much
// longer than a replica serves after it has begun to leave.
const leavingMarkTTL = 10 * time.Minute

// leavingMark is the incarnation of a replica that leaves. It outlives the member: the
// entry of a leaving replica may expire while the store is away and come back as it was.
type leavingMark struct {
	incarnation int64
	lastSeen    time.Time
}

// MarkLeaving records that a replica has said in an answer that it leaves. This
// incarnation of it gets no new requests from this host, whatever discovery shows.
func (f *Fleet) MarkLeaving(r Replica) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[r.ID]
	if m == nil || m.Incarnation != r.Incarnation || m.leaving {
		return
	}
	m.leaving = true
	f.left[r.ID] = leavingMark{incarnation: r.Incarnation, lastSeen: time.Now()}
	f.log.Info("replica says that it leaves", "replica", r.ID, "service", r.Service, "draining", m.Draining)
}

// hasLeft reports whether an incarnation of a replica was marked. The caller holds mu.
func (f *Fleet) hasLeft(r Replica) bool {
	mark, ok := f.left[r.ID]
	return ok && mark.incarnation == r.Incarnation
}

// forgetLeft deletes the marks of replicas that are gone for leavingMarkTTL. The caller holds mu.
func (f *Fleet) forgetLeft(now time.Time) {
	for id, mark := range f.left {
		switch m := f.members[id]; {
		case m != nil && m.Incarnation != mark.incarnation:
			delete(f.left, id)
		case m != nil:
			f.left[id] = leavingMark{incarnation: mark.incarnation, lastSeen: now}
		case now.Sub(mark.lastSeen) > leavingMarkTTL:
			delete(f.left, id)
		}
	}
}
