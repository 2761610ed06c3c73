package deployment

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

var (
	hashA = strings.Repeat("a", tokenHashLength)
	hashB = strings.Repeat("b", tokenHashLength)
	hashC = strings.Repeat("c", tokenHashLength)
)

var validText = `
# A comment.
[deployment]
name = atlas
entry_ttl = 3s
max_body = 2MiB
retry_budget = 0.2

[tenant.depot]
token_sha256 = ` + hashA + `
requests_per_second = 40.5
burst = 80

[operator.nadia]
token_sha256 = ` + hashB + `
role = editor

[service.stock]
timeout = 2s

[engines.planner]
model = planner
checks_fencing = true
max_swapping = 2

[trainer.routes]
token_sha256 = ` + hashC + `
engines = planner
scorer = stock
staleness_bound = 2
weigh = idle

[rule.bookings]
path_prefix = /bookings
methods = POST, PUT
service = stock

[rule.rest]
path_prefix = /
service = stock
idempotent = true
`

func TestParseReadsValuesAndDefaults(t *testing.T) {
	got, err := Parse([]byte(validText))
	if err != nil {
		t.Fatal(err)
	}
	want := &Document{
		Text: []byte(validText),
		Deployment: Deployment{
			Name: "atlas", EntryTTL: 3 * time.Second, MaxBodyBytes: 2 << 20, RequestTimeout: 30 * time.Second,
			QueueLimit: 256, RetryBudget: 0.2,
		},
		Tenants:   map[string]Tenant{"depot": {Name: "depot", TokenSHA256: hashA, RequestsPerSecond: 40.5, Burst: 80}},
		Operators: map[string]Operator{"nadia": {Name: "nadia", TokenSHA256: hashB, Role: RoleEditor}},
		Services:  map[string]Service{"stock": {Name: "stock", MaxConcurrent: 64, Timeout: 2 * time.Second}},
		EnginePools: map[string]EnginePool{"planner": {
			Name: "planner", Model: "planner", MaxConcurrent: 32, Timeout: 10 * time.Minute, ChecksFencing: true, MaxConcurrentLoads: 2,
		}},
		Trainers: map[string]Trainer{"routes": {
			Name: "routes", TokenSHA256: hashC, EnginePool: "planner", Scorer: "stock", StalenessBound: 2,
			SchedulingGoal: MinimizeIdle, Share: 1, MaxInFlight: 256,
		}},
		Rules: []Rule{
			{Name: "bookings", PathPrefix: "/bookings", Methods: []string{"POST", "PUT"}, Service: "stock", Class: ClassInteractive},
			{Name: "rest", PathPrefix: "/", Service: "stock", Class: ClassInteractive, Idempotent: true},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestParseRejects(t *testing.T) {
	tests := []struct {
		name, old, new string
		section, key   string
	}{
		{"unknown section", "[service.stock]", "[services.stock]", "services.stock", ""},
		{"unknown key", "burst = 80", "bursts = 80", "tenant.depot", "bursts"},
		{"repeated key", "burst = 80", "burst = 80\nburst = 80", "tenant.depot", "burst"},
		{"repeated section", "[rule.rest]", "[rule.bookings]", "rule.bookings", ""},
		{"bad name", "[tenant.depot]", "[tenant.De pot]", "tenant.De pot", ""},
		{"no name", "[tenant.depot]", "[tenant]", "tenant", ""},
		{"inherited key", "[tenant.depot]", "[tenant]\nburst = 4\n[tenant.depot]", "tenant", ""},
		{"key outside", "[deployment]", "x = 1\n[deployment]", "", ""},
		{"no deployment", "[deployment]\nname = atlas\nentry_ttl = 3s\nmax_body = 2MiB\nretry_budget = 0.2", "", "deployment", ""},
		{"duration without unit", "timeout = 2s", "timeout = 2", "service.stock", "timeout"},
		{"duration too long", "timeout = 2s", "timeout = 3h", "service.stock", "timeout"},
		{"size without unit", "max_body = 2MiB", "max_body = 2", "deployment", "max_body"},
		{"size too large", "max_body = 2MiB", "max_body = 65MiB", "deployment", "max_body"},
		{"inline comment", "burst = 80", "burst = 80 # more", "tenant.depot", "burst"},
		{"not a number", "requests_per_second = 40.5", "requests_per_second = NaN", "tenant.depot", "requests_per_second"},
		{"negative number", "requests_per_second = 40.5", "requests_per_second = -1", "tenant.depot", "requests_per_second"},
		{"share above one", "retry_budget = 0.2", "retry_budget = 1.5", "deployment", "retry_budget"},
		{"boolean", "checks_fencing = true", "checks_fencing = yes", "engines.planner", "checks_fencing"},
		{"blank name", "name = atlas", "name = ` `", "deployment", "name"},
		{"role", "role = editor", "role = root", "operator.nadia", "role"},
		{"weigh missing", "weigh = idle", "", "trainer.routes", "weigh"},
		{"staleness missing", "staleness_bound = 2", "", "trainer.routes", "staleness_bound"},
		{"method", "methods = POST, PUT", "methods = POST, BOOK", "rule.bookings", "methods"},
		{"token", hashA, "secret", "tenant.depot", "token_sha256"},
		{"shared token", hashB, hashA, "operator.nadia", "token_sha256"},
		{"rule without service", "methods = POST, PUT\nservice = stock", "methods = POST, PUT\nservice = depot", "rule.bookings", "service"},
		{"trainer without engines", "engines = planner", "engines = planners", "trainer.routes", "engines"},
		{"trainer without scorer", "scorer = stock", "scorer = planner", "trainer.routes", "scorer"},
		{"own path", "path_prefix = /bookings", "path_prefix = /v1/bookings", "rule.bookings", "path_prefix"},
		{"relative path", "path_prefix = /bookings", "path_prefix = bookings", "rule.bookings", "path_prefix"},
		{"hidden rule", "[rule.rest]", "[rule.late]\npath_prefix = /bookings/a\nmethods = PUT\nservice = stock\n[rule.rest]", "rule.late", "path_prefix"},
		{"shared pool name", "[engines.planner]", "[engines.stock]\nmodel = other\n[engines.planner]", "engines.stock", ""},
		{"shared model", "[engines.planner]", "[engines.a]\nmodel = planner\n[engines.planner]", "engines.planner", "model"},
		{"not INI", "burst = 80", "burst", "", ""},
		{"too long", "# A comment.", "# " + strings.Repeat("x", MaxTextBytes), "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if !strings.Contains(validText, test.old) {
				t.Fatalf("the valid document does not contain %q", test.old)
			}
			_, err := Parse([]byte(strings.Replace(validText, test.old, test.new, 1)))
			if !failure.IsKind(err, failure.InvalidDocument) {
				t.Fatalf("error %v, want invalid_document", err)
			}
			problems := AsProblems(err)
			for _, p := range problems {
				if p.Section == test.section && p.Key == test.key && p.Allowed != "" {
					return
				}
			}
			t.Errorf("problems %v name neither [%s] nor %s", problems, test.section, test.key)
		})
	}
}

func TestParseReportsAllProblemsAtOnce(t *testing.T) {
	text := "[deployment]\nqueue_limit = 0\n[tenant.a]\ntoken_sha256 = hunter2\n[rule.x]\npath_prefix = y\nservice = z\n"
	_, err := Parse([]byte(text))
	want := Problems{
		{Section: "deployment", Key: "name", Allowed: textRule},
		{Section: "deployment", Key: "queue_limit", Value: "0", Allowed: "a whole number from 1 to 100000"},
		{Section: "tenant.a", Key: "token_sha256", Value: "(hidden)", Allowed: "the SHA-256 of a token, 64 hexadecimal digits"},
		{Section: "rule.x", Key: "path_prefix", Value: "y", Allowed: "a path that starts with / and has no space, ?, # or ;, outside of /v1/"},
		{Section: "rule.x", Key: "service", Value: "z", Allowed: "the name of a [service.NAME] section: (none)"},
	}
	if diff := cmp.Diff(want, AsProblems(err)); diff != "" {
		t.Error(diff)
	}
	if strings.Contains(err.Error(), "hunter2") {
		t.Error("the error repeats a token")
	}
}

func TestEachFieldIsDescribed(t *testing.T) {
	seen := map[string]bool{}
	for _, kind := range SectionKinds() {
		fields := Fields(kind)
		if len(fields) == 0 {
			t.Errorf("no fields for %s", kind)
		}
		for _, field := range fields {
			seen[field.Key] = true
			if field.Allowed == "" || field.Help == "" {
				t.Errorf("[%s] %s is not described: %+v", kind, field.Key, field)
			}
		}
	}
	for key := range keyHelp {
		if !seen[key] {
			t.Errorf("help for %s, which no section has", key)
		}
	}
}

func TestDefaultsAreAccepted(t *testing.T) {
	var text strings.Builder
	text.WriteString("[deployment]\nname = test\n")
	writeDefaults(&text, DeploymentKind)
	text.WriteString("[service.stock]\n")
	writeDefaults(&text, ServiceKind)
	text.WriteString("[tenant.depot]\ntoken_sha256 = " + hashA + "\n")
	writeDefaults(&text, TenantKind)
	text.WriteString("[engines.planner]\nmodel = planner\n")
	writeDefaults(&text, EnginePoolKind)
	text.WriteString("[trainer.routes]\ntoken_sha256 = " + hashB + "\nengines = planner\nscorer = stock\nstaleness_bound = 1\nweigh = idle\n")
	writeDefaults(&text, TrainerKind)
	text.WriteString("[rule.bookings]\npath_prefix = /\nservice = stock\nclass = interactive\nidempotent = false\n")
	if _, err := Parse([]byte(text.String())); err != nil {
		t.Error(err)
	}
}

func writeDefaults(text *strings.Builder, kind SectionKind) {
	for _, field := range Fields(kind) {
		if field.Default != "" {
			text.WriteString(field.Key + " = " + field.Default + "\n")
		}
	}
}
