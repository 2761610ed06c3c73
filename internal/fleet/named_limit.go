package fleet

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/ratelimit"
)

const (
	// limitTTL is how long a replica's named limit holds after the last answer that named
	// it, if another answer doesn't: answers overtake each other.
	limitTTL = 500 * time.Millisecond
	// shareMaxAge is the age at which this host's share of a limit is computed again.
	shareMaxAge = 100 * time.Millisecond
	// demandWindow is the time over which the demand for a service is measured.
	demandWindow = 2 * time.Second
	// idleDemandAfter is how long a service without requests counts as used by this host.
	idleDemandAfter = 5 * time.Second
)

// ShareSource returns this host's share of the rates of a service's replicas.
type ShareSource func(service, replica string) ratelimit.Share

// namedLimit is the limit that a replica has named in its last answers.
type namedLimit struct {
	*ratelimit.Limiter
	namedAt time.Time
	// sharedAt is when the share was computed last.
	sharedAt time.Time
}

// demandMeter measures this host's demand for a service.
type demandMeter struct {
	start             time.Time
	current, previous int
	lastAt            time.Time
	// waiting is the number of rollouts that wait for a replica.
	waiting int
}

func (d *demandMeter) add(now time.Time) {
	d.rotate(now)
	d.current++
	d.lastAt = now
}

func (d *demandMeter) rotate(now time.Time) {
	switch age := now.Sub(d.start); {
	case age >= 2*demandWindow:
		d.start, d.previous, d.current = now, 0, 0
	case age >= demandWindow:
		d.start, d.previous, d.current = d.start.Add(demandWindow), d.current, 0
	}
}

// perSecond returns the demand in requests per second; those that wait are wanted within
// a second.
func (d *demandMeter) perSecond(now time.Time) float64 {
	d.rotate(now)
	rest := 1 - now.Sub(d.start).Seconds()/demandWindow.Seconds()
	return (float64(d.current)+rest*float64(d.previous))/demandWindow.Seconds() + float64(d.waiting)
}

// SetShareSource sets the source of this host's shares of named limits. Without one, this
// host takes the whole limit. Call it before other methods.
func (f *Fleet) SetShareSource(source ShareSource) { f.shares = source }

// Demand returns this host's demand for each service of which a replica names a limit, in
// requests per second.
func (f *Fleet) Demand() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var demand map[string]float64
	for _, m := range f.members {
		d := f.demand[m.Service]
		if m.limit == nil || d == nil || now.Sub(d.lastAt) > idleDemandAfter {
			continue
		}
		if demand == nil {
			demand = map[string]float64{}
		}
		demand[m.Service] = math.Round(d.perSecond(now)*10) / 10
	}
	return demand
}

// meter returns the demand meter of a service. The caller holds mu.
func (f *Fleet) meter(service string) *demandMeter {
	d := f.demand[service]
	if d == nil {
		d = &demandMeter{start: time.Now()}
		f.demand[service] = d
	}
	return d
}

// RecordUnmet counts a request that no replica of a service could take.
func (f *Fleet) RecordUnmet(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.meter(service).add(time.Now())
}

// RecordWaiting sets the number of rollouts that wait for a replica, by service.
func (f *Fleet) RecordWaiting(waiting map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, n := range waiting {
		if n > 0 {
			f.meter(service).lastAt = time.Now()
		}
	}
	for service, d := range f.demand {
		d.waiting = waiting[service]
	}
}

// ObserveLimit records the requests a second that a replica takes from all hosts
// together. named is false if an answer names no limit.
func (f *Fleet) ObserveLimit(id string, limit float64, named bool) {
	f.update(id, func(m *member) (freesSlot bool) {
		now := time.Now()
		switch {
		case !named && (m.limit == nil || now.Sub(m.limit.namedAt) < limitTTL):
			return false
		case !named:
			f.log.Info("replica names no limit any more", "replica", id, "service", m.Service, "limit", m.limit.Limit())
			m.limit = nil
			return true
		case m.limit == nil:
			share := f.shareOf(m)
			m.limit = &namedLimit{Limiter: ratelimit.New(limit, share, rand.Float64(), now), sharedAt: now}
			f.log.Info("replica names a limit", "replica", id, "service", m.Service, "limit", limit, "share", share.Fraction, "rank", share.Rank)
		case m.limit.Limit() != limit:
			m.limit.Update(limit, f.shareOf(m), now)
			m.limit.sharedAt = now
		}
		m.limit.namedAt = now
		return false
	})
}

// shareOf returns this host's share of a replica's limit. The caller holds mu.
func (f *Fleet) shareOf(m *member) ratelimit.Share {
	if f.shares == nil {
		return ratelimit.Share{Fraction: 1}
	}
	return f.shares(m.Service, m.ID)
}

// limitedFor returns how long a replica's limit allows no request of this host. The
// caller holds mu.
func (f *Fleet) limitedFor(m *member, now time.Time) time.Duration {
	if m.limit == nil {
		return 0
	}
	if now.Sub(m.limit.sharedAt) > shareMaxAge {
		m.limit.Update(m.limit.Limit(), f.shareOf(m), now)
		m.limit.sharedAt = now
	}
	return m.limit.ReadyIn(now)
}

// limitWait returns how long the named limits of a service's replicas allow no request
// of this host; zero if one has no limit or allows one now. The caller holds mu.
func (f *Fleet) limitWait(members []*member, now time.Time) time.Duration {
	var shortest time.Duration
	for _, m := range members {
		if m.draining() {
			continue
		}
		wait := f.limitedFor(m, now)
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
