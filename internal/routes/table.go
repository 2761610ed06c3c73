package routes

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Kind says how the requests of a route are handled, in particular whether they
// may run more than once.
type Kind int

// Kinds of routes.
const (
	// AtMostOnce requests run at most once.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with an event stream. They run at most once,
	// unless another upstream may continue the stream; see Route.Resumable.
	Streaming
	// Rollouts requests are jobs: batches of rollouts that are accepted first and run
	// afterwards. A rollout may run on several engines, one after the other.
	Rollouts
)

// Share is a service with its share of a route's requests, which is Weight divided
// by the sum of all weights of the route. Negative weights count as zero. If all are
// zero, the first service gets all requests.
type Share struct {
	Service string
	Weight  int
}

// Route is one entry of the table.
type Route struct {
	Name string
	// HostName, an HTTP host, and PathPrefix select the requests; see Table.Match.
	HostName   string
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum duration of a request. For a stream it is the maximum wait
	// for the first event from an upstream. It does not apply to the rollouts of a job.
	Timeout time.Duration
	// LatencyObjective is the target latency. It determines how long a request waits
	// for a free slot, and after which delay an Idempotent one is sent to a second
	// upstream.
	LatencyObjective time.Duration
	// Priority orders requests; 0 is the highest.
	Priority int
	// Shares are the services that handle the requests.
	Shares []Share
	// MaxAttempts is the maximum number of upstreams to which one request is sent.
	MaxAttempts int
	// Resumable means that another upstream may continue a stream that broke off.
	Resumable bool
	// OnPolicy means that all tokens of a rollout come from one version of the weights.
	OnPolicy bool
	// RunDeadline is the time from the acceptance of a job to its deadline. Rollouts of
	// jobs with an earlier deadline are placed first.
	RunDeadline time.Duration
	// GiveUpAfter is the time from the acceptance of a job after which its unfinished
	// rollouts are given up; zero sets no limit.
	GiveUpAfter time.Duration
	// Public means that requests need no key, even if there are teams.
	Public bool
}

// ServiceFor returns the service that handles the request or job with the id key,
// or "" if the route has no Shares. The services get keys in proportion to their
// shares. A key always gets the same service unless the shares change.
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

// Service is an operator's description of a service.
type Service struct {
	Name string
	// Slots is the number of requests that each engine runs concurrently; zero for
	// plain services.
	Slots int
	// TokenCapacity is the number of tokens that fit into the memory of an engine; zero
	// if not known.
	TokenCapacity int
	// Models are the names of the models that the engines of the service serve.
	Models []string
	// Scaling says how many replicas may be ordered; nil if none are.
	Scaling *Scaling
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// Teams holds the teams and their keys; nil if the configuration has no teams.
	Teams *Teams
	// Problems describes the parts of the configuration that are invalid and were left out.
	Problems []string
	// byHost holds the routes by host name, those with the longest prefix first.
	byHost map[string][]Route
}

// New returns a table of routes.
func New(version uint64, all []Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, Services: make(map[string]Service, len(services)), byHost: map[string][]Route{}}
	for _, service := range services {
		t.Services[service.Name] = service
	}
	for _, route := range all {
		t.byHost[route.HostName] = append(t.byHost[route.HostName], route)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// Match returns the route for an HTTP host with the longest PathPrefix with which
// path starts, or nil if there is none. Host names must be equal. Prefixes are
// compared as text: "/a" also matches "/ab".
func (t *Table) Match(hostName, path string) *Route {
	routes := t.byHost[hostName]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].PathPrefix) {
			return &routes[i]
		}
	}
	return nil
}

// JobService returns the service whose engines run a job that is known only by its id and
// model, or "" if there is none. If several routes accept jobs of the model, the first one
// by name counts.
func (t *Table) JobService(id, model string) string {
	var found *Route
	for _, routes := range t.byHost {
		for i := range routes {
			route := &routes[i]
			if route.Kind == Rollouts && (found == nil || route.Name < found.Name) && t.serves(route.ServiceFor(id), model) {
				found = route
			}
		}
	}
	if found == nil {
		return ""
	}
	return found.ServiceFor(id)
}

// serves reports whether a service serves a model. A job without a model may run at any
// service.
func (t *Table) serves(service, model string) bool {
	s, known := t.Services[service]
	return known && (model == "" || slices.Contains(s.Models, model))
}

// OnPolicy reports whether any route is on-policy.
func (t *Table) OnPolicy() bool {
	for _, routes := range t.byHost {
		if slices.ContainsFunc(routes, func(r Route) bool { return r.OnPolicy }) {
			return true
		}
	}
	return false
}
