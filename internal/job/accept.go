package job

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// settlePause is the wait between two tries to settle a write that is in doubt.
const settlePause = 60 * time.Millisecond

// Accept makes a job durable and starts it. A job that was accepted before is
// accepted again. The error is of kind StoreUnavailable with outcome NotRun if
// the job surely was not kept and never will be, and StoreInDoubt otherwise.
func (m *Manager) Accept(ctx context.Context, spec *Spec) error {
	m.mu.Lock()
	k := m.jobs[spec.ID]
	m.mu.Unlock()
	if k != nil && k.version > 0 {
		m.log.Info("job accepted before", "job", spec.ID, "version", k.version)
		return nil
	}
	now, err := m.storeClock(ctx, spec.ID)
	if err != nil {
		return err
	}
	owner := Owner{
		Host: m.host, Incarnation: m.incarnation, AcceptedMS: now.Milliseconds(),
		Total: len(spec.Rollouts), Model: spec.Model, Step: spec.Step, MinVersion: spec.MinVersion,
	}
	if host, incarnation, ok := m.hosts.PreferredHost(owner.key(spec.ID)); ok {
		owner.Host, owner.Incarnation = host, incarnation
	}
	txs, owner, err := acceptance(spec, owner)
	if err != nil {
		return err
	}
	for _, tx := range txs[:len(txs)-1] {
		if _, err := m.store.rows.Commit(ctx, tx); err != nil {
			return failure.Wrap(err, failure.StoreUnavailable, failure.NotRun, "job %s was not kept", spec.ID)
		}
	}
	receipt, err := m.settle(ctx, spec.ID, txs[len(txs)-1])
	if failure.IsKind(err, failure.Conflict) {
		m.log.Info("job accepted before", "job", spec.ID)
		return nil
	}
	if err != nil {
		m.events.Event("job_refused")
		m.log.Info("job not accepted", "job", spec.ID, "error", err.Error())
		return err
	}
	m.events.Event("job_accepted")
	m.log.Info("job accepted", "job", spec.ID, "owner", owner.Host, "version", receipt.Version, "rollouts", len(spec.Rollouts),
		"model", spec.Model, "step", spec.Step, "min_version", spec.MinVersion)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learn(spec.ID, owner, receipt.Version)
	if m.owns(owner) && m.runs[spec.ID] == nil && m.jobs[spec.ID].version == receipt.Version {
		m.start(spec.ID, spec, owner, receipt.Version)
	}
	return nil
}

// storeClock returns the store's clock. A host that has just started asks for it.
func (m *Manager) storeClock(ctx context.Context, id string) (time.Duration, error) {
	if now := m.clock(); now > 0 {
		return now, nil
	}
	page, err := m.store.rows.Read(ctx, platform.RowRange{Table: TableJobs, Part: id, Limit: 1})
	if err != nil {
		return 0, failure.Wrap(err, failure.StoreUnavailable, failure.NotRun, "the store's clock is not known yet")
	}
	return page.Now, nil
}

// settle commits a transaction that may be repeated until its fate is known.
func (m *Manager) settle(ctx context.Context, id string, tx platform.RowTransaction) (platform.CommitResult, error) {
	doubt := false
	for {
		receipt, err := m.store.rows.Commit(ctx, tx)
		switch {
		case err == nil || failure.IsKind(err, failure.Conflict):
			return receipt, err
		case failure.IsKind(err, failure.StoreInDoubt):
			doubt = true
		case !doubt:
			return receipt, failure.Wrap(err, failure.StoreUnavailable, failure.NotRun, "job %s was not kept", id)
		}
		if !pause.For(ctx, settlePause) {
			return platform.CommitResult{}, failure.Wrap(err, failure.StoreInDoubt, failure.Unknown, "job %s may have been kept", id)
		}
	}
}

// End ends a job. It returns NotFound for a job that the store does not know.
func (m *Manager) End(ctx context.Context, id string) error {
	m.mu.Lock()
	k := m.jobs[id]
	ended := k != nil && k.ended
	m.mu.Unlock()
	if ended {
		return nil
	}
	if k == nil || k.version == 0 {
		_, version, _, err := m.store.readOwner(ctx, id)
		if err != nil {
			return err
		}
		if version == 0 {
			return failure.New(failure.NotFound, "", "there is no job %s", id)
		}
	}
	for {
		err := m.store.end(ctx, id, m.clock())
		if err == nil {
			break
		}
		if !failure.IsKind(err, failure.StoreInDoubt) {
			return err
		}
		if !pause.For(ctx, settlePause) {
			return err
		}
	}
	m.events.Event("job_ended")
	m.log.Info("job ended", "job", id)
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.jobs[id]; k != nil {
		k.ended = true
	}
	if r := m.runs[id]; r != nil {
		r.end("ended by its trainer")
	}
	return nil
}
