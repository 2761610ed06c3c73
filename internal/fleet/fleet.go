package fleet

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/placement"
)

const (
	// missingGracePeriod is how long a replica that disappeared from discovery
	// without draining may still be used if no other is left. Entries that expire
	// while the store is unavailable come back within two seconds, and a replica
	// that left may get requests until two seconds after its entry expired.
	missingGracePeriod = 1200 * time.Millisecond
	// refusalBackoff is how long a replica gets no requests, or none of one model,
	// after a refusal.
	refusalBackoff = 150 * time.Millisecond
	// minFailureBackoff is how long a replica gets no requests after a failure. It
	// doubles with each further failure up to maxFailureBackoff.
	minFailureBackoff = 300 * time.Millisecond
	maxFailureBackoff = 4 * time.Second
	// usualWorkTime is the work time of a load report at usual speed.
	usualWorkTime = 100
)

// Replica is a replica of a service as discovery shows it.
type Replica struct {
	ID string
	// Service is the name of the service or engine pool.
	Service string
	// Address has the form ip:port.
	Address string
	// Domain is the failure domain of the replica.
	Domain string
	// Incarnation differs between two starts under the same ID.
	Incarnation int64
	// Slots is the number of requests that the replica runs at once; zero if not known.
	Slots int
	// Draining replicas take no new requests.
	Draining bool
	// Spot replicas may be reclaimed, all of a failure domain at once.
	Spot bool
	// LeavesAt is when a replica that is being reclaimed ends; zero if it isn't.
	LeavesAt time.Time
	// Models holds the version of the loaded weights of each model.
	Models map[string]uint64
	// Estimate is set by Reserve: the load by which the replica was chosen.
	Estimate LoadEstimate
}

// Upstream returns the replica as a target of HTTP exchanges.
func (r Replica) Upstream() membership.Upstream {
	return membership.Upstream{ID: r.ID, Address: r.Address, Pool: r.Service, FailureDomain: r.Domain}
}

// LoadEstimate is this host's estimate of a replica's load when it chose the replica.
type LoadEstimate struct {
	// InFlight is the number of this host's requests in flight.
	InFlight int
	// OtherInFlight is the estimated number of other hosts' requests in flight, and
	// ReportAge the age of the load report that it comes from; both are zero without
	// a report.
	OtherInFlight float64
	ReportAge     time.Duration
	// Slowdown is the replica's latency divided by the median latency of its service;
	// 1 if not known.
	Slowdown float64
	// WorkTime is the work time of the last load report that had one, and WorkTimeAge
	// its age; both are zero without one. See LoadReport.
	WorkTime    float64
	WorkTimeAge time.Duration
	// Tokens is the number of tokens of engine memory that this host's rollouts may take.
	Tokens int
}

// LogFields returns the estimate as keys and values of a log line.
func (e LoadEstimate) LogFields() []any {
	fields := []any{"in_flight", e.InFlight, "others", math.Round(e.OtherInFlight*10) / 10, "report_age", e.ReportAge.Round(time.Millisecond), "pace", math.Round(e.Slowdown*100) / 100}
	if e.WorkTime > 0 {
		fields = append(fields, "work_time", e.WorkTime, "work_time_age", e.WorkTimeAge.Round(time.Millisecond))
	}
	if e.Tokens > 0 {
		fields = append(fields, "tokens", e.Tokens)
	}
	return fields
}

// LoadReport is what a replica says of its load in an answer.
type LoadReport struct {
	// Running and Waiting are the numbers of requests of all hosts.
	Running, Waiting int
	// Slots is the number of requests that the replica runs at once; zero if not known.
	Slots int
	// WorkTime is how long work takes on the replica's machine at this moment, in
	// percent of the usual time; zero if the replica does not say it.
	WorkTime float64
}

