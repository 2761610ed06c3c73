package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

const (
	// maxTrackedRequests bounds the fingerprints that one host keeps records of.
	maxTrackedRequests = 4096
	// crashesToQuarantine is the number of crashed processes at which a request is
	// refused, if at least one of them crashed during a trial.
	crashesToQuarantine = 2
)

// State says whether a request may be dispatched.
type State int

// States of a request.
const (
	// Clean requests have no record, an expired one, or one without a crash that they
	// may have caused.
	Clean State = iota
	// Suspect requests may have crashed an upstream. They run only as a trial: on an
	// upstream on which no other suspect runs.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// Registry keeps the records of all requests that were in flight on crashed
// upstreams, from the reports of all hosts.
type Registry struct {
	exchange  peer.Exchange
	log       logr.Logger
	recordTTL time.Duration

	mu       sync.Mutex
	requests map[Fingerprint]*requestRecord
	// localReports holds the reports that this host publishes.
	localReports map[Fingerprint]*report
	// attributed maps a crashed process to the quarantined request that crashed it.
	attributed map[string]Fingerprint
	// trials maps an upstream's id to the trial that this host has granted on it.
	trials map[string]trial
}

// New returns a Registry whose records expire when ttl has passed since the last
// report that added a crash to them or ruled one out. Its reports are published for ttl too.
func New(exchange peer.Exchange, log logr.Logger, ttl time.Duration) *Registry {
	r := &Registry{
		exchange:     exchange,
		log:          log,
		recordTTL:    ttl,
		requests:     make(map[Fingerprint]*requestRecord),
		localReports: make(map[Fingerprint]*report),
		attributed:   make(map[string]Fingerprint),
		trials:       make(map[string]trial),
	}
	exchange.Handle(methodReport, r.handleReport)
	exchange.Handle(methodTrial, r.handleTrial)
	return r
}

// State returns the state of a request, and the ids of the upstreams that it
// may have crashed.
func (r *Registry) State(f Fingerprint) (State, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.requests[f]
	if !ok || time.Now().After(rec.expiresAt) {
		return Clean, nil
	}
	crashes := r.attributableCrashes(f, rec)
	upstreams := lo.Map(crashes, func(c Crash, _ int) string { return c.Upstream })
	switch {
	case len(crashes) == 0:
		return Clean, nil
	case mustQuarantine(crashes):
		return Quarantined, upstreams
	}
	return Suspect, upstreams
}

// attributableCrashes returns the crashes that a request may have caused: those
// that are neither ruled out nor attributed to another request. The caller holds mu.
func (r *Registry) attributableCrashes(f Fingerprint, rec *requestRecord) []Crash {
	return slices.DeleteFunc(rec.possibleCrashes(), func(c Crash) bool {
		attributedTo, ok := r.attributed[c.Process]
		return ok && attributedTo != f
	})
}

// mustQuarantine reports whether these crashes suffice to refuse a request.
func mustQuarantine(crashes []Crash) bool {
	return len(crashes) >= crashesToQuarantine && slices.ContainsFunc(crashes, func(c Crash) bool { return c.Trial })
}

// Quarantined returns the number of requests in quarantine.
func (r *Registry) Quarantined() int {
	r.mu.Lock()
	all := lo.Keys(r.requests)
	r.mu.Unlock()
	return lo.CountBy(all, func(f Fingerprint) bool {
		state, _ := r.State(f)
		return state == Quarantined
	})
}

// crashOf describes the crash of an upstream under a request.
func crashOf(u membership.Upstream, trial bool) Crash {
	return Crash{Process: u.ID + "@" + u.Incarnation, Upstream: u.ID, Trial: trial}
}

// recordLocal adds to this host's report on a request and publishes it. It
// returns the encoded report.
func (r *Registry) recordLocal(f Fingerprint, update report) ([]byte, error) {
	r.mu.Lock()
	own, ok := r.localReports[f]
	if !ok {
		own = &report{}
		r.localReports[f] = own
	}
	own.add(update)
	r.mergeReport(f, update)
	value, err := own.encode()
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	r.exchange.Publish(peer.TopicCrash, f.key(), value, r.recordTTL)
	return value, nil
}

// mergeReport adds a report to the records. If the request must now be quarantined,
// it attributes the crashes to it. A report on a new request is dropped if
// maxTrackedRequests unexpired records exist. The caller holds mu.
func (r *Registry) mergeReport(f Fingerprint, update report) {
	rec, ok := r.requests[f]
	if !ok {
		if len(r.requests) >= maxTrackedRequests {
			r.dropExpired()
		}
		if len(r.requests) >= maxTrackedRequests {
			r.log.Info("crash report dropped: too many requests are tracked", "limit", maxTrackedRequests)
			return
		}
		rec = newRequestRecord()
		r.requests[f] = rec
	}
	if !rec.add(update) {
		return
	}
	rec.expiresAt = time.Now().Add(r.recordTTL)
	if crashes := r.attributableCrashes(f, rec); mustQuarantine(crashes) {
		for _, c := range crashes {
			r.attributed[c.Process] = f
		}
	}
}

// dropExpired drops expired records. The caller holds mu.
func (r *Registry) dropExpired() {
	now := time.Now()
	for f, rec := range r.requests {
		if now.After(rec.expiresAt) {
			delete(r.requests, f)
			delete(r.localReports, f)
		}
	}
	for process, f := range r.attributed {
		if _, ok := r.requests[f]; !ok {
			delete(r.attributed, process)
		}
	}
}

// Merge drops expired records and merges the reports that this host and the others
// have published and that have not expired.
func (r *Registry) Merge() {
	entries := r.exchange.Entries(peer.TopicCrash)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired()
	for _, e := range entries {
		f, ok := parseKey(e.Key)
		var update report
		if !ok || msgpack.Unmarshal(e.Value, &update) != nil {
			continue
		}
		r.mergeReport(f, update)
	}
}
