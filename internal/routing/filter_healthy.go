package routing

import (
	"slices"
	"time"
)

// healthyFilter drops the replicas whose failure backoff has not ended, unless no others are left.
type healthyFilter struct{}

func (healthyFilter) Name() string { return "healthy" }

func (healthyFilter) Filter(_ *Request, in []*Candidate) []*Candidate {
	now := time.Now()
	healthy := func(c *Candidate) bool { return !now.Before(c.RetryAt) }
	if !slices.ContainsFunc(in, healthy) {
		return in
	}
	return keep(in, healthy)
}
