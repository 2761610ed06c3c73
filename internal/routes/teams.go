package routes

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sapphirehatch/sapphirehatch/internal/bearer"
)

// Team is a customer that owns jobs and whose requests carry one of its keys.
type Team struct {
	Name string
	// Keys are the hashes of the team's keys.
	Keys []bearer.Token
	// Priority replaces the priority of routes for the team's jobs; nil keeps it.
	Priority *int
}

// Teams holds the teams of a configuration. It is immutable. A nil *Teams is a
// configuration without teams, in which no request needs a key.
type Teams struct {
	byKey      map[bearer.Token]string
	priorities map[string]int
}

// NewTeams returns teams, and a sentence on each problem: a key that several teams have,
// which then belongs to none of them, and a team without a name or without keys. No
// sentence contains a key or its hash.
func NewTeams(all []Team) (*Teams, []string) {
	t := &Teams{byKey: map[bearer.Token]string{}, priorities: map[string]int{}}
	var problems []string
	owners := map[bearer.Token][]string{}
	seen := map[string]bool{}
	for i, team := range all {
		if !validTeamName(team.Name) {
			problems = append(problems, fmt.Sprintf("team %d has no valid name and is ignored", i+1))
			continue
		}
		if seen[team.Name] {
			problems = append(problems, fmt.Sprintf("team %q is listed twice; all its keys are valid", team.Name))
		}
		seen[team.Name] = true
		if len(team.Keys) == 0 {
			problems = append(problems, fmt.Sprintf("team %q has no keys", team.Name))
		}
		if team.Priority != nil {
			t.priorities[team.Name] = *team.Priority
		}
		for _, key := range team.Keys {
			if !slices.Contains(owners[key], team.Name) {
				owners[key] = append(owners[key], team.Name)
			}
		}
	}
	var shared []string
	for key, names := range owners {
		if len(names) == 1 {
			t.byKey[key] = names[0]
			continue
		}
		shared = append(shared, fmt.Sprintf("teams %q list the same key, which belongs to none of them", names))
	}
	slices.Sort(shared)
	return t, append(problems, shared...)
}

// validTeamName reports whether a name can be the value of an HTTP header: not empty,
// without control characters, and without spaces at its ends.
func validTeamName(name string) bool {
	return name != "" && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// Admit decides on a request with an Authorization header. It returns the name of its
// team, which is empty if there are no teams or the route is public. The error is that of
// bearer.Authenticate.
func (t *Teams) Admit(header string, public bool) (team string, err error) {
	if t == nil || public {
		return "", nil
	}
	return bearer.Authenticate(header, func(token bearer.Token) (string, bool) {
		name, found := t.byKey[token]
		return name, found
	})
}

// Priority returns the priority of a team's jobs on a route.
func (t *Teams) Priority(team string, route *Route) int {
	if t != nil {
		if priority, found := t.priorities[team]; found {
			return priority
		}
	}
	return route.Priority
}
