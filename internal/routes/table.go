package routes

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// AtMostOnce requests run once at most.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events.
	Streaming
	// Rollouts are jobs: batches that are accepted at once and run later.
	Rollouts
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route is one rule of the table.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller is kept waiting; it does not apply to rollouts of a job.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer is worth most.
	LatencyObjective time.Duration
	// Priority is the rank of the route's requests, 0 first.
	Priority int
	// Shares are the services, at least one.
	Shares []Share
	// MaxAttempts bounds the upstreams that one request may be sent to.
	MaxAttempts int
	// Resumable streams may be continued by another upstream.
	Resumable bool
	// OnPolicy rollouts take all their tokens from one version of the weights.
	OnPolicy bool
	// RunDeadline is when all results of a job are due, from its acceptance on.
	RunDeadline time.Duration
	// GiveUpAfter is when an unfinished rollout may be given up, from its job's acceptance on.
	GiveUpAfter time.Duration
}

// ServiceFor returns the service that handles a request. The same key goes to
// the same service while the shares stay the same.
func (r *Route) ServiceFor(key string) string {
	total := 0
	for _, share := range r.Shares {
		total += max(0, share.Weight)
	}
	if total == 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	point := int(hash.Sum32() % uint32(total))
	for _, share := range r.Shares {
		if point -= max(0, share.Weight); point < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is what operators say about a service.
type Service struct {
	Name string
	// Slots is the number of requests that an engine runs at once; zero for plain services.
	Slots int
	// Models are the models that engines of the service hold.
	Models []string
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is not changed after New.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	byHost   map[string][]Route
}

// New returns a table of routes.
func New(version uint64, all []Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, Services: make(map[string]Service, len(services)), byHost: map[string][]Route{}}
	for _, service := range services {
		t.Services[service.Name] = service
	}
	for _, route := range all {
		t.byHost[route.Host] = append(t.byHost[route.Host], route)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// Match returns the route of a host with the longest prefix that begins the
// path, or nil.
func (t *Table) Match(host, path string) *Route {
	routes := t.byHost[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].PathPrefix) {
			return &routes[i]
		}
	}
	return nil
}

// OnPolicy reports whether any route demands rollouts from one version of the weights.
func (t *Table) OnPolicy() bool {
	for _, routes := range t.byHost {
		if slices.ContainsFunc(routes, func(r Route) bool { return r.OnPolicy }) {
			return true
		}
	}
	return false
}
