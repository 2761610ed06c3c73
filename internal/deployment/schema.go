package deployment

import "gopkg.in/ini.v1"

// Kind is a kind of section.
type Kind string

// Kinds of sections. All but DeploymentKind have a name after a dot.
const (
	DeploymentKind Kind = "deployment"
	TenantKind     Kind = "tenant"
	OperatorKind   Kind = "operator"
	ServiceKind    Kind = "service"
	EnginesKind    Kind = "engines"
	TrainerKind    Kind = "trainer"
	RuleKind       Kind = "rule"
)

// Kinds returns all kinds of sections, in the order in which a newcomer needs them.
func Kinds() []Kind {
	return []Kind{DeploymentKind, TenantKind, OperatorKind, ServiceKind, EnginesKind, TrainerKind, RuleKind}
}

// readers read a section of each kind into a document.
var readers = map[Kind]func(d *Document, s *section, name string){
	DeploymentKind: func(d *Document, s *section, _ string) { d.Deployment = readDeployment(s) },
	TenantKind:     func(d *Document, s *section, name string) { d.Tenants[name] = readTenant(s, name) },
	OperatorKind:   func(d *Document, s *section, name string) { d.Operators[name] = readOperator(s, name) },
	ServiceKind:    func(d *Document, s *section, name string) { d.Services[name] = readService(s, name) },
	EnginesKind:    func(d *Document, s *section, name string) { d.EnginePools[name] = readEngines(s, name) },
	TrainerKind:    func(d *Document, s *section, name string) { d.Trainers[name] = readTrainer(s, name) },
	RuleKind:       func(d *Document, s *section, name string) { d.Rules = append(d.Rules, readRule(s, name)) },
}

// Field describes one key of a kind of section.
type Field struct {
	Key string
	// Default is the value without the key; empty if the key is required.
	Default string
	// Allowed says which values are accepted.
	Allowed string
	// Help is one sentence on what the key does.
	Help string
}

// Fields returns the keys of a kind of section. The parser itself describes
// them, so that the description cannot differ from what is accepted.
func Fields(kind Kind) []Field {
	read, ok := readers[kind]
	if !ok {
		return nil
	}
	s := newSection(ini.Empty().Section(string(kind)), string(kind), &Problems{})
	read(newParser(nil).document, s, "x")
	return s.fields
}

// keyHelp says what each key does. A key means the same in all sections that have it.
var keyHelp = map[string]string{
	"name":                "Names the deployment; a host never writes into the store of another one.",
	"entry_ttl":           "How long callers may keep the answer that says which hosts to use.",
	"max_body":            "The largest request body.",
	"request_timeout":     "Bounds a request whose caller names no deadline.",
	"queue_limit":         "The waiting requests of one class on one host.",
	"retry_budget":        "The share of requests that may be retried.",
	"subset_size":         "The replicas of a pool that one host uses; 0 means all.",
	"token_sha256":        "Recognises the bearer token. The token itself is not part of the document.",
	"requests_per_second": "The tenant's quota over all hosts; 0 means no limit.",
	"burst":               "The requests above the quota that may come at once.",
	"role":                "A viewer reads; an editor also changes the configuration.",
	"max_concurrent":      "The requests in flight to one replica from one host.",
	"timeout":             "Bounds one attempt.",
	"model":               "The model name that requests use.",
	"checks_fencing":      "Whether these engines refuse orders with an old fencing number.",
	"version":             "Pins a weight version; 0 follows the newest published one.",
	"max_swapping":        "The replicas that may load weights at once.",
	"engines":             "The engine pool that runs the rollouts.",
	"scorer":              "The service that scores the rollouts.",
	"staleness_bound":     "How many versions older than the newest a sample's oldest tokens may be.",
	"weigh":               "What the trainer gives up last: fresh samples or a step without waiting.",
	"spare_groups":        "Extra groups started for each step, as a share of its groups.",
	"share":               "The trainer's weight against other trainers on the same engines.",
	"max_in_flight":       "The trainer's rollouts in flight over all hosts.",
	"path_prefix":         "The rule matches paths that start with this. The first matching rule applies.",
	"methods":             "The methods that the rule matches.",
	"service":             "The service that gets the request.",
	"class":               "The urgency of the request.",
	"idempotent":          "Whether the request may be repeated; with false it runs at most once.",
}
