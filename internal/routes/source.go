package routes

import (
	"sync/atomic"

	"github.com/go-logr/logr"
)

// Source holds the table in force. Its version only increases.
type Source struct {
	log     logr.Logger
	current atomic.Pointer[Table]
}

// NewSource returns a source without a table.
func NewSource(log logr.Logger) *Source { return &Source{log: log} }

// Current returns the table in force, or nil before the first is known.
func (s *Source) Current() *Table { return s.current.Load() }

// Apply puts a table in force unless its version is lower than or equal to the
// current one.
func (s *Source) Apply(t *Table) {
	for {
		old := s.current.Load()
		if old != nil && old.Version >= t.Version {
			return
		}
		if s.current.CompareAndSwap(old, t) {
			s.log.Info("configuration in force", "version", t.Version, "hosts", len(t.byHost), "services", len(t.Services))
			return
		}
	}
}
