package routing

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// replicaOf returns a candidate with an id, modified by the options.
func replicaOf(id string, options ...func(*Candidate)) *Candidate {
	c := &Candidate{Upstream: membership.Upstream{ID: id, Kind: platform.EngineMember}, Limit: 4}
	for _, o := range options {
		o(c)
	}
	return c
}

func leaving(c *Candidate) { c.Leaving = true }
func failed(c *Candidate)  { c.RetryAt = time.Now().Add(time.Minute) }
func service(c *Candidate) { c.Kind = platform.ServiceMember }
func busy(interactive, rollout int) func(*Candidate) {
	return func(c *Candidate) { c.Interactive, c.Rollout = interactive, rollout }
}
func load(share float64) func(*Candidate) { return func(c *Candidate) { c.Load = share } }
func cached(blocks int) func(*Candidate)  { return func(c *Candidate) { c.CachedBlocks = blocks } }
func in(domain, region string) func(*Candidate) {
	return func(c *Candidate) { c.FailureDomain, c.Region = domain, region }
}

func TestFilters(t *testing.T) {
	interactive, rollout := Request{Class: deployment.ClassInteractive}, Request{Class: deployment.ClassRollout}
	cases := map[string]struct {
		filter Filter
		req    Request
		in     []*Candidate
		want   []string
	}{
		"live drops leaving":                 {liveFilter{}, interactive, []*Candidate{replicaOf("a"), replicaOf("b", leaving)}, []string{"a"}},
		"avoid drops tried":                  {avoidFilter{}, Request{Avoid: []string{"a"}}, []*Candidate{replicaOf("a"), replicaOf("b")}, []string{"b"}},
		"avoid keeps the only one":           {avoidFilter{}, Request{Avoid: []string{"a"}}, []*Candidate{replicaOf("a")}, []string{"a"}},
		"healthy drops failed":               {healthyFilter{}, interactive, []*Candidate{replicaOf("a", failed), replicaOf("b")}, []string{"b"}},
		"healthy keeps the only ones":        {healthyFilter{}, interactive, []*Candidate{replicaOf("a", failed)}, []string{"a"}},
		"subset cuts":                        {subsetFilter{size: 2}, interactive, []*Candidate{replicaOf("c"), replicaOf("a"), replicaOf("b")}, []string{"c", "a"}},
		"subset of zero keeps all":           {subsetFilter{}, interactive, []*Candidate{replicaOf("c"), replicaOf("a")}, []string{"c", "a"}},
		"unsaturated drops full":             {unsaturatedFilter{}, rollout, []*Candidate{replicaOf("a", busy(2, 2)), replicaOf("b", busy(2, 1))}, []string{"b"}},
		"interactive passes engine rollouts": {unsaturatedFilter{}, interactive, []*Candidate{replicaOf("a", busy(3, 9)), replicaOf("b", busy(4, 0))}, []string{"a"}},
		"but not a service's":                {unsaturatedFilter{}, interactive, []*Candidate{replicaOf("a", service, busy(3, 9))}, []string{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := lo.Map(tc.filter.Filter(&tc.req, tc.in), func(c *Candidate, _ int) string { return c.ID })
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestScorers(t *testing.T) {
	local := domainScorer{failureDomain: "d1", region: "r"}
	prompt := Request{Prefix: []uint64{1, 2, 3, 4}}
	cases := map[string]struct {
		scorer Scorer
		req    Request
		in     []*Candidate
		want   []float64
	}{
		"load":                         {loadScorer{}, Request{}, []*Candidate{replicaOf("a", load(1)), replicaOf("b", load(0))}, []float64{0.5, 1}},
		"own domain first":             {local, Request{}, []*Candidate{replicaOf("a", in("d1", "r")), replicaOf("b", in("d2", "r")), replicaOf("c", in("d3", "s"))}, []float64{1, 0.5, 0}},
		"own domain unless loaded":     {local, Request{}, []*Candidate{replicaOf("a", in("d1", "r"), load(0.9)), replicaOf("b", in("d2", "r"))}, []float64{0, 0.5}},
		"longest prefix":               {prefixScorer{}, prompt, []*Candidate{replicaOf("a", cached(1)), replicaOf("b", cached(4))}, []float64{0.25, 1}},
		"prefix only while not loaded": {prefixScorer{}, prompt, []*Candidate{replicaOf("a", cached(1)), replicaOf("b", cached(4), load(2)), replicaOf("c")}, []float64{0.25, 0, 0}},
		"no prefix":                    {prefixScorer{}, Request{}, []*Candidate{replicaOf("a", cached(1))}, []float64{0}},
		"alone":                        {aloneScorer{}, Request{Alone: true}, []*Candidate{replicaOf("a", busy(1, 0)), replicaOf("b"), replicaOf("c", load(3))}, []float64{0.5, 1, 0.25}},
		"not asked to be alone":        {aloneScorer{}, Request{}, []*Candidate{replicaOf("a", busy(1, 0)), replicaOf("b")}, []float64{0, 0}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := make([]float64, len(tc.in))
			tc.scorer.Score(&tc.req, tc.in, got)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A prefix that no replica has cached gets one preferred replica, and different
// prefixes spread over the replicas.
func TestNewPrefixesSpread(t *testing.T) {
	preferred := make(map[string]int)
	for prompt := range uint64(400) {
		candidates := []*Candidate{replicaOf("a"), replicaOf("b"), replicaOf("c"), replicaOf("d")}
		scores := make([]float64, 4)
		prefixScorer{}.Score(&Request{Prefix: []uint64{prompt + 1}}, candidates, scores)
		for i, score := range scores {
			if score > 0 {
				preferred[candidates[i].ID]++
			}
		}
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		if preferred[id] < 60 || preferred[id] > 140 {
			t.Errorf("replica %s is preferred for %d of 400 prefixes, want 60 to 140", id, preferred[id])
		}
	}
}

func TestPicker(t *testing.T) {
	draws := func(values ...int) maxPicker {
		return maxPicker{intN: func(int) int {
			next := values[0]
			values = values[1:]
			return next
		}}
	}
	a, b, c := replicaOf("a", busy(3, 0)), replicaOf("b", busy(1, 0)), replicaOf("c")
	cases := map[string]struct {
		picker maxPicker
		scores []float64
		want   string
	}{
		"highest score":          {draws(0, 0), []float64{1, 3, 2}, "b"},
		"less busy of two draws": {draws(0, 1), []float64{3, 3, 1}, "b"},
		"either order":           {draws(1, 0), []float64{3, 3, 1}, "b"},
		"one drawn twice":        {draws(0, 0), []float64{3, 3, 3}, "a"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if got := tc.picker.Pick([]*Candidate{a, b, c}, tc.scores).ID; got != tc.want {
				t.Errorf("picked %s, want %s", got, tc.want)
			}
		})
	}
}