// member is a replica with the observations of this host.
type member struct {
	Replica
	// missingSince is when the replica disappeared from discovery; zero if it did not.
	missingSince time.Time
	// inFlight is the number of this host's requests in flight.
	inFlight int
	// unanswered is the number of them that were reserved with LimitUnanswered and
	// that the replica has not begun to answer.
	unanswered int
	// tokens is the number of tokens of engine memory that this host's rollouts may take.
	tokens int
	// failures is the number of failures since the last success.
	failures int
	// retryAt is the end of the present backoff.
	retryAt time.Time
	// refusedUntil is the end of the backoff or pause of each model.
	refusedUntil map[string]time.Time
	// observedVersions is the newest weight version of each model seen in answers.
	observedVersions map[string]uint64

	// observed holds the observations of the replica's load and speed.
	observed placement.Observations
	// reported is the number of requests in the last load report, if hasReport.
	reported  int
	hasReport bool
	// sent measures the requests that this host sends to the replica.
	sent demandMeter
	// workTime is the last reported work time in percent of the usual one, and
	// workTimeAt when it was reported; zero without one.
	workTime   float64
	workTimeAt time.Time

	// lastEventAt is when the replica last sent an event of a stream.
	lastEventAt time.Time

	// limit is nil unless the replica names a limit.
	limit *namedLimit
	// leaving is true once an answer said that the replica leaves; see MarkLeaving.
	leaving bool
}

// Fleet is the set of replicas known to this host. It is safe for concurrent use.
type Fleet struct {
	log logr.Logger

	// hasIdleConnection reports whether an idle connection to an address exists; may be nil.
	hasIdleConnection func(address string) bool
	// shares may be nil.
	shares ShareSource

	mu      sync.Mutex
	members map[string]*member
	// demand is this host's demand, by service.
	demand map[string]*demandMeter
	// requests is the number of this host's requests in flight, by service.
	requests map[string]int
	// left holds the incarnations that were marked as leaving, by ID.
	left map[string]leavingMark
	// changed is the channel of Changed; notify closes and replaces it.
	changed chan struct{}
}

// SetIdleConnectionCheck sets the function that reports whether an idle connection
// to an address exists. Call it before other methods.
func (f *Fleet) SetIdleConnectionCheck(hasIdle func(address string) bool) {
	f.hasIdleConnection = hasIdle
}

