package routes

import (
	"strings"
	"testing"

	"github.com/sapphirehatch/sapphirehatch/internal/bearer"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

func keys(texts ...string) []bearer.Token {
	all := make([]bearer.Token, 0, len(texts))
	for _, text := range texts {
		all = append(all, bearer.Hash(text))
	}
	return all
}

func TestAdmit(t *testing.T) {
	teams, problems := NewTeams([]Team{{Name: "a", Keys: keys("a1", "a2")}, {Name: "b", Keys: keys("b1")}})
	if len(problems) > 0 {
		t.Errorf("problems %q", problems)
	}
	for _, test := range []struct {
		teams  *Teams
		header string
		public bool
		want   string
		admit  bool
	}{
		{teams, "Bearer a1", false, "a", true},
		{teams, "Bearer a2", false, "a", true},
		{teams, "Bearer b1", false, "b", true},
		{teams, "Bearer x", false, "", false},
		{teams, "a1", false, "", false},
		{teams, "", false, "", false},
		{teams, "", true, "", true},
		{teams, "Bearer a1", true, "", true},
		{teams, "Bearer x", true, "", true},
		{nil, "", false, "", true},
		{nil, "Bearer a1", false, "", true},
		// A configuration with an empty list of teams admits nobody.
		{&Teams{}, "Bearer a1", false, "", false},
	} {
		team, err := test.teams.Admit(test.header, test.public)
		if team != test.want || (err == nil) != test.admit {
			t.Errorf("%q, public %t: team %q, %v", test.header, test.public, team, err)
		}
		if e := failure.As(err); err != nil && (e.Kind != failure.Unauthorized || e.Outcome != failure.NotRun) {
			t.Errorf("%q: %v", test.header, err)
		}
	}
}

// A key that two teams list must admit to neither: the jobs of one would be open to the
// other. No report may contain a key.
func TestProblemsOfTeams(t *testing.T) {
	teams, problems := NewTeams([]Team{
		{Name: "a", Keys: keys("a1", "both")}, {Name: "b", Keys: keys("both", "b1", "b1")},
		{Name: "c"}, {Name: "", Keys: keys("n")}, {Name: "x\ny", Keys: keys("n2")}, {Name: "a", Keys: keys("a3", "a1")},
	})
	for key, want := range map[string]string{"a1": "a", "a3": "a", "b1": "b", "both": "", "n": "", "n2": ""} {
		if team, _ := teams.Admit("Bearer "+key, false); team != want {
			t.Errorf("key %s is of team %q, want %q", key, team, want)
		}
	}
	text := strings.Join(problems, "\n")
	for _, want := range []string{`teams ["a" "b"] list the same key`, `team "c" has no keys`, "team 4 has no valid name", "team 5 has no valid name", `team "a" is listed twice`} {
		if !strings.Contains(text, want) {
			t.Errorf("problems lack %q:\n%s", want, text)
		}
	}
	if len(problems) != 5 || strings.Contains(text, "both") {
		t.Errorf("problems are\n%s", text)
	}
}

func TestPriorityOfATeam(t *testing.T) {
	first, route := 0, &Route{Priority: 2}
	teams, _ := NewTeams([]Team{{Name: "a", Keys: keys("a1"), Priority: &first}, {Name: "b", Keys: keys("b1")}})
	for team, want := range map[string]int{"a": 0, "b": 2, "": 2, "unknown": 2} {
		if got := teams.Priority(team, route); got != want {
			t.Errorf("team %q has priority %d, want %d", team, got, want)
		}
	}
	if got := (*Teams)(nil).Priority("a", route); got != 2 {
		t.Errorf("priority without teams is %d, want 2", got)
	}
}
