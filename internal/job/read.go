package job

import (
	"context"
	"errors"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// maxFeedAge is the largest age of the change feed at which this host may say that
// there are no new results without asking the store.
const maxFeedAge = 800 * time.Millisecond

// readerReturnTime is how long a caller that was given results may take to ask for more.
// Meanwhile it counts as waiting: reading the feed slowly would delay its next page by
// more than the round trip that it is away for.
const readerReturnTime = 500 * time.Millisecond

// Page is a range of a job's results.
type Page struct {
	// Total is the number of the job's rollouts.
	Total   int
	Results []Result
}

// Results returns listed results starting at position from. If there are none
// yet, it waits for the first one for at most wait and then returns an empty page;
// if from is not below the number of rollouts, it returns an empty page at once.
// The error has kind NotFound if the job does not exist, and StoreUnavailable if
// the store did not answer, does not show the listed results yet, or ctx ended.
func (m *Manager) Results(ctx context.Context, id string, from int, wait time.Duration) (Page, error) {
	end := time.Now().Add(wait)
	for {
		m.mu.Lock()
		state := m.jobs[id]
		var owner OwnerRow
		if state != nil {
			owner = state.owner
		}
		found := state != nil && state.version > 0
		fresh := time.Since(m.syncedAt) < maxFeedAge
		changed := m.changed
		r := m.runs[id]
		m.mu.Unlock()
		if !found {
			var err error
			if owner, err = m.StoredOwner(ctx, id); err != nil {
				return Page{}, err
			}
			fresh = true
		}
		if from < owner.Listed {
			return m.readPage(ctx, id, r, owner, from)
		}
		if from >= owner.Total {
			return Page{Total: owner.Total}, nil
		}
		left := time.Until(end)
		if left <= 0 && fresh {
			return Page{Total: owner.Total}, nil
		}
		if left <= 0 {
			var err error
			if owner, err = m.StoredOwner(ctx, id); err != nil {
				return Page{}, err
			}
			if from < owner.Listed {
				return m.readPage(ctx, id, nil, owner, from)
			}
			return Page{Total: owner.Total}, nil
		}
		if !m.waitForChange(ctx, changed, left) {
			return Page{}, failure.New(failure.StoreUnavailable, failure.NotRun, "the request ended while it waited for results")
		}
	}
}

// waitForChange waits as a reader until changed is closed or d has passed. It reports
// false if ctx ended first.
func (m *Manager) waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	m.countReader(1)
	defer m.countReader(-1)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// countReader adds to the number of waiting readers.
func (m *Manager) countReader(by int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waitingReaders += by
	m.lastWait = time.Now()
}

// StoredOwner reads the owner row from the store, for a job that the change feed does not
// show or shows too late. The error has kind NotFound if the job does not exist.
func (m *Manager) StoredOwner(ctx context.Context, id string) (OwnerRow, error) {
	owner, version, _, err := m.store.readOwner(ctx, id)
	if err != nil {
		return owner, err
	}
	if version == 0 {
		return owner, failure.New(failure.NotFound, "", "job %s does not exist", id)
	}
	return owner, nil
}

// Owner returns the owner row of a job, from the store if the change feed has not shown
// it. The error is that of Results.
func (m *Manager) Owner(ctx context.Context, id string) (OwnerRow, error) {
	if owner, known := m.KnownOwner(id); known {
		return owner, nil
	}
	return m.StoredOwner(ctx, id)
}

// KnownOwner returns the owner row of a job if this host knows it without asking the store.
func (m *Manager) KnownOwner(id string) (owner OwnerRow, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.jobs[id]
	if state == nil || state.version == 0 {
		return OwnerRow{}, false
	}
	return state.owner, true
}

// TeamOf returns the team of the job with an owner row; empty if it has none. A process of an
// older version drops the team from an owner row that it writes, so the team of a row
// without one is taken from the spec. The spec is read from the store at most once for each
// job that the change feed has shown.
func (m *Manager) TeamOf(ctx context.Context, id string, owner OwnerRow) (string, error) {
	if owner.Team != "" {
		return owner.Team, nil
	}
	m.mu.Lock()
	state, r := m.jobs[id], m.runs[id]
	if state != nil && state.version > 0 && state.owner.AcceptedMS == owner.AcceptedMS && (state.teamKnown || state.owner.Team != "") {
		defer m.mu.Unlock()
		return state.owner.Team, nil
	}
	m.mu.Unlock()
	var spec *Spec
	if r != nil {
		spec = r.specification()
	}
	if spec == nil {
		var err error
		spec, err = m.store.readSpec(ctx, id, owner)
		if errors.Is(err, errNoSpec) {
			// Nothing is left that names a team.
			return "", nil
		}
		if err != nil {
			return "", err
		}
	}
	m.recordTeam(id, owner, spec.Team)
	return spec.Team, nil
}

// recordTeam records the team that the spec of the job with an owner row has.
func (m *Manager) recordTeam(id string, owner OwnerRow, team string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state := m.jobs[id]; state != nil && state.version > 0 && state.owner.AcceptedMS == owner.AcceptedMS {
		state.owner.Team, state.teamKnown = team, true
	}
}

// readPage returns listed results from memory if this host runs the job, else from
// the store.
func (m *Manager) readPage(ctx context.Context, id string, r *jobRun, owner OwnerRow, from int) (Page, error) {
	if r != nil {
		if results := r.listedFrom(from); len(results) > 0 {
			return Page{Total: owner.Total, Results: results}, nil
		}
	}
	results, err := m.store.readResults(ctx, id, from)
	if err != nil {
		return Page{}, err
	}
	if len(results) == 0 {
		return Page{}, failure.New(failure.StoreUnavailable, failure.NotRun, "the store does not show the listed results of job %s yet", id)
	}
	return Page{Total: owner.Total, Results: results}, nil
}

// Body returns the request body of a rollout. The error has kind NotFound if the
// job or the rollout does not exist.
func (m *Manager) Body(ctx context.Context, id, rollout string) ([]byte, error) {
	m.mu.Lock()
	state := m.jobs[id]
	var owner OwnerRow
	if state != nil {
		owner = state.owner
	}
	r := m.runs[id]
	m.mu.Unlock()
	var spec *Spec
	if r != nil {
		spec = r.specification()
	}
	if spec == nil {
		var err error
		if state == nil || state.version == 0 {
			if owner, err = m.StoredOwner(ctx, id); err != nil {
				return nil, err
			}
		}
		if spec, err = m.store.readSpec(ctx, id, owner); err != nil {
			return nil, err
		}
	}
	for i := range spec.Rollouts {
		if spec.Rollouts[i].ID == rollout {
			return spec.Rollouts[i].Body, nil
		}
	}
	return nil, failure.New(failure.NotFound, "", "job %s has no rollout %s", id, rollout)
}
