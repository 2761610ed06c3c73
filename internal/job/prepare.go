package job

import (
	"context"
	"slices"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

const (
	// carryTimeout limits the reading of earlier jobs for rollouts that are carried over.
	carryTimeout = 600 * time.Millisecond
	// carryJobs is the number of earlier steps of a model whose jobs are searched in the
	// store, and the number of its ended runs that are kept in memory.
	carryJobs = 2
)

// prepare restores the job's state from the store, unless this host has just
// accepted it, and adds what earlier jobs generated of its rollouts. It reports
// false if the run ended meanwhile.
func (r *jobRun) prepare() bool {
	r.mu.Lock()
	fresh := r.spec != nil
	r.mu.Unlock()
	var texts map[string]savedText
	var results []Result
	if !fresh {
		for {
			err := r.restore(&texts, &results)
			if err == nil {
				break
			}
			r.log.Info("restoring the job failed, will retry", "error", err.Error())
			if !pause.For(r.ctx, storeRetryDelay) {
				return false
			}
		}
	}
	carriedTexts, carriedResults := r.readCarried()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for i := range r.spec.Rollouts {
		rollout := &r.spec.Rollouts[i]
		task := &rolloutTask{rollout: rollout, position: i, avoid: map[string]bool{}, waitingSince: now, textAt: now}
		if t, ok := texts[rollout.ID]; ok {
			task.events, task.savedEvents, task.restarts, task.failures = t.events, len(t.events), t.restarts, t.failures
			r.textBytes.Add(textSize(t.events))
		}
		r.tasks = append(r.tasks, task)
		r.byID[rollout.ID] = task
	}
	r.results = results
	for _, result := range results {
		if task := r.byID[result.ID]; task != nil {
			task.state, task.result = taskListed, result
		}
	}
	r.applyCarried(carriedTexts, carriedResults)
	r.prepared = true
	return true
}

// restore reads the spec, the listed results and the saved texts.
func (r *jobRun) restore(texts *map[string]savedText, results *[]Result) error {
	spec, err := r.m.store.readSpec(r.ctx, r.id, r.owner)
	if err != nil {
		return err
	}
	if *results, err = r.m.store.readAllResults(r.ctx, r.id); err != nil {
		return err
	}
	if len(*results) > r.owner.Listed {
		// Another host listed results after this owner row was written. They don't
		// belong to the results that the row counts.
		r.log.Info("results newer than the owner row are ignored", "listed", r.owner.Listed, "found", len(*results), "version", r.version)
		*results = (*results)[:r.owner.Listed]
	}
	var stale int
	if *texts, stale, err = r.m.store.readTexts(r.ctx, r.id); err != nil {
		return err
	}
	r.m.recordTeam(r.id, r.owner, spec.Team)
	r.m.mu.Lock()
	r.team = spec.Team
	r.m.mu.Unlock()
	r.mu.Lock()
	r.spec, r.owner.Team = spec, spec.Team
	r.mu.Unlock()
	r.specBytes.Store(spec.size())
	r.log.Info("job restored", "rollouts", len(spec.Rollouts), "listed", len(*results), "texts", len(*texts), "stale_text_rows", stale)
	return nil
}

// readCarried returns the texts and completed results that earlier jobs of the model
// have of this job's rollouts. If a read fails or carryTimeout passes, it returns what
// it has found so far.
func (r *jobRun) readCarried() (map[string]savedText, map[string]Result) {
	texts, results := map[string]savedText{}, map[string]Result{}
	ctx, cancel := context.WithTimeout(r.ctx, carryTimeout)
	defer cancel()
	wanted := make(map[string]bool, len(r.spec.Rollouts))
	for i := range r.spec.Rollouts {
		wanted[r.spec.Rollouts[i].ID] = true
	}
	stored, runs := r.m.earlierJobs(r.id, r.owner)
	for _, other := range runs {
		other.collectCarried(wanted, texts, results)
	}
	for _, id := range stored {
		found, _, err := r.m.store.readTexts(ctx, id)
		if err != nil {
			r.log.Info("cannot read texts of an earlier job", "earlier", id, "error", err.Error())
			return texts, results
		}
		for rollout, t := range found {
			if wanted[rollout] && len(t.events) > len(texts[rollout].events) {
				texts[rollout] = t
			}
		}
		listed, err := r.m.store.readAllResults(ctx, id)
		if err != nil {
			r.log.Info("cannot read results of an earlier job", "earlier", id, "error", err.Error())
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

// collectCarried adds the texts and results of the wanted rollouts to the maps.
func (r *jobRun) collectCarried(wanted map[string]bool, texts map[string]savedText, results map[string]Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, task := range r.tasks {
		id := task.rollout.ID
		if !wanted[id] {
			continue
		}
		if len(task.events) > len(texts[id].events) {
			texts[id] = savedText{events: slices.Clip(task.events)}
		}
		if (task.state == taskFinished || task.state == taskListed) && task.result.State == Completed {
			results[id] = task.result
		}
	}
}

// earlierJobs returns the jobs of the same team from which a job may carry rollouts over:
// the IDs of those of its model's last carryJobs steps to read from the store, and the model's
// runs in this process, whatever their step. From the store it leaves out jobs whose
// results are all listed, and jobs that are open: their trainer still waits for their
// rollouts, so a later job does not name them, and reading them delays every rollout of
// this job.
func (m *Manager) earlierJobs(id string, owner OwnerRow) (stored []string, runs []*jobRun) {
	if owner.Model == "" {
		return nil, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known := map[string]bool{id: true}
	for _, r := range m.endedRuns[owner.Model] {
		if r.team == owner.Team {
			known[r.id] = true
			runs = append(runs, r)
		}
	}
	for other, r := range m.runs {
		if !known[other] && r.team == owner.Team && m.jobs[other] != nil && m.jobs[other].owner.Model == owner.Model {
			known[other] = true
			runs = append(runs, r)
		}
	}
	for other, state := range m.jobs {
		step := state.owner.Step
		if !known[other] && state.owner.Team == owner.Team && state.owner.Model == owner.Model && step < owner.Step && step >= owner.Step-carryJobs &&
			state.ended && state.owner.Listed < state.owner.Total {
			stored = append(stored, other)
		}
	}
	return stored, runs
}

// applyCarried applies the texts and results of earlier jobs whose weight versions
// the job allows. The caller holds mu.
func (r *jobRun) applyCarried(texts map[string]savedText, results map[string]Result) {
	finished, begun := 0, 0
	for _, task := range r.tasks {
		t, hasText := texts[task.rollout.ID]
		result, hasResult := results[task.rollout.ID]
		task.carried = hasText || hasResult
		if task.state != taskWaiting || len(task.events) > 0 {
			continue
		}
		if hasResult && r.resultAllowed(task.rollout, result) {
			task.state, task.result = taskFinished, result
			r.ready = append(r.ready, task)
			finished++
			continue
		}
		if hasText && versionsAllowed(t.events, r.spec.MinVersion) {
			task.events = t.events
			r.textBytes.Add(textSize(t.events))
			begun++
		}
	}
	if finished+begun > 0 {
		r.log.Info("rollouts carried over", "finished", finished, "begun", begun)
	}
}

// resultAllowed reports whether an earlier job's result is valid in this job: its
// weight versions are allowed, and it was scored by the same call.
func (r *jobRun) resultAllowed(rollout *Rollout, result Result) bool {
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

// versionsAllowed reports whether minVersion or newer weights generated all events.
func versionsAllowed(events []Event, minVersion uint64) bool {
	for _, event := range events {
		if event.Version < minVersion {
			return false
		}
	}
	return true
}
