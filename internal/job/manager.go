package job

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

const (
	// reconcileInterval is the longest time between two runs of Reconcile. The loop of
	// a job run and Drain poll at the same interval.
	reconcileInterval = 100 * time.Millisecond
	// takeoverRankDelay is the extra time that a host waits before it takes a job
	// over, for each live host that ranks before it.
	takeoverRankDelay = 400 * time.Millisecond
	// takeoverRetryDelay is the time after which a host tries a takeover again without an
	// answer to the first try, whose connection to the store may be silent.
	takeoverRetryDelay = 400 * time.Millisecond
)

// jobState is what this host knows of a job from the change feed of TableJobs and from
// its own writes. version is that of the owner row; zero while no owner row is known.
type jobState struct {
	owner   OwnerRow
	version uint64
	// teamKnown is true if owner.Team was compared with the spec. A row that a process of an
	// older version wrote has no team.
	teamKnown bool
	ended     bool
	// endedAt is when this process learned of the end.
	endedAt time.Time
	// orphanSince is the start of the current takeover delay: when this host first
	// found the job without a live owner, or last tried to take it over. Zero while
	// no delay runs.
	orphanSince time.Time
	// takeoverAt is when this host last began to take the job over.
	takeoverAt time.Time
}

// over reports whether no run of the job is needed any more. The owner row must be known.
func (s *jobState) over() bool { return s.ended || s.owner.Listed >= s.owner.Total }

// Manager accepts jobs, runs those that this host owns and takes over those
// whose owner died. It implements follow.Sink for TableJobs.
type Manager struct {
	host        string
	incarnation string
	domain      string
	store       store
	hosts       Hosts
	rules       Rules
	fleet       *fleet.Fleet
	engine      Engine
	scorer      Scorer
	log         logr.Logger
	events      *telemetry.Recorder
	retention   time.Duration
	notifyOwner func(host string, a Acceptance) error

	mu        sync.Mutex
	onNewStep func(model string, oldest uint64, rollouts int)
	// newestStep is the newest step of each model seen so far.
	newestStep map[string]int
	// endedRuns holds the last carryJobs runs of each model that ended on this host
	// and were not lost, oldest first. Later jobs carry rollouts over from them.
	endedRuns map[string][]*jobRun
	// slowSince holds the time at which an engine became slow, by engine ID. Only
	// the goroutine of placeRollouts uses it.
	slowSince map[string]time.Time
	// jobs holds all known jobs by ID.
	jobs map[string]*jobState
	// runs holds the running jobs that this host owns, by ID.
	runs map[string]*jobRun
	// syncedAt is the time of the request that last brought jobs up to date.
	syncedAt time.Time
	// draining is true once Drain was called.
	draining bool
	// changed is closed and replaced when jobs changes.
	changed chan struct{}
	// waitingReaders is the number of callers of Results that wait for a change, and
	// lastWait the time at which one last began or stopped waiting.
	waitingReaders int
	lastWait       time.Time

	// wake triggers Reconcile.
	wake chan struct{}
	// placementWake triggers the placement of waiting rollouts.
	placementWake chan struct{}
	// scoringGates limit the scoring calls, by service.
	scoringGates map[string]*scoringGate
	wg           sync.WaitGroup
	ctx          context.Context
	cancel       context.CancelFunc
}

// Config holds the dependencies and settings of a Manager.
type Config struct {
	// Host is the ID of this host, and Incarnation that of its process.
	Host, Incarnation string
	// Domain is this host's failure domain.
	Domain string
	// Rows is the store of jobs.
	Rows  platform.RowStore
	Hosts Hosts
	Rules Rules
	// Fleet holds the engines.
	Fleet  *fleet.Fleet
	Engine Engine
	// Scorer may be nil if no rollout has a scoring call.
	Scorer Scorer
	// Notify tells another host that it owns a job that this host has accepted; nil
	// leaves it to the change feed.
	Notify func(host string, a Acceptance) error
	// OnNewStep is called when a newer training step of a model appears, with the
	// oldest weight version that its job allows and its number of rollouts. It must
	// not call the Manager, which holds its lock; it may be nil.
	OnNewStep func(model string, oldest uint64, rollouts int)
	// Retention is how long a job that its trainer has ended is kept, counted from its
	// acceptance; zero keeps it forever. A job that is not ended is kept until it is.
	Retention time.Duration
	// Events records metrics; it may be nil.
	Events *telemetry.Recorder
	Log    logr.Logger
}

