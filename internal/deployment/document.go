package deployment

import "time"

// Document is a parsed and validated deployment document. It must not be modified after
// Parse. The maps have the names of the sections as keys.
type Document struct {
	// Version is the configuration version; zero if the document is not accepted yet.
	Version uint64
	// Text is the INI source.
	Text []byte

	Deployment  Deployment
	Tenants     map[string]Tenant
	Operators   map[string]Operator
	Services    map[string]Service
	EnginePools map[string]EnginePool
	Trainers    map[string]Trainer
	// Rules are in the order of the document. The first matching rule applies.
	Rules []Rule
}

// Deployment is the [deployment] section.
type Deployment struct {
	// Name is the name of the deployment. Required. A host never writes to the store of
	// a deployment with another name.
	Name string `ini:"name"`
	// EntryTTL is how long callers may use an entry answer. Default 5s, from 1s to 1h.
	EntryTTL time.Duration `ini:"entry_ttl"`
	// MaxBodyBytes is the maximum size of a request body, in bytes. Default 4 MiB.
	MaxBodyBytes int `ini:"max_body"`
	// RequestTimeout bounds a request whose caller sets no deadline. Default 30s.
	RequestTimeout time.Duration `ini:"request_timeout"`
	// QueueLimit is the maximum number of waiting requests of one class on one host.
	// Default 256.
	QueueLimit int `ini:"queue_limit"`
	// RetryBudget is the maximum share of requests that are retried, from 0 to 1.
	// Default 0.1.
	RetryBudget float64 `ini:"retry_budget"`
	// SubsetSize is the number of replicas of a pool that one host uses. The default 0
	// means all.
	SubsetSize int `ini:"subset_size"`
}

// Class is the priority class of a request.
type Class string

// Priority classes, highest priority first.
const (
	ClassInteractive Class = "interactive"
	ClassRollout     Class = "rollout"
)

// Tenant is a [tenant.NAME] section: a caller whose usage is counted.
type Tenant struct {
	Name string `ini:"-"`
	// TokenSHA256 is the hexadecimal SHA-256 hash of the tenant's bearer token. Required.
	TokenSHA256 string `ini:"token_sha256"`
	// RequestsPerSecond is the quota over all hosts. The default 0 means no limit.
	RequestsPerSecond float64 `ini:"requests_per_second"`
	// Burst is the number of requests above the quota that may come at once. Default 1.
	Burst int `ini:"burst"`
}

// OperatorRole is the set of permissions of an operator.
type OperatorRole string

// Operator roles.
const (
	// RoleViewer permits reading the configuration, its status and the metrics.
	RoleViewer OperatorRole = "viewer"
	// RoleEditor includes RoleViewer and permits changing the configuration.
	RoleEditor OperatorRole = "editor"
)

// Operator is an [operator.NAME] section.
type Operator struct {
	Name string `ini:"-"`
	// TokenSHA256 is the hexadecimal SHA-256 hash of the operator's bearer token. Required.
	TokenSHA256 string `ini:"token_sha256"`
	// Role is the operator's role. Required.
	Role OperatorRole `ini:"role"`
}

// Service is a [service.NAME] section: a pool of replicas of a plain service.
type Service struct {
	Name string `ini:"-"`
	// MaxConcurrent is the maximum number of requests in flight from one host to one
	// replica. Default 64.
	MaxConcurrent int `ini:"max_concurrent"`
	// Timeout bounds one attempt of a request. Default 10s.
	Timeout time.Duration `ini:"timeout"`
}

// EnginePool is an [engines.NAME] section: a pool of engines that run the same model.
type EnginePool struct {
	Name string `ini:"-"`
	// Model is the model name that requests use. Required.
	Model string `ini:"model"`
	// MaxConcurrent is the maximum number of requests in flight from one host to one
	// replica. Default 32.
	MaxConcurrent int `ini:"max_concurrent"`
	// Timeout bounds one attempt of a generation. Default 10m.
	Timeout time.Duration `ini:"timeout"`
	// ChecksFencing is true if the engines reject orders with an old fencing token.
	// Default false.
	ChecksFencing bool `ini:"checks_fencing"`
	// Version pins the weight version. The default 0 follows the newest published one.
	Version uint64 `ini:"version"`
	// MaxConcurrentLoads is the maximum number of replicas that load weights at the same
	// time. Default 1.
	MaxConcurrentLoads int `ini:"max_swapping"`
}

// SchedulingGoal is what the scheduler minimizes first for a trainer.
type SchedulingGoal string

// Scheduling goals.
const (
	// MinimizeStaleness prefers samples of recent weight versions, even if the trainer
	// has to wait longer for a step.
	MinimizeStaleness SchedulingGoal = "staleness"
	// MinimizeIdle prefers a short wait for a step, within the staleness bound.
	MinimizeIdle SchedulingGoal = "idle"
)

// Trainer is a [trainer.NAME] section.
type Trainer struct {
	Name string `ini:"-"`
	// TokenSHA256 is the hexadecimal SHA-256 hash of the trainer's bearer token. Required.
	TokenSHA256 string `ini:"token_sha256"`
	// EnginePool is the name of the engine pool that runs the rollouts. Required.
	EnginePool string `ini:"engines"`
	// Scorer is the name of the service that scores the rollouts. Required.
	Scorer string `ini:"scorer"`
	// StalenessBound is the maximum difference between the newest published weight
	// version and the oldest one in a sample. Required; from 0 to 1000.
	StalenessBound uint64 `ini:"staleness_bound"`
	// SchedulingGoal is what the scheduler minimizes first. Required.
	SchedulingGoal SchedulingGoal `ini:"weigh"`
	// SpareGroupRatio is the number of extra groups started for each step, divided by the
	// number of groups that it needs. Default 0, at most 1.
	SpareGroupRatio float64 `ini:"spare_groups"`
	// Share is the trainer's weight among the trainers on the same engines, between which
	// their capacity is divided. Default 1.
	Share int `ini:"share"`
	// MaxInFlight is the maximum number of the trainer's rollouts in flight over all
	// hosts. Default 256.
	MaxInFlight int `ini:"max_in_flight"`
}

// Rule is a [rule.NAME] section: a route from matching requests to a service.
type Rule struct {
	Name string `ini:"-"`
	// PathPrefix is the prefix of the paths that the rule matches. Required.
	PathPrefix string `ini:"path_prefix"`
	// Methods are the HTTP methods that the rule matches; empty, the default, for all.
	Methods []string `ini:"methods" delim:","`
	// Service is the name of the service that handles the requests. Required.
	Service string `ini:"service"`
	// Class is the priority class of the requests. Default ClassInteractive.
	Class Class `ini:"class"`
	// Idempotent is true if a request may be retried after it may have run. With false,
	// the default, a request runs at most once.
	Idempotent bool `ini:"idempotent"`
}

// Source provides the document in force on this host.
type Source interface {
	// Current returns the document in force, or nil if the host has none yet.
	Current() *Document
	// Changed returns a channel that is closed when a newer document than the last one
	// returned by Current is in force.
	Changed() <-chan struct{}
}
