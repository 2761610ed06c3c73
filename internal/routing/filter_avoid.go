package routing

import "slices"

// avoidFilter drops the replicas in Request.Avoid, unless no others are left.
type avoidFilter struct{}

func (avoidFilter) Name() string { return "avoid" }

func (avoidFilter) Filter(req *Request, in []*Candidate) []*Candidate {
	avoided := func(c *Candidate) bool { return slices.Contains(req.Avoid, c.ID) }
	if !slices.ContainsFunc(in, func(c *Candidate) bool { return !avoided(c) }) {
		return in
	}
	return keep(in, func(c *Candidate) bool { return !avoided(c) })
}
