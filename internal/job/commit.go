package job

import (
	"strings"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// commitNext performs the next due write: results first, then texts, then the
// handover of the job. It reports whether the loop must go on and whether the
// write failed.
func (r *jobRun) commitNext() (more, failed bool) {
	r.mu.Lock()
	lost, ended, handingOver := r.isLost, r.isEnded, r.isHandingOver
	toList := len(r.ready) > 0 || r.pending != nil
	done := r.owner.Listed >= r.owner.Total
	due := time.Since(r.savedAt) >= saveInterval || ended || handingOver
	r.mu.Unlock()
	switch {
	case lost || done:
		return false, false
	case toList:
		return true, !r.listResults()
	case due:
		saved, rest := r.saveTexts()
		if !saved || rest {
			return true, !saved
		}
		if ended {
			return false, false
		}
		if handingOver {
			return r.commitHandover()
		}
	}
	return true, false
}

// listResults writes finished results at the next positions. It reports false if
// the write must be repeated.
func (r *jobRun) listResults() bool {
	r.mu.Lock()
	if r.pending == nil {
		results := make([]Result, len(r.ready))
		for i, task := range r.ready {
			results[i] = task.result
		}
		next := r.owner
		next.Run = r.token
		tx, owner, count, err := listTransaction(r.id, r.version, next, results)
		if err != nil {
			r.mu.Unlock()
			r.log.Error(err, "cannot encode results")
			return false
		}
		r.pending = &pendingListing{tx: tx, owner: owner, count: count}
	}
	pending := r.pending
	r.mu.Unlock()
	result, err := r.m.store.rows.Commit(r.m.ctx, pending.tx)
	if err == nil {
		r.markListed(pending, result.Version)
		return true
	}
	if failure.IsKind(err, failure.Conflict) {
		return r.checkOwner(pending)
	}
	r.log.Info("listing results failed, will retry", "count", pending.count, "error", err.Error())
	return false
}

// markListed records that a listing was committed and wakes the waiting readers.
func (r *jobRun) markListed(p *pendingListing, version uint64) {
	r.mu.Lock()
	ids := make([]string, 0, p.count)
	for _, task := range r.ready[:p.count] {
		task.state = taskListed
		ids = append(ids, task.rollout.ID)
		r.m.events.Event("rollout_" + string(task.result.State))
		r.results = append(r.results, task.result)
	}
	r.log.Info("results listed", "from", r.owner.Listed, "to", p.owner.Listed, "total", p.owner.Total, "version", version,
		"rollouts", strings.Join(ids, ","))
	r.ready = r.ready[p.count:]
	r.owner, r.version, r.pending = p.owner, version, nil
	owner := r.owner
	r.mu.Unlock()
	r.m.mu.Lock()
	r.m.observeOwner(r.id, owner, version)
	close(r.m.changed)
	r.m.changed = make(chan struct{})
	r.m.mu.Unlock()
}

// checkOwner reads the owner row after a refused write and finds the reason: an
// earlier try of the write took effect, the job has another owner, or only the
// version of the row is newer. It reports false if the row could not be read.
func (r *jobRun) checkOwner(p *pendingListing) bool {
	owner, version, ended, err := r.m.store.readOwner(r.m.ctx, r.id)
	if err != nil {
		return false
	}
	if ended {
		r.markEnded("the store has the end of the job")
	}
	if !r.m.owns(owner) {
		r.markLost("a write was refused", version)
		// Record the row now: the change feed may lag, and its older row would
		// make this host the owner again.
		r.m.mu.Lock()
		r.m.observeOwner(r.id, owner, version)
		r.m.mu.Unlock()
		return true
	}
	if p != nil && owner.Listed == p.owner.Listed && owner.Run == r.token {
		r.markListed(p, version)
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if owner.Listed != r.owner.Listed || owner.Run != r.owner.Run {
		r.markLostLocked("the owner row counts results that this host did not list", version)
		return true
	}
	r.version, r.pending = version, nil
	return true
}

// saveTexts stores the new events of rollouts whose results are not listed. ok is
// false if the write failed, or was refused and the owner row could not be read. rest
// is true if events are left to save.
func (r *jobRun) saveTexts() (ok, rest bool) {
	type mark struct {
		task *rolloutTask
		end  int
	}
	r.mu.Lock()
	tx := platform.RowTransaction{Checks: []platform.RowCheck{{RowID: ownerRowID(r.id), Version: r.version}}}
	var marks []mark
	size := 0
	for _, task := range r.tasks {
		if task.state == taskListed || task.unsavable || len(task.events) <= task.savedEvents {
			continue
		}
		if len(tx.Writes) >= platform.MaxTransactionRows-2 || size > maxCommitBytes-maxValueBytes {
			rest = true
			break
		}
		write, count, err := textWrite(r.id, task.rollout.ID, textRow{From: task.savedEvents, Events: task.events[task.savedEvents:], Restarts: task.restarts, Failures: task.failures})
		if err != nil {
			r.log.Error(err, "cannot encode text", "rollout", task.rollout.ID)
			continue
		}
		if count == 0 {
			task.unsavable = true
			r.log.Info("rest of a text is not saved, its next event is larger than a row", "rollout", task.rollout.ID, "saved", task.savedEvents)
			continue
		}
		rest = rest || task.savedEvents+count < len(task.events)
		tx.Writes = append(tx.Writes, write)
		size += len(write.Value)
		marks = append(marks, mark{task, task.savedEvents + count})
	}
	r.mu.Unlock()
	if len(tx.Writes) == 0 {
		r.mu.Lock()
		r.savedAt = time.Now()
		r.mu.Unlock()
		return true, false
	}
	_, err := r.m.store.rows.Commit(r.m.ctx, tx)
	if failure.IsKind(err, failure.Conflict) {
		return r.checkOwner(nil), true
	}
	if err != nil {
		r.log.Info("saving texts failed, will retry", "rollouts", len(marks), "error", err.Error())
		r.mu.Lock()
		r.savedAt = time.Now()
		r.mu.Unlock()
		return false, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range marks {
		// Skip a rollout that was restarted meanwhile: it has fewer events, and
		// its count of saved ones is zero.
		if m.end <= len(m.task.events) {
			m.task.savedEvents = m.end
		}
	}
	if !rest {
		r.savedAt = time.Now()
	}
	return true, rest
}

// commitHandover clears the owner in the owner row, so that other hosts need not wait
// until this host counts as dead. Its results are those of commitNext.
func (r *jobRun) commitHandover() (more, failed bool) {
	r.mu.Lock()
	owner, version := r.owner, r.version
	r.mu.Unlock()
	owner.Host, owner.Incarnation = "", ""
	write, err := ownerWrite(r.id, owner)
	var result platform.CommitResult
	if err == nil {
		result, err = r.m.store.rows.Commit(r.m.ctx, platform.RowTransaction{
			Checks: []platform.RowCheck{{RowID: ownerRowID(r.id), Version: version}},
			Writes: []platform.RowWrite{write},
		})
	}
	switch {
	case err == nil:
		r.m.events.Event("job_handed_over")
		r.log.Info("job handed over", "listed", owner.Listed, "total", owner.Total, "version", result.Version)
		r.mu.Lock()
		r.isHandedOver = true
		r.mu.Unlock()
		// The feed may lag, and its older row would make this host start the job again.
		r.m.mu.Lock()
		r.m.observeOwner(r.id, owner, result.Version)
		r.m.mu.Unlock()
		return false, false
	case failure.IsKind(err, failure.Conflict):
		return !r.checkOwner(nil), true
	}
	return true, true
}
