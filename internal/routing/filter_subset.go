package routing

// subsetFilter keeps the first replicas in this host's order of preference, to
// limit the number of replicas of a large pool that one host connects to.
type subsetFilter struct {
	// size is the number of replicas kept; zero keeps all.
	size int
}

func (subsetFilter) Name() string { return "subset" }

func (f subsetFilter) Filter(_ *Request, in []*Candidate) []*Candidate {
	if f.size == 0 || len(in) <= f.size {
		return in
	}
	return in[:f.size]
}
