package routes

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/sapphirehatch/sapphirehatch/internal/bearer"
)

// Document is an operator's configuration before a table is made of it, for Check and
// Compare.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Teams is nil if no request needs a key.
	Teams []Team
	// UnknownKinds are the kinds that do not exist, as written, by index into Routes.
	UnknownKinds map[int]string
	// Entries are the routes, services, limits and teams as written: their fields by label
	// and name, without keys. The label of a route is `route "NAME"`, that of a limit
	// "limit NAME".
	Entries map[string]map[string]string
	// Keys are the hashes of the keys of teams by label.
	Keys map[string][]bearer.Token
}

// Check returns a sentence on each error of a document and each route that can never
// match. Hosts read at most maxHeaderBytes of headers.
func Check(d *Document, maxHeaderBytes int) []string {
	var problems []string
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	services := map[string]Service{}
	for _, service := range d.Services {
		if _, found := services[service.Name]; found {
			report("service %q is listed twice", service.Name)
		}
		services[service.Name] = service
	}
	names, first := map[string]bool{}, map[[2]string]string{}
	for i := range d.Routes {
		route := &d.Routes[i]
		if names[route.Name] {
			report("route %q is listed twice", route.Name)
		}
		names[route.Name] = true
		if kind, unknown := d.UnknownKinds[i]; unknown {
			report("route %q: unknown kind %q", route.Name, kind)
		}
		checkRoute(route, services, func(format string, args ...any) {
			report("route %q: %s", route.Name, fmt.Sprintf(format, args...))
		})
		selects := [2]string{route.HostName, route.PathPrefix}
		if earlier, found := first[selects]; found {
			report("route %q can never match: route %q before it has the same hostname and path_prefix", route.Name, earlier)
		} else {
			first[selects] = route.Name
		}
	}
	checkLimits(d, maxHeaderBytes, report)
	return problems
}

func checkRoute(route *Route, services map[string]Service, report func(format string, args ...any)) {
	if prefix := route.PathPrefix; !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		report("path_prefix %q does not begin and end with a slash", prefix)
	}
	if len(route.Shares) == 0 {
		report("neither service nor split is given")
	}
	positive, negative := false, false
	for _, share := range route.Shares {
		positive, negative = positive || share.Weight > 0, negative || share.Weight < 0
		service, found := services[share.Service]
		switch {
		case !found:
			report("service %q is not listed", share.Service)
		case route.Kind == Rollouts && service.Slots <= 0:
			report("service %q has no engines, which a rollout route needs", share.Service)
		}
	}
	if negative {
		report("split has a negative weight")
	} else if !positive && len(route.Shares) > 0 {
		report("all weights of split are zero")
	}
	if route.LatencyObjective > route.Timeout {
		report("target_latency_ms (%v) is above timeout_ms (%v)", route.LatencyObjective, route.Timeout)
	}
	if route.MaxAttempts < 1 {
		report("max_attempts is %d, want at least 1", route.MaxAttempts)
	}
	// An item_ttl_s of zero sets no limit.
	if route.GiveUpAfter > 0 && route.RunDeadline > route.GiveUpAfter {
		report("run_deadline_ms (%v) is above item_ttl_s (%v)", route.RunDeadline, route.GiveUpAfter)
	}
}

// checkLimits accepts limits that are not given: hosts then use their defaults.
func checkLimits(d *Document, maxHeaderBytes int, report func(format string, args ...any)) {
	l := d.Limits
	if d.Entries["limit max_body_bytes"] != nil && l.BodyBytes <= 0 {
		report("max_body_bytes is %d, want at least 1", l.BodyBytes)
	}
	if d.Entries["limit max_header_bytes"] != nil && l.HeaderBytes <= 0 {
		report("max_header_bytes is %d, want at least 1", l.HeaderBytes)
	}
	if l.HeaderBytes > maxHeaderBytes {
		report("max_header_bytes is %d, but hosts read at most %d", l.HeaderBytes, maxHeaderBytes)
	}
	// An idle_timeout_ms of zero stands for the default.
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		report("header_timeout_ms (%v) is above idle_timeout_ms (%v)", l.HeaderTimeout, l.IdleTimeout)
	}
}

// Compare returns a line for each entry of d that was added, removed or changed since
// inForce. No line contains a key or its hash. The error is not nil if the version of d
// is not higher, because hosts would then ignore it.
func Compare(inForce, d *Document) (lines []string, err error) {
	if d.Version <= inForce.Version {
		err = fmt.Errorf("version %d is not higher than version %d in force", d.Version, inForce.Version)
	}
	for _, label := range unionKeys(inForce.Entries, d.Entries) {
		before, after := inForce.Entries[label], d.Entries[label]
		verb, changes := "changed", []string(nil)
		switch {
		case before == nil:
			verb = "added"
		case after == nil:
			verb = "removed"
		default:
			for _, name := range unionKeys(before, after) {
				if a, b := before[name], after[name]; a != b {
					changes = append(changes, fmt.Sprintf("%s %s -> %s", name, cmp.Or(a, "none"), cmp.Or(b, "none")))
				}
			}
		}
		added, removed := countMissing(d.Keys[label], inForce.Keys[label]), countMissing(inForce.Keys[label], d.Keys[label])
		if added+removed > 0 {
			changes = append(changes, fmt.Sprintf("%d keys added, %d removed", added, removed))
		}
		if len(changes) > 0 {
			lines = append(lines, fmt.Sprintf("%s %s: %s", label, verb, strings.Join(changes, ", ")))
		} else if verb != "changed" {
			lines = append(lines, label+" "+verb)
		}
	}
	return lines, err
}

// countMissing returns the number of different keys that are not among others.
func countMissing(keys, others []bearer.Token) int {
	missing := map[bearer.Token]bool{}
	for _, key := range keys {
		if !slices.Contains(others, key) {
			missing[key] = true
		}
	}
	return len(missing)
}

// unionKeys returns the keys of two maps, sorted and each once.
func unionKeys[V any](a, b map[string]V) []string {
	names := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(names)
	return slices.Compact(names)
}
