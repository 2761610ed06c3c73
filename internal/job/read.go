package job

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// freshFor is how old the feed's picture may be for an answer that says that there is nothing.
const freshFor = 800 * time.Millisecond

// Page is a part of a job's results.
type Page struct {
	Total   int
	Results []Result
}

// Results returns the results from a position on, at least one if there is one
// within wait. The error is NotFound if the store has no such job, and
// StoreUnavailable if this host can't be sure.
func (m *Manager) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	end := time.Now().Add(wait)
	for {
		m.mu.Lock()
		k := m.jobs[id]
		var owner Owner
		if k != nil {
			owner = k.owner
		}
		found := k != nil && k.version > 0
		fresh := time.Since(m.caught) < freshFor
		changed := m.changed
		r := m.runs[id]
		m.mu.Unlock()
		if !found {
			var err error
			if owner, err = m.confirm(ctx, id); err != nil {
				return Page{}, err
			}
			fresh = true
		}
		if after < owner.Listed {
			return m.page(ctx, id, r, owner, after)
		}
		if after >= owner.Total {
			return Page{Total: owner.Total}, nil
		}
		left := time.Until(end)
		if left <= 0 && fresh {
			return Page{Total: owner.Total}, nil
		}
		if left <= 0 {
			var err error
			if owner, err = m.confirm(ctx, id); err != nil {
				return Page{}, err
			}
			if after < owner.Listed {
				return m.page(ctx, id, nil, owner, after)
			}
			return Page{Total: owner.Total}, nil
		}
		if !sleepUntil(ctx, changed, left) {
			return Page{}, failure.New(failure.StoreUnavailable, failure.NotRun, "the reader has gone")
		}
	}
}

// sleepUntil waits for a change or the end of d; it reports false if ctx ended first.
func sleepUntil(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
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

// confirm asks the store for a job of which the feed has shown nothing, or nothing lately.
func (m *Manager) confirm(ctx context.Context, id string) (Owner, error) {
	owner, version, _, err := m.store.readOwner(ctx, id)
	if err != nil {
		return owner, err
	}
	if version == 0 {
		return owner, failure.New(failure.NotFound, "", "there is no job %s", id)
	}
	return owner, nil
}

// page returns listed results from this host's run if it has them, else from the store.
func (m *Manager) page(ctx context.Context, id string, r *run, owner Owner, after int) (Page, error) {
	if r != nil {
		if results := r.listedFrom(after); len(results) > 0 {
			return Page{Total: owner.Total, Results: results}, nil
		}
	}
	results, err := m.store.readResults(ctx, id, after)
	if err != nil {
		return Page{}, err
	}
	if len(results) == 0 {
		return Page{}, failure.New(failure.StoreUnavailable, failure.NotRun, "the results of job %s can't be found yet", id)
	}
	return Page{Total: owner.Total, Results: results}, nil
}

// Body returns the body of a rollout. NotFound says that the job or the rollout does not exist.
func (m *Manager) Body(ctx context.Context, id, rollout string) ([]byte, error) {
	m.mu.Lock()
	k := m.jobs[id]
	var owner Owner
	if k != nil {
		owner = k.owner
	}
	r := m.runs[id]
	m.mu.Unlock()
	var spec *Spec
	if r != nil {
		spec = r.specification()
	}
	if spec == nil {
		var err error
		if k == nil || k.version == 0 {
			if owner, err = m.confirm(ctx, id); err != nil {
				return nil, err
			}
		}
		if spec, err = m.store.readSpec(ctx, id, owner.Chunks); err != nil {
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
