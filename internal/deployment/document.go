package deployment

import "time"

// Document is a parsed and validated deployment document. It must not be changed after Parse.
type Document struct {
	// Version is the configuration version; zero for a document that was not accepted yet.
	Version uint64
	// Text is the INI source.
	Text []byte

	Deployment  Deployment
	Tenants     map[string]Tenant
	Operators   map[string]Operator
	Services    map[string]Service
	EnginePools map[string]EnginePool
	Trainers    map[string]Trainer
	// Rules are in the order of the document; the first match applies.
	Rules []Rule
}

// Deployment is the [deployment] section.
type Deployment struct {
	Name string `ini:"name"`
	// EntryTTL is how long callers may keep an entry answer.
	EntryTTL time.Duration `ini:"entry_ttl"`
	// MaxBody bounds a request body, in bytes.
	MaxBody int `ini:"max_body"`
	// RequestTimeout bounds a request whose caller names no deadline.
	RequestTimeout time.Duration `ini:"request_timeout"`
	// QueueLimit bounds the waiting requests of one class on one host.
	QueueLimit int `ini:"queue_limit"`
	// RetryBudget is the share of requests, 0 to 1, that may be retried.
	RetryBudget float64 `ini:"retry_budget"`
	// SubsetSize is the number of replicas of a pool that one host uses; zero means all.
	SubsetSize int `ini:"subset_size"`
}

// Class is the urgency class of a request.
type Class string

// Classes, the most urgent first.
const (
	ClassInteractive Class = "interactive"
	ClassRollout     Class = "rollout"
)

// Tenant is a [tenant.NAME] section: a caller that is accounted for.
type Tenant struct {
	Name string `ini:"-"`
	// TokenSHA256 is the hexadecimal SHA-256 of the tenant's bearer token.
	TokenSHA256 string `ini:"token_sha256"`
	// RequestsPerSecond is the quota over all hosts; zero means no limit.
	RequestsPerSecond float64 `ini:"requests_per_second"`
	// Burst is the number of requests above the rate that may come at once.
	Burst int `ini:"burst"`
}

// OperatorRole says what an operator may do.
type OperatorRole string

// Operator roles.
const (
	Viewer OperatorRole = "viewer"
	Editor OperatorRole = "editor"
)

// Operator is an [operator.NAME] section.
type Operator struct {
	Name        string       `ini:"-"`
	TokenSHA256 string       `ini:"token_sha256"`
	Role        OperatorRole `ini:"role"`
}

// Service is a [service.NAME] section: a pool of plain service replicas.
type Service struct {
	Name string `ini:"-"`
	// MaxConcurrent bounds the requests in flight to one replica from one host.
	MaxConcurrent int `ini:"max_concurrent"`
	// Timeout bounds one attempt.
	Timeout time.Duration `ini:"timeout"`
}

// EnginePool is an [engines.NAME] section: a pool of model engine replicas.
type EnginePool struct {
	Name string `ini:"-"`
	// Model is the name that requests use.
	Model string `ini:"model"`
	// MaxConcurrent bounds the requests in flight to one replica from one host.
	MaxConcurrent int `ini:"max_concurrent"`
	// Timeout bounds one generation.
	Timeout time.Duration `ini:"timeout"`
	// ChecksFencing says whether the engines refuse orders with an old fencing number.
	ChecksFencing bool `ini:"checks_fencing"`
	// Version pins a weight version; zero follows the newest published one.
	Version uint64 `ini:"version"`
	// MaxConcurrentLoads bounds the replicas that load weights at once.
	MaxConcurrentLoads int `ini:"max_swapping"`
}

// SchedulingGoal says what a trainer's rule gives up last.
type SchedulingGoal string

// Weighings of staleness against idle time.
const (
	MinimizeStaleness SchedulingGoal = "staleness"
	MinimizeIdle      SchedulingGoal = "idle"
)

// Trainer is a [trainer.NAME] section.
type Trainer struct {
	Name        string `ini:"-"`
	TokenSHA256 string `ini:"token_sha256"`
	// EnginePool names the engine pool that runs the rollouts.
	EnginePool string `ini:"engines"`
	// Scorer names the service that scores the rollouts.
	Scorer string `ini:"scorer"`
	// StalenessBound is the largest allowed difference between the newest
	// published weight version and the oldest version in a sample.
	StalenessBound uint64         `ini:"staleness_bound"`
	SchedulingGoal SchedulingGoal `ini:"weigh"`
	// SpareGroupRatio is the number of extra groups started a step, as a share of its groups, 0 to 1.
	SpareGroupRatio float64 `ini:"spare_groups"`
	// Share is the trainer's weight against other trainers on the same engines.
	Share int `ini:"share"`
	// MaxInFlight bounds the trainer's rollouts in flight over all hosts.
	MaxInFlight int `ini:"max_in_flight"`
}

// Rule is a [rule.NAME] section: it sends matching requests to a service.
type Rule struct {
	Name string `ini:"-"`
	// PathPrefix is matched against the request's path.
	PathPrefix string `ini:"path_prefix"`
	// Methods restricts the rule; empty matches every method.
	Methods []string `ini:"methods" delim:","`
	Service string   `ini:"service"`
	Class   Class    `ini:"class"`
	// Idempotent says whether a request may be repeated; false makes it run at most once.
	Idempotent bool `ini:"idempotent"`
}

// Source gives the document in force on this host.
type Source interface {
	// Current returns the document in force, or nil before the first is known.
	Current() *Document
	// Changed returns a channel that is closed when a later document than the one last returned by Current is in force.
	Changed() <-chan struct{}
}
