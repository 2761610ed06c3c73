package routing

const (
	// maxLocalLoad is the Candidate.Load from which a replica scores 0 wherever it is.
	maxLocalLoad = 0.8
	// sameRegionScore is the score of a replica in another failure domain of the host's region.
	sameRegionScore = 0.5
)

// domainScorer prefers replicas in the host's failure domain, then in its
// region, unless their load is high.
type domainScorer struct {
	failureDomain string
	region        string
}

func (domainScorer) Name() string { return "domain" }

func (s domainScorer) Score(_ *Request, in []*Candidate, out []float64) {
	for i, c := range in {
		switch {
		case c.Load >= maxLocalLoad:
			out[i] = 0
		case c.FailureDomain == s.failureDomain:
			out[i] = 1
		case c.Region == s.region:
			out[i] = sameRegionScore
		default:
			out[i] = 0
		}
	}
}
