package job

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/pause"
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
			if !pause.For(r.m.ctx, commitPause) {
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