// NewManager returns a manager. Call Run to start it.
func NewManager(c Config) *Manager {
	m := &Manager{
		host: c.Host, incarnation: c.Incarnation, domain: c.Domain, store: store{c.Rows}, hosts: c.Hosts, rules: c.Rules,
		notifyOwner: c.Notify, fleet: c.Fleet, engine: c.Engine, scorer: c.Scorer, log: c.Log, events: c.Events, retention: c.Retention,
		onNewStep: c.OnNewStep, newestStep: map[string]int{}, endedRuns: map[string][]*jobRun{}, slowSince: map[string]time.Time{}, jobs: map[string]*jobState{}, runs: map[string]*jobRun{}, changed: make(chan struct{}),
		wake: make(chan struct{}, 1), placementWake: make(chan struct{}, 1), scoringGates: map[string]*scoringGate{},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Changed implements follow.Sink.
func (m *Manager) Changed(row platform.VersionedRow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if row.Deleted {
		if row.Key == keyOwner {
			delete(m.jobs, row.Part)
		}
		return
	}
	switch row.Key {
	case keyEnd:
		m.observeEnd(row.Part)
	case keyOwner:
		var owner OwnerRow
		if err := json.Unmarshal(row.Value, &owner); err != nil {
			m.log.Info("cannot decode owner row", "job", row.Part, "version", row.Version)
			return
		}
		m.observeOwner(row.Part, owner, row.Version)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// isFinal reports whether the rows of a job in TableJobs won't change any more until
// they are deleted. That is known once the job is ended and its owner row shows that all
// results are listed. It is not known of another job that its trainer ended, because its
// owner may have listed more results before it saw the end.
func (m *Manager) isFinal(job string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.jobs[job]
	return state != nil && state.version > 0 && state.ended && state.owner.Total > 0 && state.owner.Listed >= state.owner.Total
}

// FollowConfig returns the configuration for following TableJobs. wait is the
// long-poll timeout, interval the delay between two polls. factor, if not nil,
// returns the number by which interval is multiplied unless a caller waits here for
// results, or did within readerReturnTime.
func (m *Manager) FollowConfig(wait, interval time.Duration, factor func() float64) follow.Config {
	scaled := func() float64 {
		if factor == nil || m.hasReader() {
			return 1
		}
		return factor()
	}
	return follow.Config{Table: TableJobs, AllParts: true, IsFinal: m.isFinal, LongPollWait: wait, MinInterval: interval, IntervalFactor: scaled}
}

// hasReader reports whether a caller waits here for results, or is about to ask for more.
func (m *Manager) hasReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waitingReaders > 0 || time.Since(m.lastWait) < readerReturnTime
}

// state returns the state of a job, which may be new. The caller holds mu.
func (m *Manager) state(job string) *jobState {
	state := m.jobs[job]
	if state == nil {
		state = &jobState{}
		m.jobs[job] = state
	}
	return state
}

// observeEnd records that a job was ended, also if its owner row is not known yet. The
// caller holds mu.
func (m *Manager) observeEnd(job string) {
	if state := m.state(job); !state.ended {
		state.ended, state.endedAt = true, time.Now()
	}
	if r := m.runs[job]; r != nil {
		r.markEnded("ended by its trainer")
	}
}

// observeOwner records an owner row if it is newer than the known one. The caller holds mu.
func (m *Manager) observeOwner(job string, owner OwnerRow, version uint64) {
	state := m.state(job)
	if version <= state.version {
		return
	}
	if state.owner.Host != owner.Host || state.owner.Incarnation != owner.Incarnation {
		state.orphanSince = time.Time{}
	}
	if owner.AcceptedMS != state.owner.AcceptedMS {
		// Another job with the same ID.
		state.teamKnown = false
	} else if owner.Team == "" {
		owner.Team = state.owner.Team
	}
	state.owner, state.version = owner, version
	if newest, seen := m.newestStep[owner.Model]; owner.Model != "" && (!seen || owner.Step > newest) {
		m.newestStep[owner.Model] = owner.Step
		if m.onNewStep != nil {
			m.onNewStep(owner.Model, owner.MinVersion, owner.Total)
		}
	}
	if r := m.runs[job]; r != nil && !m.owns(owner) {
		r.markLost("the feed shows another owner", version)
	}
}

// owns reports whether this process is the owner.
func (m *Manager) owns(owner OwnerRow) bool {
	return owner.Host == m.host && owner.Incarnation == m.incarnation
}

// Synced implements follow.Sink.
func (m *Manager) Synced(_ time.Duration, asked time.Time) {
	m.mu.Lock()
	m.syncedAt = asked
	m.mu.Unlock()
	notify(m.wake)
}

// notify sends to wake unless a notification is already pending.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Run reconciles, places rollouts and deletes old jobs until ctx ends. It returns
// once all goroutines of the manager have ended; the error is always nil.
func (m *Manager) Run(ctx context.Context) error {
	m.wg.Go(func() { m.placeRollouts(ctx) })
	m.wg.Go(func() { m.sweepJobs(ctx) })
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		m.Reconcile(ctx)
		select {
		case <-ticker.C:
		case <-m.wake:
		case <-ctx.Done():
			m.cancel()
			m.wg.Wait()
			return nil
		}
	}
}

// Reconcile starts the jobs that this host owns and takes over those without a
// live owner.
func (m *Manager) Reconcile(ctx context.Context) {
	// Until the other hosts are known, every owner would look dead. The store clock
	// is known once they have been read.
	_, asked := m.hosts.StoreClock()
	m.mu.Lock()
	if m.syncedAt.IsZero() || asked.IsZero() {
		m.mu.Unlock()
		return
	}
	now := time.Now()
	var owned, orphans []string
	for id, state := range m.jobs {
		if state.version == 0 || state.over() || m.runs[id] != nil {
			continue
		}
		switch {
		case m.owns(state.owner):
			// A draining host starts them too, because only a run can hand a job over.
			owned = append(owned, id)
		case m.draining:
		case state.owner.Host != "" && m.hosts.Alive(state.owner.Host, state.owner.Incarnation):
			state.orphanSince = time.Time{}
		default:
			if state.orphanSince.IsZero() {
				state.orphanSince = now
			}
			if now.Sub(state.orphanSince) >= time.Duration(m.hosts.Rank(state.owner.rankingKey(id), m.host))*takeoverRankDelay {
				orphans = append(orphans, id)
			}
		}
	}
	m.mu.Unlock()
	for _, id := range owned {
		m.startOwned(id)
	}
	for _, id := range orphans {
		m.wg.Go(func() { m.takeOver(ctx, id) })
	}
}

// startOwned starts a job that this host owns and does not run yet, for example
// because another host accepted it or the response to the acceptance was lost.
func (m *Manager) startOwned(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state := m.jobs[id]; state != nil {
		m.start(id, nil, state.version)
	}
}

// takeOver makes this host the owner of a job whose owner is dead or handed it over.
func (m *Manager) takeOver(ctx context.Context, id string) {
	m.mu.Lock()
	state := m.jobs[id]
	if state == nil || m.runs[id] != nil || m.owns(state.owner) || time.Since(state.takeoverAt) < takeoverRetryDelay {
		m.mu.Unlock()
		return
	}
	// Restart the delay of this host's rank, counted from this attempt.
	state.takeoverAt = time.Now()
	state.orphanSince = state.takeoverAt
	owner, version := state.owner, state.version
	feedAge := time.Since(m.syncedAt)
	m.mu.Unlock()
	before := owner.Host + "/" + owner.Incarnation
	owner.Host, owner.Incarnation = m.host, m.incarnation
	write, err := ownerWrite(id, owner)
	if err != nil {
		m.log.Error(err, "cannot encode owner row", "job", id)
		return
	}
	result, err := m.store.rows.Commit(ctx, platform.RowTransaction{
		// The job must not have been ended.
		Checks: []platform.RowCheck{{RowID: ownerRowID(id), Version: version}, {RowID: endRowID(id)}},
		Writes: []platform.RowWrite{write},
	})
	if err != nil {
		m.log.Info("takeover failed", "job", id, "owner", before, "version", version, "feed_age", feedAge, "error", err.Error())
		return
	}
	m.events.Event("job_taken_over")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeOwner(id, owner, result.Version)
	m.log.Info("job taken over", "job", id, "from", before, "version", result.Version, "before", version, "feed_age", feedAge, "listed", owner.Listed, "total", owner.Total,
		"ended", m.jobs[id].ended)
	m.start(id, nil, result.Version)
}

// start runs a job if this host owns it by the owner row of a version, knows no newer
// row, and the job is neither running here nor over. If spec is nil, it is read from the
// store first. The caller holds mu.
func (m *Manager) start(id string, spec *Spec, version uint64) {
	state := m.jobs[id]
	if m.runs[id] != nil || state.version != version || !m.owns(state.owner) || state.over() {
		return
	}
	r := newJobRun(m, id, spec, state.owner, version)
	// The run on a draining host only hands the job over.
	r.isHandingOver = m.draining
	m.runs[id] = r
	m.wg.Go(func() {
		r.loop()
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.runs[id] == r {
			delete(m.runs, id)
		}
		if model := r.owner.Model; model != "" && !r.isLost {
			m.endedRuns[model] = append(m.endedRuns[model], r)
			m.endedRuns[model] = m.endedRuns[model][max(0, len(m.endedRuns[model])-carryJobs):]
		}
	})
}

// HeldBytes returns about how many bytes of memory the jobs that this process runs, or has
// lately run, take.
func (m *Manager) HeldBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var held int64
	for _, r := range m.runs {
		held += r.specBytes.Load() + r.textBytes.Load()
	}
	for _, ended := range m.endedRuns {
		for _, r := range ended {
			held += r.specBytes.Load() + r.textBytes.Load()
		}
	}
	return held
}

// storeNow returns the estimated present time of the store clock; zero if it is not
// known.
func (m *Manager) storeNow() time.Duration {
	now, asked := m.hosts.StoreClock()
	if asked.IsZero() {
		return 0
	}
	return now + time.Since(asked)
}

// Load counts the jobs that a host runs, and their waiting and running rollouts.
type Load struct {
	Jobs, Waiting, Running int
	// Unended is the number of jobs that were accepted longer ago than the retention and
	// are complete, but that no trainer has ended. Each is counted at one host.
	Unended int
	// OldestAge is the time since the acceptance of the oldest job that runs here.
	OldestAge time.Duration
}

// Load returns the current load of this host.
func (m *Manager) Load() Load {
	clock := m.storeNow()
	load := Load{Unended: m.countUnended(clock)}
	for _, r := range m.activeRuns() {
		r.mu.Lock()
		load.Jobs++
		load.OldestAge = max(load.OldestAge, clock-r.owner.acceptedAt())
		for _, task := range r.tasks {
			switch task.state {
			case taskWaiting:
				load.Waiting++
			case taskRunning:
				load.Running++
			}
		}
		r.mu.Unlock()
	}
	return load
}

// Drain stops taking jobs over, lets this host's jobs run for at most grace, and then
// hands the rest over, so that other hosts need not wait until this host counts as
// dead.
func (m *Manager) Drain(ctx context.Context, grace time.Duration) {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for end := time.Now().Add(grace); time.Now().Before(end) && ctx.Err() == nil && len(m.activeRuns()) > 0; {
		time.Sleep(reconcileInterval)
	}
	var wait sync.WaitGroup
	for _, r := range m.activeRuns() {
		wait.Go(func() { r.handOver(ctx) })
	}
	wait.Wait()
}
