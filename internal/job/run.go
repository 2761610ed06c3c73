package job

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// saveInterval is how often the text of unfinished rollouts is saved. A
	// take-over generates at most this much again.
	saveInterval = 400 * time.Millisecond
	// commitPause is the wait after a write that failed.
	commitPause = 150 * time.Millisecond
	// pageBytes bounds the results that are read from memory at once.
	pageBytes = 512 << 10
)

// itemState is how far a rollout has come at its owner.
type itemState int

const (
	waiting itemState = iota
	running
	scoring
	finished
	listed
)

// item is a rollout within a run.
type item struct {
	rollout  *Rollout
	position int
	state    itemState
	carried  bool
	events   []Event
	// saved is the number of events that are saved.
	saved    int
	failures int
	avoid    map[string]bool
	// waitsSince is when the rollout began to wait for its present place.
	waitsSince time.Time
	// engine, lastEvent and had belong to the present run; had is the number of events before it.
	engine    string
	lastEvent time.Time
	had       int
	stop      context.CancelCauseFunc
	// leaves is true once the present run was ended to go on elsewhere.
	leaves bool
	result Result
}

// pendingList is a listing whose fate is not known yet.
type pendingList struct {
	tx    platform.RowTransaction
	owner Owner
	count int
}

// run is one ownership of a job.
type run struct {
	m    *Manager
	id   string
	log  logr.Logger
	ctx  context.Context
	stop context.CancelCauseFunc
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	spec    *Spec
	owner   Owner
	version uint64
	items   []*item
	byID    map[string]*item
	// ready are finished items that are not listed, in the order of their ends.
	ready []*item
	// results are the listed results that this host knows, from position first on.
	results  []Result
	pending  *pendingList
	savedAt  time.Time
	isLost   bool
	isEnded  bool
	isLeft   bool
	prepared bool
}

// Reasons for which a run of a rollout is cancelled.
var (
	errEnded   = errors.New("the job has ended")
	errSilent  = errors.New("the engine was silent")
	errQueued  = errors.New("the engine did not begin while another had a free place")
	errSlow    = errors.New("the engine is slower than its peers")
	errStopped = errors.New("this host is stopping")
)

func newRun(m *Manager, id string, spec *Spec, owner Owner, version uint64) *run {
	r := &run{
		m: m, id: id, log: m.log.WithValues("job", id), spec: spec, owner: owner, version: version,
		byID: map[string]*item{}, wake: make(chan struct{}, 1), done: make(chan struct{}), savedAt: time.Now(),
	}
	r.ctx, r.stop = context.WithCancelCause(m.ctx)
	return r
}

// end stops the generation; the loop then saves what there is.
func (r *run) end(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isEnded {
		return
	}
	r.isEnded = true
	r.log.Info("run ends", "reason", reason, "listed", r.owner.Listed, "total", r.owner.Total)
	r.stop(errEnded)
	poke(r.wake)
}

// lose stops the run because another host owns the job.
func (r *run) lose(reason string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loseLocked(reason, version)
}

func (r *run) loseLocked(reason string, version uint64) {
	if r.isLost {
		return
	}
	r.isLost = true
	r.m.events.Event("job_lost")
	r.log.Info("run lost", "reason", reason, "had_version", r.version, "has_version", version)
	r.stop(errOwnerLost)
	poke(r.wake)
}

// handOver saves what there is and gives the job up. It returns when that is
// done or ctx ends. The generation goes on until the store has the new owner row:
// while the store is away, no other host could go on with it.
func (r *run) handOver(ctx context.Context) {
	r.mu.Lock()
	r.isLeft = true
	poke(r.wake)
	r.mu.Unlock()
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

func (r *run) specification() *Spec {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spec
}

// listedFrom returns results that are listed, from a position on.
func (r *run) listedFrom(position int) []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.owner.Listed - len(r.results)
	if position < first || position >= r.owner.Listed {
		return nil
	}
	var page []Result
	size := 0
	for _, result := range r.results[position-first:] {
		if size += len(result.Text); size > pageBytes && len(page) > 0 {
			break
		}
		page = append(page, result)
	}
	return page
}

// loop prepares the run, then lists and saves until the job is done, ended, lost or left.
func (r *run) loop() {
	defer close(r.done)
	defer r.stop(errStopped)
	if !r.prepare() {
		return
	}
	poke(r.m.dispatch)
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		more, failed := r.commit()
		if !more {
			return
		}
		if failed {
			select {
			case <-time.After(commitPause):
			case <-r.m.ctx.Done():
				return
			}
			continue
		}
		select {
		case <-r.wake:
		case <-ticker.C:
		case <-r.m.ctx.Done():
			return
		}
	}
}

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

// finish records the result of a rollout and has it listed.
func (r *run) finish(it *item, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if it.state == finished || it.state == listed {
		return
	}
	result.ID = it.rollout.ID
	it.state, it.result = finished, result
	r.ready = append(r.ready, it)
	poke(r.wake)
}

// completed returns the result of a text that is whole.
func completed(events []Event, signature, scoredBy string) Result {
	lines := make([]string, len(events))
	var versions []uint64
	for i, event := range events {
		lines[i] = event.Data
		if !slices.Contains(versions, event.Version) {
			versions = append(versions, event.Version)
		}
	}
	slices.Sort(versions)
	return Result{State: Completed, Text: strings.Join(lines, "\n"), Versions: versions, Score: signature, ScoredBy: scoredBy}
}
