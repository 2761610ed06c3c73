package routing

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

// Candidate is one replica as filters, scorers and the picker see it. It is
// valid during one pick only.
type Candidate struct {
	membership.Upstream
	// Interactive and Rollout are the numbers of requests in flight from this host, by class.
	Interactive, Rollout int
	// Limit bounds the requests that this host may have in flight on the replica. On
	// an engine, rollouts do not count against interactive requests, so the sum of
	// both may be higher.
	Limit int
	// Load is the estimated number of requests on the replica from all hosts,
	// divided by its slots.
	Load float64
	// CachedBlocks is the estimated number of leading prefix blocks of the
	// request that are in the replica's cache.
	CachedBlocks int
	// RetryAt is when the failure backoff ends; zero before the first failure and
	// after a success.
	RetryAt time.Time
}

// InFlight returns the number of requests in flight from this host, of both classes.
func (c *Candidate) InFlight() int { return c.Interactive + c.Rollout }

// Filter drops candidates that must not take a request.
type Filter interface {
	// Name returns the filter's name in logs and metrics.
	Name() string
	// Filter returns the candidates that remain, in the same order; it may reuse the slice.
	Filter(req *Request, in []*Candidate) []*Candidate
}

// Scorer rates how well a candidate suits a request.
type Scorer interface {
	// Name returns the scorer's name in logs and metrics.
	Name() string
	// Score sets out[i] to a score from 0 to 1 for in[i]. out has the length of in.
	Score(req *Request, in []*Candidate, out []float64)
}

// Picker chooses one of the scored candidates.
type Picker interface {
	// Name returns the picker's name in logs and metrics.
	Name() string
	// Pick returns the chosen candidate. in is not empty, and scores has the length of in.
	Pick(in []*Candidate, scores []float64) *Candidate
}