// New returns an empty fleet.
func New(log logr.Logger) *Fleet {
	return &Fleet{log: log, members: map[string]*member{}, demand: map[string]*demandMeter{}, requests: map[string]int{}, left: map[string]leavingMark{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed when a slot may have become free, or a
// replica is added or changes.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// notify closes the channel of Changed. The caller holds mu.
func (f *Fleet) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Put adds a replica that discovery shows, or updates it. A new incarnation or
// address discards the observations of the old one. A newer weight version ends the
// backoff of its model, and an older one is ignored.
func (f *Fleet) Put(r Replica) {
	if r.Models == nil {
		r.Models = map[string]uint64{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.members[r.ID]
	if old == nil || old.Incarnation != r.Incarnation || old.Address != r.Address {
		f.members[r.ID] = &member{Replica: r, refusedUntil: map[string]time.Time{}, observedVersions: map[string]uint64{}, leaving: f.hasLeft(r)}
		f.log.Info("replica added", "replica", r.ID, "service", r.Service, "address", r.Address, "draining", r.Draining)
		f.notify()
		return
	}
	if old.Draining != r.Draining {
		f.log.Info("replica changed", "replica", r.ID, "draining", r.Draining)
	}
	for model, version := range old.Models {
		if r.Models[model] < version {
			// The entry of discovery is out of date.
			r.Models[model] = version
		}
	}
	for model, version := range r.Models {
		if version > max(old.Models[model], old.observedVersions[model]) {
			delete(old.refusedUntil, model)
		}
	}
	same := old.Draining == r.Draining && old.Slots == r.Slots && old.missingSince.IsZero() && maps.Equal(old.Models, r.Models)
	old.Replica = r
	old.missingSince = time.Time{}
	if !same {
		f.notify()
	}
}

// Remove records that a replica disappeared from discovery.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil || !m.missingSince.IsZero() {
		return
	}
	f.log.Info("replica missing from discovery", "replica", id, "draining", m.Draining)
	m.missingSince = time.Now()
}

// expired reports whether a replica missing from discovery must not be used any more.
func (m *member) expired(now time.Time) bool {
	return !m.missingSince.IsZero() && (m.draining() || now.Sub(m.missingSince) > missingGracePeriod)
}

// draining reports whether the replica takes no new requests.
func (m *member) draining() bool { return m.Draining || m.leaving }

// Sweep deletes expired replicas without requests in flight. Call it regularly.
func (f *Fleet) Sweep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for id, m := range f.members {
		if m.expired(now) && m.inFlight == 0 {
			delete(f.members, id)
		}
	}
	f.forgetLeft(now)
}

// Get returns a replica; false if it is unknown or expired.
func (f *Fleet) Get(id string) (Replica, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil || m.expired(time.Now()) {
		return Replica{}, false
	}
	return m.snapshot(), true
}

// List returns the replicas of a service, or of all services if service is empty,
// sorted by ID.
func (f *Fleet) List(service string) []Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var all []Replica
	for _, m := range f.members {
		if (service == "" || m.Service == service) && !m.expired(now) {
			all = append(all, m.snapshot())
		}
	}
	slices.SortFunc(all, func(a, b Replica) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// Slots returns the number of requests that the replicas of a service that take new ones
// run at once.
func (f *Fleet) Slots(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	slots := 0
	for _, m := range f.membersOf(service, time.Now()) {
		if !m.draining() {
			slots += m.Slots
		}
	}
	return slots
}

// snapshot returns a copy of the replica with the newest observed versions.
func (m *member) snapshot() Replica {
	r := m.Replica
	r.Draining = m.draining()
	r.Models = make(map[string]uint64, len(m.Models))
	for model, version := range m.Models {
		r.Models[model] = max(version, m.observedVersions[model])
	}
	return r
}

// Requirements selects the replicas that can run a request.
type Requirements struct {
	Service string
	// Model is the name of the model that generates; empty for plain services.
	Model string
	placement.Request
}

// Reserve chooses a replica and counts a request in flight there until Release is
// called. With LimitUnanswered the request also counts as unanswered until RecordAnswer
// is called. The error has kind NoUpstream if the service has no replica, and kind
// QueueFull if no replica can take the request now. The latter has a RetryAfter if the
// limits that the replicas name allow none before.
func (f *Fleet) Reserve(want Requirements) (Replica, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	members, replicas := f.candidates(want, now)
	if len(members) == 0 {
		return Replica{}, failure.New(failure.NoUpstream, failure.NotRun, "service %s has no replica", want.Service)
	}
	chosen := placement.Choose(want.Request, replicas, now)
	if chosen < 0 {
		return Replica{}, failure.New(failure.QueueFull, failure.NotRun, "no replica of service %s has a free slot", want.Service).
			WithRetryAfter(f.limitWait(members, now))
	}
	m := members[chosen]
	f.meter(want.Service).add(now)
	m.sent.add(now)
	if m.limit != nil {
		m.limit.Take(now)
	}
	r := m.snapshot()
	r.Estimate = LoadEstimate{InFlight: m.inFlight, OtherInFlight: replicas[chosen].OtherInFlight, Slowdown: replicas[chosen].Slowdown, Tokens: m.tokens}
	r.Estimate.ReportAge = m.observed.ReportAge(now)
	if m.workTime > 0 {
		r.Estimate.WorkTime, r.Estimate.WorkTimeAge = m.workTime, now.Sub(m.workTimeAt)
	}
	m.inFlight++
	m.tokens += want.Tokens
	if want.LimitUnanswered {
		m.unanswered++
	}
	return r, nil
}

// Peek chooses a replica as Reserve does but reserves nothing. It returns the
// replica's ID and its slowdown; ok is false if no replica can take a request.
func (f *Fleet) Peek(want Requirements) (id string, slowdown float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	_, replicas := f.candidates(want, now)
	chosen := placement.Choose(want.Request, replicas, now)
	if chosen < 0 {
		return "", 0, false
	}
	return replicas[chosen].ID, replicas[chosen].Slowdown, true
}

// candidates returns the replicas of a service in random order, because hosts with
// the same view would otherwise all choose the same replica. The caller holds mu.
func (f *Fleet) candidates(want Requirements, now time.Time) ([]*member, []placement.Replica) {
	members := f.membersOf(want.Service, now)
	ring := ringDistances(members, want.Model)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	medians := medianLatencies(members, now)
	replicas := make([]placement.Replica, len(members))
	for i, m := range members {
		replicas[i] = m.placementReplica(want.Model, want.LimitUnanswered, medians, now)
		replicas[i].RingDistance = ring[m.ID]
		if wait := f.limitedFor(m, now); wait > 0 {
			replicas[i].RetryAt = lo.Latest(replicas[i].RetryAt, now.Add(wait))
		}
		replicas[i].HasIdleConnection = f.hasIdleConnection != nil && f.hasIdleConnection(m.Address)
	}
	return members, replicas
}

// membersOf returns the replicas of a service that are not expired. The caller
// holds mu.
func (f *Fleet) membersOf(name string, now time.Time) []*member {
	var members []*member
	for _, m := range f.members {
		if m.Service == name && !m.expired(now) {
			members = append(members, m)
		}
	}
	return members
}

// ringDistances returns the distance of each replica from the arc of a model on the
// ring of the replicas, which is sorted by ID. Hosts that know the same replicas
// compute the same distances.
func ringDistances(members []*member, model string) map[string]float64 {
	if model == "" {
		return nil
	}
	ids := make([]string, 0, len(members))
	var models []string
	for _, m := range members {
		ids = append(ids, m.ID)
		for name := range m.Models {
			if !slices.Contains(models, name) {
				models = append(models, name)
			}
		}
	}
	slices.Sort(ids)
	slices.Sort(models)
	part := slices.Index(models, model)
	distances := make(map[string]float64, len(ids))
	for position, id := range ids {
		distances[id] = placement.ArcDistance(position, len(ids), max(0, part), len(models))
	}
	return distances
}

// medianLatencies returns the median latencies of the members with a recent measurement.
func medianLatencies(members []*member, now time.Time) placement.Latencies {
	return placement.MedianLatencies(members, func(m *member) *placement.Observations { return &m.observed }, now)
}

// placementReplica returns the replica as input of package placement. rollout is true if
// the request is a rollout, and medians are the median latencies of the service.
func (m *member) placementReplica(model string, rollout bool, medians placement.Latencies, now time.Time) placement.Replica {
	estimate := m.observed.Estimate(rollout, medians, now)
	v := placement.Replica{
		ID: m.ID, Domain: m.Domain, Slots: m.Slots, InFlight: m.inFlight, OtherInFlight: estimate.OtherInFlight, OtherDrift: estimate.OtherDrift, Unanswered: m.unanswered, Tokens: m.tokens,
		Draining: m.draining(), Missing: !m.missingSince.IsZero(), RetryAt: m.retryAt, Slowdown: estimate.Slowdown,
		Version: max(m.Models[model], m.observedVersions[model]),
	}
	if until := m.refusedUntil[model]; until.After(v.RetryAt) {
		v.RetryAt = until
	}
	return v
}

// Release ends a reservation made by Reserve.
func (f *Fleet) Release(id string) {
	f.update(id, func(m *member) (freesSlot bool) {
		m.inFlight = max(0, m.inFlight-1)
		return true
	})
}

// ReleaseTokens returns the tokens of a reservation made by Reserve. Call it before
// Release, which wakes the rollouts that wait for room.
func (f *Fleet) ReleaseTokens(id string, tokens int) {
	f.update(id, func(m *member) (freesSlot bool) {
		m.tokens = max(0, m.tokens-tokens)
		return false
	})
}

// RecordAnswer records that a replica began to answer a request that was reserved with
// LimitUnanswered, or that the request ended without an answer. Call it once for each.
func (f *Fleet) RecordAnswer(id string) {
	f.update(id, func(m *member) (freesSlot bool) {
		m.unanswered = max(0, m.unanswered-1)
		return true
	})
}

// update applies a change to a replica that is still known. It notifies the waiters
// if change returns true, because a slot may have become free.
func (f *Fleet) update(id string, change func(m *member) (freesSlot bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil && change(m) {
		f.notify()
	}
}

// RecordSuccess records a complete answer and ends the backoff of the replica.
func (f *Fleet) RecordSuccess(id string) {
	f.update(id, func(m *member) (freesSlot bool) {
		freesSlot = m.failures > 0 || !m.retryAt.IsZero()
		m.failures, m.retryAt = 0, time.Time{}
		return freesSlot
	})
}

// RecordRefusal records that a replica refused a request and starts a backoff: of
// the model, or of the whole replica if model is empty. A longer pause goes on.
func (f *Fleet) RecordRefusal(id, model string) {
	f.update(id, func(m *member) (freesSlot bool) {
		until := time.Now().Add(refusalBackoff)
		if model == "" {
			m.retryAt = lo.Latest(m.retryAt, until)
		} else {
			m.refusedUntil[model] = lo.Latest(m.refusedUntil[model], until)
		}
		return false
	})
}

// PauseModel sends a replica no requests of a model for a duration, for example
// because the replica is about to load weights.
func (f *Fleet) PauseModel(id, model string, d time.Duration) {
	f.update(id, func(m *member) (freesSlot bool) {
		m.refusedUntil[model] = time.Now().Add(d)
		return false
	})
}

// RecordFailure records that a replica broke off an answer, could not be reached or
// timed out. It starts a backoff that grows with each further failure.
func (f *Fleet) RecordFailure(id string) {
	f.update(id, func(m *member) (freesSlot bool) {
		m.failures++
		m.retryAt = time.Now().Add(pause.Backoff(minFailureBackoff, maxFailureBackoff, m.failures))
		return false
	})
}

// ObserveLoad records a load report of a replica. Slots is used only if discovery gave
// none. Of this host's requests, the report is taken to count those that the replica had
// begun to answer and the one whose answer carries it; others may still be on their way.
// Call it before RecordAnswer.
func (f *Fleet) ObserveLoad(id string, report LoadReport) {
	f.update(id, func(m *member) (freesSlot bool) {
		now := time.Now()
		counted := m.inFlight - max(0, m.unanswered-1)
		before := m.observed.OtherInFlight(now)
		m.reported, m.hasReport = report.Running+report.Waiting, true
		m.observed.ObserveLoad(m.reported, counted, now)
		freesSlot = m.observed.OtherInFlight(now) < before
		if report.Slots > 0 && m.Slots == 0 {
			m.Slots = report.Slots
		}
		if report.WorkTime > 0 {
			m.workTime, m.workTimeAt = report.WorkTime, now
			wasSlow := m.observed.Slow(now)
			m.observed.ObserveWorkTime(report.WorkTime/usualWorkTime, now)
			if slow := m.observed.Slow(now); slow != wasSlow {
				f.log.Info("speed of a replica changed", "replica", id, "service", m.Service, "slow", slow, "work_time", report.WorkTime)
			}
		}
		return freesSlot
	})
}

// ObserveLatency records the time that a replica took for one unit of work: the
// time between two events of an engine, or an answer of a plain service.
func (f *Fleet) ObserveLatency(id string, took time.Duration) {
	f.update(id, func(m *member) (freesSlot bool) {
		m.observed.ObserveLatency(took, time.Now())
		return false
	})
}

// Slowdown returns how many times longer rollouts take at a replica than at the median
// one of its service; 1 if not known.
func (f *Fleet) Slowdown(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil {
		return 1
	}
	now := time.Now()
	members := f.membersOf(m.Service, now)
	return m.placementReplica("", true, medianLatencies(members, now), now).Slowdown
}

// HasVersion reports whether a replica of a service that takes requests may serve a weight
// version of a model, and whether one serves a newer version. Versions only grow, so if
// held is false and newer is true, only a replica that comes back may serve it again. A
// replica whose version is not known may serve any.
func (f *Fleet) HasVersion(service, model string, version uint64) (held, newer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.membersOf(service, time.Now()) {
		if m.draining() {
			continue
		}
		has := max(m.Models[model], m.observedVersions[model])
		held = held || has == version || has == 0
		newer = newer || has > version
	}
	return held, newer
}

// LastEventAt returns when a replica last sent an event of a stream to this host;
// zero if it never did.
func (f *Fleet) LastEventAt(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		return m.lastEventAt
	}
	return time.Time{}
}

// ObserveVersion records the time of an event of a replica and the weight version of
// a model in it. A newer version ends the backoff of the model.
func (f *Fleet) ObserveVersion(id, model string, version uint64) {
	f.update(id, func(m *member) (freesSlot bool) {
		m.lastEventAt = time.Now()
		if version <= max(m.observedVersions[model], m.Models[model]) {
			return false
		}
		// The replica has finished the weight load for which it refused requests.
		delete(m.refusedUntil, model)
		m.observedVersions[model] = version
		return true
	})
}
