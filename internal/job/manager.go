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
	// reconcileInterval is how often a host looks for jobs without a live owner.
	reconcileInterval = 100 * time.Millisecond
	// rankStep is how much longer each next host waits before it takes a job over.
	rankStep = 400 * time.Millisecond
)

// known is what a host knows of one job through the feed.
type known struct {
	owner   Owner
	version uint64
	ended   bool
	// orphanSince is when this host first found the owner dead; zero while it lives.
	orphanSince time.Time
}

// Manager accepts jobs, runs those that this host owns and takes over those
// whose owner died. It is a sink of the follower of TableJobs.
type Manager struct {
	host        string
	incarnation string
	ownDomain   string
	store       store
	hosts       Hosts
	rules       Rules
	fleet       *fleet.Fleet
	engine      Engine
	scorer      Scorer
	log         logr.Logger
	events      *telemetry.Recorder
	retention   time.Duration

	mu     sync.Mutex
	demand func(model string, oldest uint64, rollouts int)
	// steps are the newest steps seen by model.
	steps map[string]int
	// kept are the newest runs of each model that ended here, the newest last.
	kept map[string][]*run
	// slowSince is since when engines are slow; only placeRollouts uses it.
	slowSince map[string]time.Time
	jobs      map[string]*known
	runs      map[string]*run
	caught    time.Time
	leaving   bool
	changed   chan struct{}

	wake     chan struct{}
	dispatch chan struct{}
	// scoring holds a token for each scoring call in progress.
	scoring chan struct{}
	waits   sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
}

// Config are the parts that a Manager works with.
type Config struct {
	// Host and Incarnation name this process.
	Host, Incarnation string
	// Domain is this host's failure domain.
	Domain string
	Rows   platform.RowStore
	Hosts  Hosts
	Rules  Rules
	Fleet  *fleet.Fleet
	Engine Engine
	Scorer Scorer
	// OnNewStep is told the oldest version of a model\'s weights that its newest job allows, and its size; it may be nil.
	OnNewStep func(model string, oldest uint64, rollouts int)
	// Retention is how long a job that is over is kept after its acceptance; zero keeps it.
	Retention time.Duration
	// Events counts what happens; it may be nil.
	Events *telemetry.Recorder
	Log    logr.Logger
}

