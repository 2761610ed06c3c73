package lease

import "time"

// stateMachine tracks one lease on behalf of one process and decides when to
// renew, take over or release it. It makes no calls and reads no clock, which
// lets tests drive it step by step.
type stateMachine struct {
	holder      string
	incarnation string
	term        time.Duration
	margin      time.Duration

	// seen is the last row read. seenAt is when a read first returned it.
	seen   observation
	seenAt time.Time

	// held is true while the latest known row was written by this process.
	held bool
	// fence and confirmedSeq are the fencing token and the Seq of that row.
	fence        uint64
	confirmedSeq uint64
	// termStart is when the write of that row was sent; the term counts from there.
	termStart time.Time
	// releasing is true once a release was decided; the process never acts again under that grant.
	releasing bool

	// seq is the Seq of the last write of this process.
	seq uint64
	// pending holds the writes whose outcome is not known, by Seq.
	pending map[uint64]pendingWrite
}

// pendingWrite is a write that replaces the row at version.
type pendingWrite struct {
	sentAt  time.Time
	version uint64
}

func newStateMachine(holder, incarnation string, term, margin time.Duration) *stateMachine {
	return &stateMachine{holder: holder, incarnation: incarnation, term: term, margin: margin, pending: map[uint64]pendingWrite{}}
}

// observe records a row that was read. at is when the reply arrived. A pending
// write that does not build on the observed version can no longer apply.
func (m *stateMachine) observe(o observation, at time.Time) {
	if o != m.seen || m.seenAt.IsZero() {
		m.seen, m.seenAt = o, at
	}
	m.updateOwnership(o)
	for seq, write := range m.pending {
		if write.version != o.version {
			delete(m.pending, seq)
		}
	}
}

// updateOwnership sets held according to whether this process wrote the observed row.
func (m *stateMachine) updateOwnership(o observation) {
	if o.Holder != m.holder || o.Incarnation != m.incarnation {
		m.loseLease()
		return
	}
	if write, mine := m.pending[o.Seq]; mine {
		m.confirm(o.row, write.sentAt)
		return
	}
	if o.Seq != m.confirmedSeq || o.Fence != m.fence {
		// An older row of this process, as in a table restored from a backup.
		m.loseLease()
	}
}

// writeApplied records that a write of this process took effect for certain.
func (m *stateMachine) writeApplied(r row) {
	if write, ok := m.pending[r.Seq]; ok {
		m.confirm(r, write.sentAt)
	}
}

// writeRejected records that a write of this process had no effect for certain.
func (m *stateMachine) writeRejected(r row) { delete(m.pending, r.Seq) }

// confirm records an applied write. Its term starts when the write was sent.
func (m *stateMachine) confirm(r row, sentAt time.Time) {
	m.held = true
	m.fence = r.Fence
	m.confirmedSeq = r.Seq
	m.termStart = sentAt
	delete(m.pending, r.Seq)
}

// loseLease records that this process does not hold the lease.
func (m *stateMachine) loseLease() {
	m.held = false
	m.releasing = false
}

// validUntil returns when the current grant expires: the end of the term less
// the margin. It returns false if this process must not act at all.
func (m *stateMachine) validUntil() (time.Time, bool) {
	return m.termStart.Add(m.term - m.margin), m.held && !m.releasing
}

// canTakeOver reports whether the lease may be taken over. The wait starts when this
// process first read the row in its present state. It is extraWait; if the lease has a
// holder, the longer of the holder's and this process's term is added.
func (m *stateMachine) canTakeOver(now time.Time, extraWait time.Duration) bool {
	if m.held || m.seenAt.IsZero() {
		return false
	}
	wait := extraWait
	if m.seen.Holder != "" {
		wait += max(m.term, m.seen.term())
	}
	return !now.Before(m.seenAt.Add(wait))
}

// renewal returns the row that extends a held lease.
func (m *stateMachine) renewal(now time.Time) row { return m.newWrite(m.fence, now) }

// takeover returns the row that takes a free lease. The fencing token is at
// least the wall clock in milliseconds, so it increases even if the table lost
// rows.
func (m *stateMachine) takeover(now time.Time) row {
	return m.newWrite(max(m.seen.Fence+1, uint64(now.UnixMilli())), now)
}

// release returns the row that releases a held lease. The grant is invalid from
// this call on, whether or not the row is written.
func (m *stateMachine) release() row {
	m.releasing = true
	return row{Fence: m.fence}
}

// newWrite returns a row of this process with a new Seq and adds it to pending.
func (m *stateMachine) newWrite(fence uint64, now time.Time) row {
	m.seq++
	m.pending[m.seq] = pendingWrite{sentAt: now, version: m.seen.version}
	return row{Holder: m.holder, Incarnation: m.incarnation, Fence: fence, Seq: m.seq, TermMillis: m.term.Milliseconds()}
}
