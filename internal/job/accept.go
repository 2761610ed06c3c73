package job

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/logline"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// inDoubtRetryDelay is the delay before a write with an unknown outcome is repeated.
const inDoubtRetryDelay = 60 * time.Millisecond

// Accept stores a job, and starts it if this host becomes its owner. configVersion is the
// version of the configuration that has the job's route; the owner waits for it. Accepting a
// job with the ID of a stored one succeeds without any effect. The error has kind
// StoreUnavailable and outcome NotRun if the job was not stored and never will be,
// kind StoreInDoubt if it may have been stored, and kind InvalidRequest if it
// cannot be encoded. If the stored job belongs to another team, the error has kind Conflict
// and outcome NotRun; if one of the jobs has no team and they differ, its outcome is Unknown.
func (m *Manager) Accept(ctx context.Context, spec *Spec, configVersion uint64) error {
	m.mu.Lock()
	var state jobState
	if known := m.jobs[spec.ID]; known != nil {
		state = *known
	}
	m.mu.Unlock()
	if state.version > 0 {
		return m.acceptedBefore(ctx, spec, state.owner, state.version)
	}
	now, err := m.acceptTime(ctx, spec.ID)
	if err != nil {
		return err
	}
	owner := OwnerRow{
		Host: m.host, Incarnation: m.incarnation, AcceptedMS: now.Milliseconds(),
		Total: len(spec.Rollouts), Team: spec.Team, Model: spec.Model, Step: spec.Step, MinVersion: spec.MinVersion,
		ConfigVersion: configVersion,
	}
	if host, incarnation, ok := m.hosts.PreferredHost(owner.rankingKey(spec.ID)); ok {
		owner.Host, owner.Incarnation = host, incarnation
	}
	last, owner, err := acceptTransactions(spec, owner, func(tx platform.RowTransaction) error {
		if _, err := m.store.rows.Commit(ctx, tx); err != nil {
			return failure.Wrap(err, failure.StoreUnavailable, failure.NotRun, "job %s was not stored", spec.ID)
		}
		return nil
	})
	if err != nil {
		return err
	}
	result, err := m.commitUntilDecided(ctx, spec.ID, last)
	if failure.IsKind(err, failure.Conflict) {
		return m.compareWithStored(ctx, spec)
	}
	if err != nil {
		m.events.Event("job_refused")
		m.log.Info("job not accepted", "job", spec.ID, "error", err.Error())
		return err
	}
	m.events.Event("job_accepted")
	logline.WithTeam(m.log, spec.Team).Info("job accepted", "job", spec.ID, "owner", owner.Host, "version", result.Version, "rollouts", len(spec.Rollouts),
		"model", spec.Model, "step", spec.Step, "min_version", spec.MinVersion, "configuration", configVersion)
	m.mu.Lock()
	defer m.mu.Unlock()
	accepted := Acceptance{ID: spec.ID, Owner: owner, Version: result.Version, Spec: spec}
	m.acceptedLocked(accepted)
	if !m.owns(owner) && m.notifyOwner != nil && spec.size() <= maxNotifyBytes {
		m.wg.Go(func() { m.tellOwner(accepted) })
	}
	return nil
}

// acceptedBefore returns the result of accepting a job whose ID a stored job has. If one of
// them has no team, they can be the same job, accepted before there were teams or at a host
// with an older configuration, so the error never says that the job was not stored.
func (m *Manager) acceptedBefore(ctx context.Context, spec *Spec, owner OwnerRow, version uint64) error {
	team := owner.Team
	if team != spec.Team {
		var err error
		if team, err = m.TeamOf(ctx, spec.ID, owner); err != nil {
			return failure.Wrap(err, failure.StoreInDoubt, failure.Unknown, "job %s may have been stored", spec.ID)
		}
	}
	log := logline.WithTeam(m.log, spec.Team)
	isSame := owner.Total == len(spec.Rollouts) && owner.Model == spec.Model && owner.Step == spec.Step && owner.MinVersion == spec.MinVersion
	switch {
	case team == spec.Team, (team == "" || spec.Team == "") && isSame:
		log.Info("job was already accepted", "job", spec.ID, "version", version)
		return nil
	case team == "" || spec.Team == "":
		m.events.Event("job_of_another_team")
		log.Info("job not accepted", "job", spec.ID, "version", version, "reason", "the stored job with this id differs")
		return failure.New(failure.Conflict, failure.Unknown, "the id of job %s is in use", spec.ID)
	}
	m.events.Event("job_of_another_team")
	log.Info("job not accepted", "job", spec.ID, "version", version, "reason", "another team has a job with this id")
	return failure.New(failure.Conflict, failure.NotRun, "the id of job %s is in use", spec.ID)
}

