package deployment

import "gopkg.in/ini.v1"

// SectionKind is a kind of section, the part of a section's title before the dot.
type SectionKind string

// Kinds of sections. In the title of all but DeploymentKind a name follows after a dot.
const (
	DeploymentKind SectionKind = "deployment"
	TenantKind     SectionKind = "tenant"
	OperatorKind   SectionKind = "operator"
	ServiceKind    SectionKind = "service"
	EnginePoolKind SectionKind = "engines"
	TrainerKind    SectionKind = "trainer"
	RuleKind       SectionKind = "rule"
)

// SectionKinds returns all kinds of sections, in the order in which user interfaces list them.
func SectionKinds() []SectionKind {
	return []SectionKind{DeploymentKind, TenantKind, OperatorKind, ServiceKind, EnginePoolKind, TrainerKind, RuleKind}
}

// sectionReaders has for each kind the function that reads a section into a document.
var sectionReaders = map[SectionKind]func(d *Document, s *section, name string){
	DeploymentKind: func(d *Document, s *section, _ string) { d.Deployment = readDeployment(s) },
	TenantKind:     func(d *Document, s *section, name string) { d.Tenants[name] = readTenant(s, name) },
	OperatorKind:   func(d *Document, s *section, name string) { d.Operators[name] = readOperator(s, name) },
	ServiceKind:    func(d *Document, s *section, name string) { d.Services[name] = readService(s, name) },
	EnginePoolKind: func(d *Document, s *section, name string) { d.EnginePools[name] = readEnginePool(s, name) },
	TrainerKind:    func(d *Document, s *section, name string) { d.Trainers[name] = readTrainer(s, name) },
	RuleKind:       func(d *Document, s *section, name string) { d.Rules = append(d.Rules, readRule(s, name)) },
}

// Field describes one key of a kind of section.
type Field struct {
	Key string
	// Default is the value used if the key is missing; empty if the key is required.
	Default string
	// Allowed describes the accepted values.
	Allowed string
	// Help describes the key in a sentence or two.
	Help string
}

// Fields returns the keys of a kind of section, or nil for an unknown kind. The
// descriptions come from the functions that parse the keys and can't differ from what
// these accept.
func Fields(kind SectionKind) []Field {
	read, ok := sectionReaders[kind]
	if !ok {
		return nil
	}
	s := newSection(ini.Empty().Section(string(kind)), string(kind), &Problems{})
	read(newParser(nil).document, s, "x")
	return s.fields
}

// keyHelp has the help text of each key. A key has the same meaning in all kinds of
// sections that have it. The operators' page repeats these texts.
var keyHelp = map[string]string{
	"name":                "Names the deployment. A host never writes to the store of another deployment.",
	"entry_ttl":           "How long callers may use an entry answer, which says which hosts to use.",
	"max_body":            "Maximum size of a request body.",
	"request_timeout":     "Time limit of a request whose caller sets no deadline.",
	"queue_limit":         "Maximum number of waiting requests of one class on one host.",
	"retry_budget":        "Maximum share of requests that are retried.",
	"subset_size":         "Number of replicas of a pool that one host uses; 0 means all.",
	"token_sha256":        "Identifies the bearer token. The token itself is not part of the document.",
	"requests_per_second": "The tenant's quota over all hosts; 0 means no limit.",
	"burst":               "Number of requests above the quota that may come at once.",
	"role":                "A viewer reads; an editor also changes the configuration.",
	"max_concurrent":      "Maximum number of requests in flight from one host to one replica.",
	"timeout":             "Time limit of one attempt.",
	"model":               "The model name that requests use.",
	"checks_fencing":      "Whether these engines refuse orders with an old fencing token.",
	"version":             "Pins a weight version; 0 follows the newest published one.",
	"max_swapping":        "Maximum number of replicas that load weights at the same time.",
	"engines":             "The engine pool that runs the rollouts.",
	"scorer":              "The service that scores the rollouts.",
	"staleness_bound":     "Maximum age of a sample's oldest tokens, in weight versions behind the newest.",
	"weigh":               "What the scheduler minimizes first for this trainer: staleness of samples or idle time.",
	"spare_groups":        "Extra groups started for each step, as a share of its groups.",
	"share":               "The trainer's weight against other trainers on the same engines.",
	"max_in_flight":       "Maximum number of the trainer's rollouts in flight over all hosts.",
	"path_prefix":         "The rule matches paths that start with this prefix. The first matching rule applies.",
	"methods":             "The methods that the rule matches.",
	"service":             "The service that handles the request.",
	"class":               "The priority class of the request.",
	"idempotent":          "Whether the request may be repeated; with false it runs at most once.",
}
