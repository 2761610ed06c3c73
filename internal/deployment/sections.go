package deployment

import (
	"net/http"
	"strings"
	"time"
)

// Limits and defaults of the document's keys. Sizes are in bytes.
const (
	defaultEntryTTL = 5 * time.Second
	minEntryTTL     = time.Second
	maxEntryTTL     = time.Hour

	defaultMaxBodyBytes = 4 * mebibyte
	minMaxBodyBytes     = kibibyte
	maxMaxBodyBytes     = 64 * mebibyte

	defaultRequestTimeout    = 30 * time.Second
	defaultServiceTimeout    = 10 * time.Second
	defaultEnginePoolTimeout = 10 * time.Minute
	minTimeout               = 10 * time.Millisecond
	maxTimeout               = 2 * time.Hour

	defaultQueueLimit  = 256
	maxQueueLimit      = 100_000
	defaultRetryBudget = 0.1
	maxSubsetSize      = 10_000

	maxRequestsPerSecond = 1_000_000
	maxBurst             = 1_000_000

	defaultServiceMaxConcurrent    = 64
	defaultEnginePoolMaxConcurrent = 32
	maxMaxConcurrent               = 10_000

	maxWeightVersion          = 1 << 62
	defaultMaxConcurrentLoads = 1
	maxMaxConcurrentLoads     = 10_000

	maxStalenessBound  = 1_000
	defaultShare       = 1
	maxShare           = 1_000
	defaultMaxInFlight = 256
	maxMaxInFlight     = 100_000
)

// textRule describes the values of most text keys.
const textRule = "a text of one line, not empty and without spaces at its ends"

// reservedPathPrefix is the prefix of the paths that the caller API serves itself. No
// rule may match them.
const reservedPathPrefix = "/v1/"

// ruleMethods are the methods that a rule can match.
var ruleMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func readDeployment(s *section) Deployment {
	return Deployment{
		Name:           s.text("name", textRule),
		EntryTTL:       s.duration("entry_ttl", defaultEntryTTL, minEntryTTL, maxEntryTTL),
		MaxBodyBytes:   s.size("max_body", defaultMaxBodyBytes, minMaxBodyBytes, maxMaxBodyBytes),
		RequestTimeout: s.duration("request_timeout", defaultRequestTimeout, minTimeout, maxTimeout),
		QueueLimit:     s.integer("queue_limit", defaultQueueLimit, 1, maxQueueLimit),
		RetryBudget:    s.number("retry_budget", defaultRetryBudget, 1),
		SubsetSize:     s.integer("subset_size", 0, 0, maxSubsetSize),
	}
}

func readTenant(s *section, name string) Tenant {
	return Tenant{
		Name:              name,
		TokenSHA256:       s.tokenHash("token_sha256"),
		RequestsPerSecond: s.number("requests_per_second", 0, maxRequestsPerSecond),
		Burst:             s.integer("burst", 1, 1, maxBurst),
	}
}

func readOperator(s *section, name string) Operator {
	return Operator{
		Name:        name,
		TokenSHA256: s.tokenHash("token_sha256"),
		Role:        choice(s, "role", "", RoleViewer, RoleEditor),
	}
}

func readService(s *section, name string) Service {
	return Service{
		Name:          name,
		MaxConcurrent: s.integer("max_concurrent", defaultServiceMaxConcurrent, 1, maxMaxConcurrent),
		Timeout:       s.duration("timeout", defaultServiceTimeout, minTimeout, maxTimeout),
	}
}

func readEnginePool(s *section, name string) EnginePool {
	return EnginePool{
		Name:               name,
		Model:              s.text("model", textRule),
		MaxConcurrent:      s.integer("max_concurrent", defaultEnginePoolMaxConcurrent, 1, maxMaxConcurrent),
		Timeout:            s.duration("timeout", defaultEnginePoolTimeout, minTimeout, maxTimeout),
		ChecksFencing:      s.boolean("checks_fencing", false),
		Version:            s.unsigned("version", 0, maxWeightVersion),
		MaxConcurrentLoads: s.integer("max_swapping", defaultMaxConcurrentLoads, 1, maxMaxConcurrentLoads),
	}
}

func readTrainer(s *section, name string) Trainer {
	return Trainer{
		Name:            name,
		TokenSHA256:     s.tokenHash("token_sha256"),
		EnginePool:      s.text("engines", "the name of an [engines.NAME] section"),
		Scorer:          s.text("scorer", "the name of a [service.NAME] section"),
		StalenessBound:  s.requiredUnsigned("staleness_bound", maxStalenessBound),
		SchedulingGoal:  choice(s, "weigh", "", MinimizeStaleness, MinimizeIdle),
		SpareGroupRatio: s.number("spare_groups", 0, 1),
		Share:           s.integer("share", defaultShare, 1, maxShare),
		MaxInFlight:     s.integer("max_in_flight", defaultMaxInFlight, 1, maxMaxInFlight),
	}
}

func readRule(s *section, name string) Rule {
	return Rule{
		Name:       name,
		PathPrefix: s.pathPrefix("path_prefix"),
		Methods:    s.list("methods", ruleMethods),
		Service:    s.text("service", "the name of a [service.NAME] section"),
		Class:      choice(s, "class", ClassInteractive, ClassInteractive, ClassRollout),
		Idempotent: s.boolean("idempotent", false),
	}
}

// pathPrefix reads a required key with a path prefix outside of reservedPathPrefix.
func (s *section) pathPrefix(key string) string {
	allowed := "a path that starts with / and has no space, ?, # or ;, outside of " + reservedPathPrefix
	s.describe(key, "", allowed)
	value, _ := s.value(key)
	if !strings.HasPrefix(value, "/") || strings.ContainsAny(value, " \t?#;") || strings.HasPrefix(value, reservedPathPrefix) {
		s.reject(key, value, "%s", allowed)
	}
	return value
}
