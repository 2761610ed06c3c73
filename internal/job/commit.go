package job

import (
	"strings"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// commit does one write that is due. It reports whether the run goes on and
// whether the write failed.
func (r *run) commit() (more, failed bool) {
	r.mu.Lock()
	lost, ended, left := r.isLost, r.isEnded, r.isLeft
	toList := len(r.ready) > 0 || r.pending != nil
	done := r.owner.Listed >= r.owner.Total
	due := time.Since(r.savedAt) >= saveInterval || ended || left
	r.mu.Unlock()
	switch {
	case lost || done:
		return false, false
	case toList:
		return true, !r.list()
	case due:
		saved, rest := r.save()
		if !saved || rest {
			return true, !saved
		}
		if ended {
			return false, false
		}
		if left {
			return r.release()
		}
	}
	return true, false
}

// list writes finished results at the next positions. It reports false if the
// write has to be repeated.
func (r *run) list() bool {
	r.mu.Lock()
	if r.pending == nil {
		results := make([]Result, len(r.ready))
		for i, it := range r.ready {
			results[i] = it.result
		}
		tx, owner, count, err := listing(r.id, r.version, r.owner, results)
		if err != nil {
			r.mu.Unlock()
			r.log.Error(err, "results can't be listed")
			return false
		}
		r.pending = &pendingList{tx: tx, owner: owner, count: count}
	}
	pending := r.pending
	r.mu.Unlock()
	receipt, err := r.m.store.rows.Commit(r.m.ctx, pending.tx)
	if err == nil {
		r.listedAs(pending, receipt.Version)
		return true
	}
	if failure.IsKind(err, failure.Conflict) {
		return r.reread(pending)
	}
	r.log.Info("results not listed yet", "count", pending.count, "error", err.Error())
	return false
}

// listedAs takes in that a listing took effect.
func (r *run) listedAs(p *pendingList, version uint64) {
	r.mu.Lock()
	ids := make([]string, 0, p.count)
	for _, it := range r.ready[:p.count] {
		it.state = listed
		ids = append(ids, it.rollout.ID)
		r.m.events.Event("rollout_" + string(it.result.State))
		r.results = append(r.results, it.result)
	}
	r.log.Info("results listed", "from", r.owner.Listed, "to", p.owner.Listed, "total", p.owner.Total, "version", version,
		"rollouts", strings.Join(ids, ","))
	r.ready = r.ready[p.count:]
	r.owner, r.version, r.pending = p.owner, version, nil
	owner := r.owner
	r.mu.Unlock()
	r.m.mu.Lock()
	r.m.learn(r.id, owner, version)
	close(r.m.changed)
	r.m.changed = make(chan struct{})
	r.m.mu.Unlock()
}

// reread finds out why a write was refused: it had taken effect before, or the
// job has another owner. It reports false if the write has to be repeated.
func (r *run) reread(p *pendingList) bool {
	owner, version, ended, err := r.m.store.readOwner(r.m.ctx, r.id)
	if err != nil {
		return false
	}
	if ended {
		r.end("its end was found in the store")
	}
	if !r.m.owns(owner) {
		r.lose("a write was refused", version)
		// The feed may be behind; by its older row this host would own the job again.
		r.m.mu.Lock()
		r.m.learn(r.id, owner, version)
		r.m.mu.Unlock()
		return true
	}
	if p != nil && owner.Listed == p.owner.Listed {
		r.listedAs(p, version)
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if owner.Listed != r.owner.Listed {
		r.loseLocked("the owner row lists other results", version)
		return true
	}
	r.version, r.pending = version, nil
	return true
}

// save keeps the new events of unfinished rollouts. It reports whether the
// write succeeded and whether there is more to save.
func (r *run) save() (ok, rest bool) {
	type mark struct {
		it  *item
		end int
	}
	r.mu.Lock()
	tx := platform.RowTransaction{Checks: []platform.RowCheck{{RowID: ownerID(r.id), Version: r.version}}}
	var marks []mark
	size := 0
	for _, it := range r.items {
		if it.state == listed || len(it.events) <= it.saved {
			continue
		}
		if len(tx.Writes) >= platform.MaxTransactionRows-2 || size > commitBytes-maxValueBytes {
			rest = true
			break
		}
		write, count, err := textWrite(r.id, it.rollout.ID, saved{From: it.saved, Events: it.events[it.saved:], Failures: it.failures})
		if err != nil {
			r.log.Error(err, "text can't be saved", "rollout", it.rollout.ID)
			continue
		}
		rest = rest || it.saved+count < len(it.events)
		tx.Writes = append(tx.Writes, write)
		size += len(write.Value)
		marks = append(marks, mark{it, it.saved + count})
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
		return r.reread(nil), true
	}
	if err != nil {
		r.log.Info("text not saved", "rollouts", len(marks), "error", err.Error())
		r.mu.Lock()
		r.savedAt = time.Now()
		r.mu.Unlock()
		return false, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range marks {
		// A rollout that began anew meanwhile has no use for the saved events.
		if k.end <= len(k.it.events) {
			k.it.saved = k.end
		}
	}
	if !rest {
		r.savedAt = time.Now()
	}
	return true, rest
}

// release writes the owner row without an owner.
func (r *run) release() (more, failed bool) {
	r.mu.Lock()
	owner, version := r.owner, r.version
	r.mu.Unlock()
	owner.Host, owner.Incarnation = "", ""
	write, err := ownerWrite(r.id, owner)
	if err == nil {
		_, err = r.m.store.rows.Commit(r.m.ctx, platform.RowTransaction{
			Checks: []platform.RowCheck{{RowID: ownerID(r.id), Version: version}},
			Writes: []platform.RowWrite{write},
		})
	}
	switch {
	case err == nil:
		r.m.events.Event("job_handed_over")
		r.log.Info("job handed over", "listed", owner.Listed, "total", owner.Total)
		return false, false
	case failure.IsKind(err, failure.Conflict):
		return !r.reread(nil), true
	}
	return true, true
}