// compareWithStored compares a job with the stored one that has its ID. The stored one may be
// that of this submission, whose acknowledgement was lost, so a failed read leaves the
// outcome unknown.
func (m *Manager) compareWithStored(ctx context.Context, spec *Spec) error {
	for {
		owner, version, _, err := m.store.readOwner(ctx, spec.ID)
		switch {
		case err == nil && version > 0:
			return m.acceptedBefore(ctx, spec, owner, version)
		case err == nil:
			return failure.New(failure.StoreUnavailable, failure.NotRun, "job %s was deleted while it was submitted", spec.ID)
		case !pause.For(ctx, inDoubtRetryDelay):
			return failure.Wrap(err, failure.StoreInDoubt, failure.Unknown, "job %s may have been stored", spec.ID)
		}
	}
}

// acceptTime returns the present time of the store clock. It reads the clock from
// the store if this host does not know it yet.
func (m *Manager) acceptTime(ctx context.Context, id string) (time.Duration, error) {
	if now := m.storeNow(); now > 0 {
		return now, nil
	}
	page, err := m.store.rows.Read(ctx, platform.RowRange{Table: TableJobs, Part: id, Limit: 1})
	if err != nil {
		return 0, failure.Wrap(err, failure.StoreUnavailable, failure.NotRun, "the store clock is not known yet")
	}
	return page.Now, nil
}

// commitUntilDecided commits an idempotent transaction and repeats it until its
// outcome is known or ctx ends.
func (m *Manager) commitUntilDecided(ctx context.Context, id string, tx platform.RowTransaction) (platform.CommitResult, error) {
	inDoubt := false
	for {
		result, err := m.store.rows.Commit(ctx, tx)
		switch {
		case err == nil || failure.IsKind(err, failure.Conflict):
			return result, err
		case failure.IsKind(err, failure.StoreInDoubt):
			inDoubt = true
		case !inDoubt:
			return result, failure.Wrap(err, failure.StoreUnavailable, failure.NotRun, "job %s was not stored", id)
		}
		if !pause.For(ctx, inDoubtRetryDelay) {
			return platform.CommitResult{}, failure.Wrap(err, failure.StoreInDoubt, failure.Unknown, "job %s may have been stored", id)
		}
	}
}

// End stops a job at its trainer's request. Ending an ended job succeeds. The
// error has kind NotFound if the job does not exist.
func (m *Manager) End(ctx context.Context, id string) error {
	m.mu.Lock()
	state := m.jobs[id]
	ended := state != nil && state.ended
	m.mu.Unlock()
	if ended {
		return nil
	}
	if state == nil || state.version == 0 {
		_, version, _, err := m.store.readOwner(ctx, id)
		if err != nil {
			return err
		}
		if version == 0 {
			return failure.New(failure.NotFound, "", "job %s does not exist", id)
		}
	}
	for {
		err := m.store.end(ctx, id, m.storeNow())
		if err == nil {
			break
		}
		if !failure.IsKind(err, failure.StoreInDoubt) {
			return err
		}
		if !pause.For(ctx, inDoubtRetryDelay) {
			return err
		}
	}
	m.events.Event("job_ended")
	m.log.Info("job ended", "job", id)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeEnd(id)
	return nil
}
