package lease

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// handoverBackoffLimit bounds the wait between two handovers of the same lease.
const handoverBackoffLimit = 10 * time.Minute

// shardElector competes for the lease of one shard on behalf of an Elector.
type shardElector struct {
	elector *Elector
	shard   string
	machine *stateMachine
	// skippedSteps counts the steps since the last read of the row.
	skippedSteps int
	// overShareSince is the start of the period in which this host has held this lease
	// and more than its fair share, while another host has a better rank. Zero outside
	// such a period.
	overShareSince time.Time
	// handoverAfter is how long that period lasts before the lease is handed over.
	// It doubles with each handover, up to handoverBackoffLimit.
	handoverAfter time.Duration
}

func newShardElector(e *Elector, shard string) *shardElector {
	self := e.exchange.Self()
	return &shardElector{
		elector:       e,
		shard:         shard,
		machine:       newStateMachine(self.ID, self.Incarnation, e.timing.LeaseTerm, e.timing.LeaseMargin),
		handoverAfter: 2 * e.timing.LeaseTerm,
	}
}

// run makes a step per interval until ctx ends, then releases the lease.
func (s *shardElector) run(ctx context.Context) {
	ticker := time.NewTicker(s.elector.stepInterval())
	defer ticker.Stop()
	for {
		s.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.stop(context.WithoutCancel(ctx))
			return
		}
	}
}

// step reads the row if that is due, and renews, takes or releases the lease.
func (s *shardElector) step(ctx context.Context) {
	p := placementFor(s.shard, s.elector.exchange.Self().ID, s.elector.exchange.Hosts())
	if !s.readDue(p) {
		return
	}
	if err := s.readAndAct(ctx, p); err != nil && ctx.Err() == nil {
		s.elector.counters.failed.Inc()
		s.elector.log.V(1).Info("lease step failed", "shard", s.shard, "error", err.Error())
	}
	s.publishGrant()
}

// readDue reports whether this step reads the row. The holder and
// the candidates read it at every step, other hosts rarely to limit the load on the table.
func (s *shardElector) readDue(p placement) bool {
	s.skippedSteps++
	if s.machine.held || p.rank < candidateCount || s.skippedSteps >= nonCandidateReadSteps {
		s.skippedSteps = 0
		return true
	}
	return false
}

// readAndAct reads the row and makes the write that follows from it, if any.
func (s *shardElector) readAndAct(ctx context.Context, p placement) error {
	if err := s.read(ctx); err != nil {
		return err
	}
	switch now := time.Now(); {
	case s.machine.releasing || (s.machine.held && s.shouldRelease(p)):
		return s.release(ctx)
	case s.machine.held:
		return s.write(ctx, s.machine.renewal(now))
	case s.elector.exchange.Self().Draining:
		return nil
	case s.machine.canTakeOver(now, p.takeoverDelay(s.elector.heldCount(), s.elector.totalShards())):
		return s.write(ctx, s.machine.takeover(now))
	default:
		return nil
	}
}

// read reads the row and passes it to the state machine.
func (s *shardElector) read(ctx context.Context) error {
	rows, err := s.elector.table.Read(ctx, rowKey(s.shard))
	if err != nil {
		return err
	}
	o, err := decodeRow(rows[0])
	if err != nil {
		return err
	}
	s.machine.observe(o, time.Now())
	return nil
}

// write sends a renewal or takeover. If its outcome is unknown, the next read decides it.
func (s *shardElector) write(ctx context.Context, next row) error {
	err := s.transact(ctx, next)
	switch {
	case err == nil:
		s.machine.writeApplied(next)
	case failure.IsKind(err, failure.Conflict) || failure.IsKind(err, failure.StoreUnavailable):
		s.machine.writeRejected(next)
	}
	return err
}

func (s *shardElector) transact(ctx context.Context, next row) error {
	tx, err := transaction(s.shard, s.machine.seen.version, next)
	if err != nil {
		return err
	}
	return s.elector.table.Transact(ctx, tx)
}

// release ends the grant, waits for the work in progress under it and releases the lease.
func (s *shardElector) release(ctx context.Context) error {
	next := s.machine.release()
	s.publishGrant()
	if err := s.elector.waitQuiesced(ctx, s.shard); err != nil {
		return err
	}
	return s.transact(ctx, next)
}

// stop tries once to release a held lease. If that fails, the lease expires after its term.
func (s *shardElector) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.elector.timing.LeaseTerm)
	defer cancel()
	err := s.read(ctx)
	if err == nil && s.machine.held {
		err = s.release(ctx)
	}
	if err != nil {
		s.elector.log.Info("lease not released, it expires after its term", "shard", s.shard, "error", err.Error())
	}
	s.machine.loseLease()
	s.publishGrant()
}

// publishGrant passes the current grant, or its absence, to the Elector.
func (s *shardElector) publishGrant() {
	until, held := s.machine.validUntil()
	s.elector.setGrant(Grant{Shard: s.shard, Fence: s.machine.fence, Until: until}, held)
}

// shouldRelease reports whether this host should release a held lease: because
// it drains, or to hand the lease over to a host with a better rank.
func (s *shardElector) shouldRelease(p placement) bool {
	if s.elector.exchange.Self().Draining {
		return true
	}
	overShare := p.rank > 0 && s.elector.heldCount() > p.fairShare(s.elector.totalShards())
	if !overShare {
		s.overShareSince = time.Time{}
		return false
	}
	now := time.Now()
	if s.overShareSince.IsZero() {
		s.overShareSince = now
	}
	if now.Sub(s.overShareSince) < s.handoverAfter || !s.elector.mayHandOver(now) {
		return false
	}
	s.overShareSince = time.Time{}
	s.handoverAfter = min(2*s.handoverAfter, handoverBackoffLimit)
	return true
}

// mayHandOver allows one handover per lease term, because the number of held
// leases must be up to date before the next one.
func (e *Elector) mayHandOver(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.lastHandover.IsZero() && now.Sub(e.lastHandover) < e.timing.LeaseTerm {
		return false
	}
	e.lastHandover = now
	return true
}

// totalShards returns the number of shards of the document in force.
func (e *Elector) totalShards() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shards
}
