package fleet

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/placement"
)

const (
	// missingGrace is how long a replica that vanished from discovery without
	// having announced its leave may be used where no other is left. Entries
	// that lapsed while the store was away come back within two seconds, and a
	// replica that left may be asked until two seconds after its entry went.
	missingGrace = 1200 * time.Millisecond
	// refusalPause is how long a replica that refused is left alone.
	refusalPause = 150 * time.Millisecond
	// failurePause is how long a replica is left alone after a failure; it
	// doubles with each further one up to longestPause.
	failurePause = 300 * time.Millisecond
	longestPause = 4 * time.Second
	// loadTerm is the age at which a reported load counts about a third.
	loadTerm = 700 * time.Millisecond
	// paceWeight is the weight of a new measurement in a replica's pace; an engine
	// brings some hundred a second.
	paceWeight = 0.1
	// paceTerm is how long a pace is believed.
	paceTerm = 8 * time.Second
)

// Replica is a replica as discovery shows it.
type Replica struct {
	ID      string
	Service string
	// Address is ip:port.
	Address string
	Domain  string
	// Incarnation tells two starts under one ID apart.
	Incarnation int64
	Slots       int
	Draining    bool
	// Models are the versions of the weights by model.
	Models map[string]uint64
	// Basis is what Reserve chose the replica by.
	Basis Basis
}

// Upstream returns the replica as a target of exchanges.
func (r Replica) Upstream() membership.Upstream {
	return membership.Upstream{ID: r.ID, Address: r.Address, Pool: r.Service, FailureDomain: r.Domain}
}

// Basis is what a host knew of a replica when it chose it.
type Basis struct {
	// InFlight is the number of this host's requests there.
	InFlight int
	// Others is the estimated number of other hosts' requests, from a report of this age; zero without one.
	Others    float64
	ReportAge time.Duration
	// Pace is the time that the replica takes, relative to its peers; 1 is usual.
	Pace float64
}

// Fields returns the basis as keys and values of a log line.
func (b Basis) Fields() []any {
	return []any{"in_flight", b.InFlight, "others", math.Round(b.Others*10) / 10, "report_age", b.ReportAge.Round(time.Millisecond), "pace", math.Round(b.Pace*100) / 100}
}

type member struct {
	Replica
	missingSince time.Time
	inFlight     int
	failures     int
	retryAt      time.Time
	// refusedUntil is when a model may be asked for again.
	refusedUntil map[string]time.Time
	// seen are versions that answers showed since the last entry of discovery.
	seen map[string]uint64

	// others is what the last load report showed beyond this host's requests.
	others   float64
	othersAt time.Time

	pace   float64
	paceAt time.Time
	// heardAt is when the replica last brought an event.
	heardAt time.Time
}

// Fleet is the set of replicas. It may be used by many goroutines.
type Fleet struct {
	log logr.Logger

	// connected tells whether a connection to an address waits for use; may be nil.
	connected func(address string) bool

	mu      sync.Mutex
	members map[string]*member
	changed chan struct{}
}

// SetIdleConnectionCheck sets how the fleet learns of waiting connections. Call it before use.
func (f *Fleet) SetIdleConnectionCheck(connected func(address string) bool) { f.connected = connected }

