package routing

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/limit"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// firstBackoff is how long a replica is left alone after one failure; it
	// doubles with each further failure up to lastBackoff, so that a replica that
	// failed last right before its recovery is back soon after it.
	firstBackoff = 250 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// waitingShare is the share of an engine's slots that may wait there.
	waitingShare = 0.25
	// serviceWaitingShare is the share of a service's slots that may wait there.
	serviceWaitingShare = 0.05
)

// replica is this host's record of one upstream.
type replica struct {
	view     Candidate
	limit    *limit.Adaptive
	estimate loadEstimate
	index    *prefixIndex
	failures int
}

func newReplica(u membership.Upstream, maxConcurrent int) *replica {
	r := &replica{limit: limit.New(maxConcurrent)}
	r.view.Upstream = u
	if u.Kind == platform.EngineMember {
		r.index = newPrefixIndex()
	}
	return r
}

// isEngine reports whether the replica runs generations.
func (r *replica) isEngine() bool { return r.index != nil }

func (r *replica) add(class deployment.Class, n int) {
	if class == deployment.Interactive {
		r.view.Interactive += n
		return
	}
	r.view.Rollout += n
}

// candidate returns the replica as the plugins see it for a request.
func (r *replica) candidate(req *Request, maxConcurrent int, now time.Time) *Candidate {
	r.view.Limit = r.limit.Limit()
	r.view.Load = r.estimate.share(r.view.InFlight(), maxConcurrent, now)
	r.view.Cached = 0
	if r.isEngine() {
		r.view.Cached = r.index.match(req.Prefix, now)
	}
	return &r.view
}

// finished records how an attempt that began at since ended.
func (r *replica) finished(result Result, since, now time.Time) {
	switch result {
	case Succeeded:
		r.failures = 0
		r.view.RetryAt = time.Time{}
		if !r.isEngine() {
			r.limit.Answered(now.Sub(since), r.view.InFlight()+1, now)
		}
	case Refused, Failed:
		r.failures++
		r.view.RetryAt = now.Add(pause.Doubled(firstBackoff, lastBackoff, r.failures))
		r.limit.Failed(now)
	case Cancelled:
	}
}

// reported takes a load report. An engine's latency depends on the length of
// its answers, so its limit follows its own queue instead. A service's limit
// follows its latency, but a host that never saw the service without a queue
// takes the queue's time for the service's own; the report tells it.
func (r *replica) reported(report engineapi.Load, now time.Time) {
	r.estimate.take(report, now)
	switch {
	case report.Slots <= 0:
	case r.isEngine():
		busy := float64(report.Waiting) > 1+waitingShare*float64(report.Slots)
		r.limit.Queueing(busy, r.view.InFlight())
	case float64(report.Waiting) > serviceWaitingShare*float64(report.Slots):
		r.limit.Overfull(report.Slots, report.Running+report.Waiting)
	}
}
