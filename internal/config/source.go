package config

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
)

// Source holds the version in force on this host. It implements deployment.Source.
type Source struct {
	log logr.Logger
	// appliedCount counts the versions put in force.
	appliedCount *metrics.Counter
	// lowerSeen counts the polls that found a lower version in the store, and
	// forkedSeen the versions seen with the number of the one in force but another document.
	lowerSeen  *metrics.Counter
	forkedSeen *metrics.Counter

	mu       sync.Mutex
	record   Record
	document *deployment.Document
	changed  chan struct{}
}

func newSource(log logr.Logger, set *metrics.Set) *Source {
	s := &Source{
		log:          log,
		appliedCount: set.GetOrCreateCounter("sapphirehatch_config_applied_total"),
		lowerSeen:    set.GetOrCreateCounter("sapphirehatch_config_lower_version_seen_total"),
		forkedSeen:   set.GetOrCreateCounter("sapphirehatch_config_forked_version_seen_total"),
		changed:      make(chan struct{}),
	}
	set.GetOrCreateGauge("sapphirehatch_config_version", func() float64 { return float64(s.Record().Version) })
	return s
}

// Current implements deployment.Source.
func (s *Source) Current() *deployment.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

// Changed implements deployment.Source.
func (s *Source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Record returns the version in force. Its Version is zero if there is none yet.
func (s *Source) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// origin is where a host got a version from. It is logged as "via".
type origin string

const (
	originStore  origin = "store"
	originPeer   origin = "peer"
	originCommit origin = "commit"
)

// apply puts a record in force if its version is higher than the current one. No
// other function sets the version, so it never decreases.
func (s *Source) apply(record Record, from origin) error {
	document, err := record.parse()
	if err != nil {
		s.log.Error(err, "configuration cannot be applied", "version", record.Version, "via", from)
		return err
	}
	record.AcceptedAt = record.AcceptedAt.UTC()
	s.mu.Lock()
	defer s.mu.Unlock()
	if record.Version <= s.record.Version {
		return nil
	}
	s.record = record
	s.document = document
	close(s.changed)
	s.changed = make(chan struct{})
	s.appliedCount.Inc()
	s.log.Info("configuration in force", "version", record.Version, "change", record.ChangeID, "operator", record.Operator, "via", from)
	return nil
}

// versionRelation is the relation of a version seen elsewhere to the one in force.
type versionRelation int

const (
	sameVersion versionRelation = iota
	newerVersion
	olderVersion
	// forkedVersion is a version with the same number but another document.
	forkedVersion
)

// compare returns the relation of a version seen elsewhere to the one in force.
func (s *Source) compare(version uint64, hash string) versionRelation {
	current := s.Record()
	switch {
	case version > current.Version:
		return newerVersion
	case version < current.Version:
		return olderVersion
	case version != 0 && hash != current.Hash:
		return forkedVersion
	default:
		return sameVersion
	}
}
