package routing

// liveFilter drops the replicas that are leaving the pool.
type liveFilter struct{}

func (liveFilter) Name() string { return "live" }

func (liveFilter) Filter(_ *Request, in []*Candidate) []*Candidate {
	return keep(in, func(c *Candidate) bool { return !c.Leaving })
}

// keep filters candidates in place by a predicate.
func keep(in []*Candidate, ok func(*Candidate) bool) []*Candidate {
	out := in[:0]
	for _, c := range in {
		if ok(c) {
			out = append(out, c)
		}
	}
	return out
}
