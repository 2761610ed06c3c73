package routing

import (
	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// interactiveReserve is the number of requests, over all replicas of a service
// pool, for which rollouts leave capacity free for interactive requests.
const interactiveReserve = 1

// unsaturatedFilter drops the replicas on which this host is at its limit.
// Engines honor priorities, so rollouts in flight on an engine do not use up
// the capacity for interactive requests. For a rollout on services it drops all
// replicas if the rollout would use up interactiveReserve.
type unsaturatedFilter struct{}

func (unsaturatedFilter) Name() string { return "unsaturated" }

func (unsaturatedFilter) Filter(req *Request, in []*Candidate) []*Candidate {
	free := func(c *Candidate) int { return freeCapacity(req, c) }
	out := keep(in, func(c *Candidate) bool { return free(c) > 0 })
	if mustLeaveReserve(req, in) && lo.SumBy(out, free) <= interactiveReserve {
		return nil
	}
	return out
}

// freeCapacity returns the number of further requests of req's class that this
// host may send to a replica.
func freeCapacity(req *Request, c *Candidate) int {
	if req.Class == deployment.ClassInteractive && c.Kind == platform.EngineMember {
		return c.Limit - c.Interactive
	}
	return c.Limit - c.InFlight()
}

// mustLeaveReserve reports whether a request must leave capacity to interactive
// ones: a rollout on a service, which does not honor priorities, if the pool's
// limits add up to more than the reserve.
func mustLeaveReserve(req *Request, in []*Candidate) bool {
	if req.Class == deployment.ClassInteractive || len(in) == 0 || in[0].Kind == platform.EngineMember {
		return false
	}
	return lo.SumBy(in, func(c *Candidate) int { return c.Limit }) > interactiveReserve
}
