package routing

// aloneScorer prefers idle replicas for a request with Alone set.
type aloneScorer struct{}

func (aloneScorer) Name() string { return "alone" }

func (aloneScorer) Score(req *Request, in []*Candidate, out []float64) {
	clear(out)
	if !req.Alone {
		return
	}
	for i, c := range in {
		out[i] = 1 / (1 + float64(c.InFlight()) + c.Load)
	}
}
