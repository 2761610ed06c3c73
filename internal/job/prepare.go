package job

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

const (
	// carryTimeout bounds the search for what an earlier job left of carried groups.
	carryTimeout = 600 * time.Millisecond
	// carryJobs is how many earlier jobs of a model are searched.
	carryJobs = 2
)

// prepare reads what the store holds of the job and makes its items. It reports
// false if the run has ended meanwhile.
func (r *run) prepare() bool {
	r.mu.Lock()
	fresh := r.spec != nil
	r.mu.Unlock()
	var texts map[string]text
	var results []Result
	if !fresh {
		for {
			err := r.restore(&texts, &results)
			if err == nil {
				break
			}
			r.log.Info("job can't be read yet", "error", err.Error())
			if !pause.For(r.ctx, commitPause) {
				return false
			}
		}
	}
	carriedTexts, carriedResults := r.carried()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for i := range r.spec.Rollouts {
		rollout := &r.spec.Rollouts[i]
		it := &item{rollout: rollout, position: i, avoid: map[string]bool{}, waitsSince: now}
		if t, ok := texts[rollout.ID]; ok {
			it.events, it.saved, it.failures = t.events, len(t.events), t.failures
		}
		r.items = append(r.items, it)
		r.byID[rollout.ID] = it
	}
	r.results = results
	for _, result := range results {
		if it := r.byID[result.ID]; it != nil {
			it.state, it.result = listed, result
		}
	}
	r.takeCarried(carriedTexts, carriedResults)
	r.prepared = true
	return true
}

// restore reads the spec, the listed results and the saved texts.
func (r *run) restore(texts *map[string]text, results *[]Result) error {
	spec, err := r.m.store.readSpec(r.ctx, r.id, r.owner.Chunks)
	if err != nil {
		return err
	}
	if *results, err = r.m.store.readAllResults(r.ctx, r.id); err != nil {
		return err
	}
	if len(*results) > r.owner.Listed {
		// The owner row is older than the results: another host has listed since, and
		// its results have no place before those that this row counts.
		r.log.Info("results behind the owner row are left out", "listed", r.owner.Listed, "found", len(*results), "version", r.version)
		*results = (*results)[:r.owner.Listed]
	}
	if *texts, err = r.m.store.readTexts(r.ctx, r.id); err != nil {
		return err
	}
	r.mu.Lock()
	r.spec = spec
	r.mu.Unlock()
	r.log.Info("job restored", "rollouts", len(spec.Rollouts), "listed", len(*results), "texts", len(*texts))
	return nil
}

// carried reads what earlier jobs of the model hold of this job's rollouts.
func (r *run) carried() (map[string]text, map[string]Result) {
	texts, results := map[string]text{}, map[string]Result{}
	ctx, cancel := context.WithTimeout(r.ctx, carryTimeout)
	defer cancel()
	wanted := make(map[string]bool, len(r.spec.Rollouts))
	for i := range r.spec.Rollouts {
		wanted[r.spec.Rollouts[i].ID] = true
	}
	stored, kept := r.m.earlier(r.id, r.owner)
	for _, other := range kept {
		other.leave(wanted, texts, results)
	}
	for _, id := range stored {
		found, err := r.m.store.readTexts(ctx, id)
		if err != nil {
			r.log.Info("earlier job can't be read", "earlier", id, "error", err.Error())
			return texts, results
		}
		for rollout, t := range found {
			if wanted[rollout] && len(t.events) > len(texts[rollout].events) {
				texts[rollout] = t
			}
		}
		listed, err := r.m.store.readAllResults(ctx, id)
		if err != nil {
			r.log.Info("earlier job can't be read", "earlier", id, "error", err.Error())
			return texts, results
		}
		for _, result := range listed {
			if wanted[result.ID] && result.State == Completed {
				results[result.ID] = result
			}
		}
	}
	return texts, results
}

// leave adds what this run, which has ended, has of the wanted rollouts.
func (r *run) leave(wanted map[string]bool, texts map[string]text, results map[string]Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, it := range r.items {
		id := it.rollout.ID
		if !wanted[id] {
			continue
		}
		if len(it.events) > len(texts[id].events) {
			texts[id] = text{events: it.events}
		}
		if (it.state == finished || it.state == listed) && it.result.State == Completed {
			results[id] = it.result
		}
	}
}

// earlier returns the newest jobs of a model before a job's step: those whose
// rows are to be read, and the runs that this host still knows. A job that was
// listed whole elsewhere has nothing left to carry over.
func (m *Manager) earlier(id string, owner Owner) (stored []string, kept []*run) {
	if owner.Model == "" {
		return nil, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known := map[string]bool{}
	for _, r := range m.kept[owner.Model] {
		known[r.id] = true
		kept = append(kept, r)
	}
	for step := owner.Step - 1; step >= 0 && step >= owner.Step-carryJobs; step-- {
		for other, k := range m.jobs {
			if other != id && !known[other] && k.owner.Model == owner.Model && k.owner.Step == step && k.owner.Listed < k.owner.Total {
				stored = append(stored, other)
			}
		}
	}
	return stored, kept
}

// takeCarried uses what an earlier job left where its versions fit. The caller holds mu.
func (r *run) takeCarried(texts map[string]text, results map[string]Result) {
	whole, begun := 0, 0
	for _, it := range r.items {
		t, hasText := texts[it.rollout.ID]
		result, hasResult := results[it.rollout.ID]
		it.carried = hasText || hasResult
		if it.state != waiting || len(it.events) > 0 {
			continue
		}
		if hasResult && r.fitsResult(it.rollout, result) {
			it.state, it.result = finished, result
			r.ready = append(r.ready, it)
			whole++
			continue
		}
		if hasText && fits(t.events, r.spec.MinVersion) {
			it.events = t.events
			begun++
		}
	}
	if whole+begun > 0 {
		r.log.Info("carried over", "finished", whole, "begun", begun)
	}
}

// fitsResult reports whether an earlier job's result may stand in this one.
func (r *run) fitsResult(rollout *Rollout, result Result) bool {
	for _, version := range result.Versions {
		if version < r.spec.MinVersion {
			return false
		}
	}
	if rollout.Score == nil {
		return result.ScoredBy == ""
	}
	return rollout.Score.ID == result.ScoredBy
}

// fits reports whether all events come from a version that is allowed.
func fits(events []Event, minVersion uint64) bool {
	for _, event := range events {
		if event.Version < minVersion {
			return false
		}
	}
	return true
}