// NewManager returns a manager; Run makes it work.
func NewManager(c Config) *Manager {
	m := &Manager{
		host: c.Host, incarnation: c.Incarnation, ownDomain: c.Domain, store: store{c.Rows}, hosts: c.Hosts, rules: c.Rules,
		fleet: c.Fleet, engine: c.Engine, scorer: c.Scorer, log: c.Log, events: c.Events, retention: c.Retention,
		demand: c.OnNewStep, steps: map[string]int{}, kept: map[string][]*run{}, slowSince: map[string]time.Time{}, jobs: map[string]*known{}, runs: map[string]*run{}, changed: make(chan struct{}),
		wake: make(chan struct{}, 1), dispatch: make(chan struct{}, 1), scoring: make(chan struct{}, scoringAtOnce),
	}
	m.ctx, m.stop = context.WithCancel(context.Background())
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
	k := m.jobs[row.Part]
	if k == nil {
		k = &known{}
		m.jobs[row.Part] = k
	}
	switch row.Key {
	case keyEnd:
		k.ended = true
		if r := m.runs[row.Part]; r != nil {
			r.end("ended by its trainer")
		}
	case keyOwner:
		var owner Owner
		if err := json.Unmarshal(row.Value, &owner); err != nil {
			m.log.Info("owner row can't be read", "job", row.Part, "version", row.Version)
			return
		}
		m.learn(row.Part, owner, row.Version)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// settled reports whether nothing that matters can change any more in a job's rows
// in TableJobs but for their removal: all results are listed. An ended job may
// have been listed further.
func (m *Manager) settled(job string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.jobs[job]
	return k != nil && k.version > 0 && k.owner.Total > 0 && k.owner.Listed >= k.owner.Total
}

// FollowConfig is how TableJobs is followed for a manager: questions that wait
// for a change, and the least time between two of them, which stretch multiplies.
func (m *Manager) FollowConfig(wait, interval time.Duration, stretch func() float64) follow.Config {
	return follow.Config{Table: TableJobs, AllParts: true, Settled: m.settled, LongPollWait: wait, MinInterval: interval, IntervalFactor: stretch}
}

// learn takes an owner row that is newer than the one known. The caller holds mu.
func (m *Manager) learn(job string, owner Owner, version uint64) {
	k := m.jobs[job]
	if k == nil {
		k = &known{}
		m.jobs[job] = k
	}
	if version <= k.version {
		return
	}
	if k.owner.Host != owner.Host || k.owner.Incarnation != owner.Incarnation {
		k.orphanSince = time.Time{}
	}
	k.owner, k.version = owner, version
	if newest, seen := m.steps[owner.Model]; owner.Model != "" && (!seen || owner.Step > newest) {
		m.steps[owner.Model] = owner.Step
		if m.demand != nil {
			m.demand(owner.Model, owner.MinVersion, owner.Total)
		}
	}
	if r := m.runs[job]; r != nil && !m.owns(owner) {
		r.lose("the feed shows another owner", version)
	}
}

func (m *Manager) owns(owner Owner) bool {
	return owner.Host == m.host && owner.Incarnation == m.incarnation
}

// Synced implements follow.Sink.
func (m *Manager) Synced(_ time.Duration, asked time.Time) {
	m.mu.Lock()
	m.caught = asked
	m.mu.Unlock()
	poke(m.wake)
}

func poke(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Run takes over jobs and places rollouts until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	m.waits.Go(func() { m.placeRollouts(ctx) })
	m.waits.Go(func() { m.sweepJobs(ctx) })
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		m.Reconcile(ctx)
		select {
		case <-ticker.C:
		case <-m.wake:
		case <-ctx.Done():
			m.stop()
			m.waits.Wait()
			return nil
		}
	}
}

// Reconcile starts what this host owns and takes over what nobody runs.
func (m *Manager) Reconcile(ctx context.Context) {
	// Before the other hosts are known, every owner would look dead.
	_, sawHosts := m.hosts.StoreClock()
	m.mu.Lock()
	if m.caught.IsZero() || sawHosts.IsZero() {
		m.mu.Unlock()
		return
	}
	now := time.Now()
	var adopt, orphans []string
	for id, k := range m.jobs {
		if k.version == 0 || k.ended || k.owner.Listed >= k.owner.Total || m.runs[id] != nil {
			continue
		}
		switch {
		case m.owns(k.owner):
			// A stopping host hands over what it is given meanwhile.
			adopt = append(adopt, id)
		case m.leaving:
		case k.owner.Host != "" && m.hosts.Alive(k.owner.Host, k.owner.Incarnation):
			k.orphanSince = time.Time{}
		default:
			if k.orphanSince.IsZero() {
				k.orphanSince = now
			}
			if now.Sub(k.orphanSince) >= time.Duration(m.hosts.Rank(k.owner.key(id), m.host))*rankStep {
				orphans = append(orphans, id)
			}
		}
	}
	m.mu.Unlock()
	for _, id := range adopt {
		m.adopt(id)
	}
	for _, id := range orphans {
		m.waits.Go(func() { m.takeOver(ctx, id) })
	}
}

// adopt runs a job that this host owns, as after an acceptance whose answer was lost.
func (m *Manager) adopt(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.jobs[id]; k != nil && m.runs[id] == nil {
		m.start(id, nil, k.owner, k.version)
	}
}

// takeOver makes this host the owner of a job whose owner is dead or gave it up.
func (m *Manager) takeOver(ctx context.Context, id string) {
	m.mu.Lock()
	k := m.jobs[id]
	if k == nil || m.runs[id] != nil || m.owns(k.owner) {
		m.mu.Unlock()
		return
	}
	// Until the try has ended, the job counts as looked after.
	k.orphanSince = time.Now()
	owner, version := k.owner, k.version
	found := time.Since(m.caught)
	m.mu.Unlock()
	before := owner.Host + "/" + owner.Incarnation
	owner.Host, owner.Incarnation = m.host, m.incarnation
	write, err := ownerWrite(id, owner)
	if err != nil {
		m.log.Error(err, "job can't be taken over", "job", id)
		return
	}
	receipt, err := m.store.rows.Commit(ctx, platform.RowTransaction{
		Checks: []platform.RowCheck{{RowID: ownerID(id), Version: version}},
		Writes: []platform.RowWrite{write},
	})
	if err != nil {
		m.log.Info("job not taken over", "job", id, "owner", before, "version", version, "feed_age", found, "error", err.Error())
		return
	}
	m.events.Event("job_taken_over")
	m.log.Info("job taken over", "job", id, "from", before, "version", receipt.Version, "before", version, "feed_age", found, "listed", owner.Listed, "total", owner.Total)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learn(id, owner, receipt.Version)
	if m.runs[id] == nil && !m.leaving && m.jobs[id].version == receipt.Version {
		m.start(id, nil, owner, receipt.Version)
	}
}

// start runs a job. The caller holds mu. spec may be nil; then it is read first.
func (m *Manager) start(id string, spec *Spec, owner Owner, version uint64) {
	r := newRun(m, id, spec, owner, version)
	// A stopping host only hands over what it accepts.
	r.isLeft = m.leaving
	m.runs[id] = r
	m.waits.Go(func() {
		r.loop()
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.runs[id] == r {
			delete(m.runs, id)
		}
		if model := r.owner.Model; model != "" && !r.isLost {
			m.kept[model] = append(m.kept[model], r)
			m.kept[model] = m.kept[model][max(0, len(m.kept[model])-carryJobs):]
		}
	})
}

// clock estimates the store's clock.
func (m *Manager) clock() time.Duration {
	now, asked := m.hosts.StoreClock()
	if asked.IsZero() {
		return 0
	}
	return now + time.Since(asked)
}

// Load is what a host's jobs ask of it now.
type Load struct {
	Jobs, Waiting, Running int
	// OldestAge is the age of the oldest job that runs here.
	OldestAge time.Duration
}

// Load returns the present load.
func (m *Manager) Load() Load {
	clock := m.clock()
	var load Load
	for _, r := range m.activeRuns() {
		r.mu.Lock()
		load.Jobs++
		load.OldestAge = max(load.OldestAge, clock-r.owner.accepted())
		for _, it := range r.items {
			switch it.state {
			case waiting:
				load.Waiting++
			case running:
				load.Running++
			}
		}
		r.mu.Unlock()
	}
	return load
}

// Drain takes no further jobs, goes on with those that this host runs for a
// while, and then gives up what is left, so that other hosts take it over at once.
func (m *Manager) Drain(ctx context.Context, keep time.Duration) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	for end := time.Now().Add(keep); time.Now().Before(end) && ctx.Err() == nil && len(m.activeRuns()) > 0; {
		time.Sleep(reconcileInterval)
	}
	var wait sync.WaitGroup
	for _, r := range m.activeRuns() {
		wait.Go(func() { r.handOver(ctx) })
	}
	wait.Wait()
}
