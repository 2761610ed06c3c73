package routing

import "github.com/sapphirehatch/sapphirehatch/internal/settings"

// Weights of the scores in the total score of a candidate.
const (
	aloneWeight  = 10
	prefixWeight = 2
	loadWeight   = 1
	domainWeight = 0.5
)

// weightedScorer is a scorer with the weight of its score in the total.
type weightedScorer struct {
	Scorer
	weight float64
}

// profile is the set of filters, scorers and picker that choose a replica.
type profile struct {
	// eligible are the filters that decide which replicas may serve a request at all.
	eligible []Filter
	// available are the filters that decide which of them have free capacity.
	available []Filter
	scorers   []weightedScorer
	picker    Picker
}

// newProfile returns the profile of one pool on one host. Unhealthy replicas
// are dropped before the subset is taken, so that others take their place.
func newProfile(host settings.Host, subsetSize int) profile {
	return profile{
		eligible:  []Filter{liveFilter{}, avoidFilter{}, healthyFilter{}, subsetFilter{size: subsetSize}},
		available: []Filter{unsaturatedFilter{}},
		scorers: []weightedScorer{
			{Scorer: aloneScorer{}, weight: aloneWeight},
			{Scorer: prefixScorer{}, weight: prefixWeight},
			{Scorer: loadScorer{}, weight: loadWeight},
			{Scorer: domainScorer{failureDomain: host.FailureDomain, region: host.Region}, weight: domainWeight},
		},
		picker: newMaxPicker(),
	}
}

// choose returns the best candidate with free capacity, or nil. The second
// result is false if no candidate is eligible.
func (p profile) choose(req *Request, in []*Candidate) (*Candidate, bool) {
	for _, f := range p.eligible {
		in = f.Filter(req, in)
	}
	if len(in) == 0 {
		return nil, false
	}
	for _, f := range p.available {
		in = f.Filter(req, in)
	}
	if len(in) == 0 {
		return nil, true
	}
	total := make([]float64, len(in))
	scores := make([]float64, len(in))
	for _, s := range p.scorers {
		s.Score(req, in, scores)
		for i, score := range scores {
			total[i] += s.weight * score
		}
	}
	return p.picker.Pick(in, total), true
}