// New returns an empty fleet.
func New(log logr.Logger) *Fleet {
	return &Fleet{log: log, members: map[string]*member{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed when a place becomes free or a replica changes.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// signal wakes those that wait for a change. The caller holds mu.
func (f *Fleet) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Put takes a replica's entry of discovery.
func (f *Fleet) Put(r Replica) {
	if r.Models == nil {
		r.Models = map[string]uint64{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.members[r.ID]
	if old == nil || old.Incarnation != r.Incarnation || old.Address != r.Address {
		f.members[r.ID] = &member{Replica: r, refusedUntil: map[string]time.Time{}, seen: map[string]uint64{}}
		f.log.Info("replica seen", "replica", r.ID, "service", r.Service, "address", r.Address, "draining", r.Draining)
		f.signal()
		return
	}
	if old.Draining != r.Draining {
		f.log.Info("replica changed", "replica", r.ID, "draining", r.Draining)
	}
	for model, version := range old.Models {
		if r.Models[model] < version {
			// The entry is older than what was known already.
			r.Models[model] = version
		}
	}
	for model, version := range r.Models {
		if version > max(old.Models[model], old.seen[model]) {
			delete(old.refusedUntil, model)
		}
	}
	same := old.Draining == r.Draining && old.Slots == r.Slots && old.missingSince.IsZero() && maps.Equal(old.Models, r.Models)
	old.Replica = r
	old.missingSince = time.Time{}
	if !same {
		f.signal()
	}
}

// Remove takes in that a replica vanished from discovery.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil || !m.missingSince.IsZero() {
		return
	}
	f.log.Info("replica gone", "replica", id, "draining", m.Draining)
	m.missingSince = time.Now()
}

// gone reports whether a member may not be used any more.
func (m *member) gone(now time.Time) bool {
	return !m.missingSince.IsZero() && (m.Draining || now.Sub(m.missingSince) > missingGrace)
}

// Sweep forgets replicas that are gone.
func (f *Fleet) Sweep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for id, m := range f.members {
		if m.gone(now) && m.inFlight == 0 {
			delete(f.members, id)
		}
	}
}

// Get returns a replica that may be used.
func (f *Fleet) Get(id string) (Replica, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil || m.gone(time.Now()) {
		return Replica{}, false
	}
	return m.copy(), true
}

// List returns the replicas of a service, or of all services if it is empty, in the order of their ids.
func (f *Fleet) List(service string) []Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var all []Replica
	for _, m := range f.members {
		if (service == "" || m.Service == service) && !m.gone(now) {
			all = append(all, m.copy())
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

func (m *member) copy() Replica {
	r := m.Replica
	r.Models = make(map[string]uint64, len(m.Models))
	for model, version := range m.Models {
		r.Models[model] = max(version, m.seen[model])
	}
	return r
}

// Want is what a request needs of a replica.
type Want struct {
	Service string
	// Model is the model that generates; empty for plain services.
	Model string
	placement.Request
}

// Reserve chooses a replica and counts a request there. The error is of kind
// NoUpstream if the service has no replica that may be used, and QueueFull if
// none has a place now.
func (f *Fleet) Reserve(want Want) (Replica, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	members, replicas := f.candidates(want, now)
	if len(members) == 0 {
		return Replica{}, failure.New(failure.NoUpstream, failure.NotRun, "service %s has no replica", want.Service)
	}
	chosen := placement.Choose(want.Request, replicas, now)
	if chosen < 0 {
		return Replica{}, failure.New(failure.QueueFull, failure.NotRun, "no replica of service %s has a place", want.Service)
	}
	m := members[chosen]
	r := m.copy()
	r.Basis = Basis{InFlight: m.inFlight, Others: replicas[chosen].Others, Pace: replicas[chosen].Pace}
	if !m.othersAt.IsZero() {
		r.Basis.ReportAge = now.Sub(m.othersAt)
	}
	m.inFlight++
	return r, nil
}

// Peek chooses a replica as Reserve does without counting a request there. It
// returns also how much longer than its peers it takes; 1 is usual.
func (f *Fleet) Peek(want Want) (id string, pace float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	_, replicas := f.candidates(want, now)
	chosen := placement.Choose(want.Request, replicas, now)
	if chosen < 0 {
		return "", 0, false
	}
	return replicas[chosen].ID, replicas[chosen].Pace, true
}

// candidates returns the replicas of a service in random order, so that hosts with the same knowledge spread.
func (f *Fleet) candidates(want Want, now time.Time) ([]*member, []placement.Replica) {
	members := f.service(want.Service, now)
	ring := ringOf(members, want.Model)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	usual := usualPace(members, now)
	replicas := make([]placement.Replica, len(members))
	for i, m := range members {
		replicas[i] = m.view(want.Model, usual, now)
		replicas[i].Distance = ring[m.ID]
		replicas[i].Connected = f.connected != nil && f.connected(m.Address)
	}
	return members, replicas
}

// service returns the replicas of a service that may be used.
func (f *Fleet) service(name string, now time.Time) []*member {
	var members []*member
	for _, m := range f.members {
		if m.Service == name && !m.gone(now) {
			members = append(members, m)
		}
	}
	return members
}

// ringOf returns the distances of a service's replicas on the ring for a model.
// All hosts that know the same replicas compute the same.
func ringOf(members []*member, model string) map[string]float64 {
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

// usualPace is the median of the known paces; zero if none is known.
func usualPace(members []*member, now time.Time) float64 {
	var paces []float64
	for _, m := range members {
		if m.pace > 0 && now.Sub(m.paceAt) < paceTerm {
			paces = append(paces, m.pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

func (m *member) view(model string, usual float64, now time.Time) placement.Replica {
	v := placement.Replica{
		ID: m.ID, Domain: m.Domain, Slots: m.Slots, InFlight: m.inFlight, Others: m.othersNow(now),
		Draining: m.Draining, Missing: !m.missingSince.IsZero(), RetryAt: m.retryAt, Pace: 1,
		Version: max(m.Models[model], m.seen[model]),
	}
	if until := m.refusedUntil[model]; until.After(v.RetryAt) {
		v.RetryAt = until
	}
	if usual > 0 && m.pace > 0 && now.Sub(m.paceAt) < paceTerm {
		v.Pace = m.pace / usual
	}
	return v
}

func (m *member) othersNow(now time.Time) float64 {
	if m.othersAt.IsZero() {
		return 0
	}
	return m.others * math.Exp(-float64(now.Sub(m.othersAt))/float64(loadTerm))
}

// Release takes a reserved request off a replica.
func (f *Fleet) Release(id string) {
	f.with(id, func(m *member) (frees bool) {
		m.inFlight = max(0, m.inFlight-1)
		return true
	})
}

// with changes a member, if it is still known, and wakes those that wait for a
// place if the change may free one.
func (f *Fleet) with(id string, change func(m *member) (frees bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil && change(m) {
		f.signal()
	}
}

// Succeeded records a whole answer.
func (f *Fleet) Succeeded(id string) {
	f.with(id, func(m *member) (frees bool) {
		frees = m.failures > 0 || !m.retryAt.IsZero()
		m.failures, m.retryAt = 0, time.Time{}
		return frees
	})
}

// Refused records that a replica did not run a request; model is empty for plain services.
func (f *Fleet) Refused(id, model string) {
	f.with(id, func(m *member) (frees bool) {
		until := time.Now().Add(refusalPause)
		if model == "" {
			m.retryAt = until
		} else {
			m.refusedUntil[model] = until
		}
		return false
	})
}

// PauseModel keeps a model's new requests from a replica for a while, as when it is about to load weights.
func (f *Fleet) PauseModel(id, model string, d time.Duration) {
	f.with(id, func(m *member) (frees bool) {
		m.refusedUntil[model] = time.Now().Add(d)
		return false
	})
}

// Failed records that a replica broke off, could not be reached or was silent.
func (f *Fleet) Failed(id string) {
	f.with(id, func(m *member) (frees bool) {
		m.failures++
		m.retryAt = time.Now().Add(pause.Doubled(failurePause, longestPause, m.failures))
		return false
	})
}

// ObserveLoad records a load report: requests that ran and waited, and the slots.
func (f *Fleet) ObserveLoad(id string, running, waiting, slots int) {
	f.with(id, func(m *member) (frees bool) {
		now := time.Now()
		others := max(0, float64(running+waiting-m.inFlight))
		frees = others < m.othersNow(now)
		m.others, m.othersAt = others, now
		if slots > 0 && m.Slots == 0 {
			m.Slots = slots
		}
		return frees
	})
}

// Paced records the time that a replica took for a comparable piece of work.
func (f *Fleet) Paced(id string, took time.Duration) {
	f.with(id, func(m *member) (frees bool) {
		now := time.Now()
		if m.pace <= 0 || now.Sub(m.paceAt) > paceTerm {
			m.pace = took.Seconds()
		} else {
			m.pace += paceWeight * (took.Seconds() - m.pace)
		}
		m.paceAt = now
		return false
	})
}

// Pace returns how much longer than its peers a replica takes; 1 is usual.
func (f *Fleet) Pace(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil {
		return 1
	}
	now := time.Now()
	members := f.service(m.Service, now)
	return m.view("", usualPace(members, now), now).Pace
}

// Heard returns when a replica last brought an event; zero if it never did.
func (f *Fleet) Heard(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		return m.heardAt
	}
	return time.Time{}
}

// ObserveVersion records the version of a model that an answer showed.
func (f *Fleet) ObserveVersion(id, model string, version uint64) {
	f.with(id, func(m *member) (frees bool) {
		m.heardAt = time.Now()
		if version <= max(m.seen[model], m.Models[model]) {
			return false
		}
		// The load that the replica refused requests for has ended.
		delete(m.refusedUntil, model)
		m.seen[model] = version
		return true
	})
}
