package routing

// loadScorer prefers replicas with a low load from all hosts.
type loadScorer struct{}

func (loadScorer) Name() string { return "load" }

func (loadScorer) Score(_ *Request, in []*Candidate, out []float64) {
	for i, c := range in {
		out[i] = 1 / (1 + c.Load)
	}
}
