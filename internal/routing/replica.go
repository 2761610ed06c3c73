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
	// minBackoff is how long after one failure a replica is picked only if no
	// others are left. It doubles with each further failure up to maxBackoff, which
	// is short because a replica may fail right before it recovers.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// engineQueueShare sets the longest acceptable queue on an engine: one request
	// plus this share of its slots.
	engineQueueShare = 0.25
	// serviceQueueShare is the longest acceptable queue on a service, as a share of its slots.
	serviceQueueShare = 0.05
	// minSpareShare is the share of a service's slots that must be free for a report to
	// raise the limit. All hosts read the same report, and near full use they would
	// raise their limits together and fill a queue.
	minSpareShare = 0.125
)

// replica is this host's record of one upstream.
type replica struct {
	view     Candidate
	limit    *limit.Adaptive
	estimate loadEstimate
	// prefixes is nil for services.
	prefixes *prefixIndex
	// failures is the number of refused or failed attempts since the last successful one.
	failures int
}

func newReplica(u membership.Upstream, maxConcurrent int) *replica {
	r := &replica{limit: limit.New(maxConcurrent)}
	r.view.Upstream = u
	if u.Kind == platform.EngineMember {
		r.prefixes = newPrefixIndex()
	}
	return r
}

// isEngine reports whether the replica runs generations.
func (r *replica) isEngine() bool { return r.prefixes != nil }

func (r *replica) addInFlight(class deployment.Class, n int) {
	if class == deployment.ClassInteractive {
		r.view.Interactive += n
		return
	}
	r.view.Rollout += n
}

// candidate returns the replica as filters, scorers and the picker see it for a request.
func (r *replica) candidate(req *Request, maxConcurrent int, now time.Time) *Candidate {
	r.view.Limit = r.limit.Limit()
	r.view.Load = r.estimate.utilization(r.view.InFlight(), maxConcurrent, now)
	r.view.CachedBlocks = 0
	if r.isEngine() {
		r.view.CachedBlocks = r.prefixes.match(req.Prefix, now)
	}
	return &r.view
}

// attemptEnded records the result of an attempt that began at since.
func (r *replica) attemptEnded(result Result, since, now time.Time) {
	switch result {
	case Succeeded:
		r.failures = 0
		r.view.RetryAt = time.Time{}
		if !r.isEngine() {
			r.limit.ObserveLatency(now.Sub(since), r.view.InFlight()+1, now)
		}
	case Refused, Failed:
		r.failures++
		r.view.RetryAt = now.Add(pause.Backoff(minBackoff, maxBackoff, r.failures))
		r.limit.ObserveFailure(now)
	case Cancelled:
	}
}

// loadReported applies a load report. The limit of an engine follows the
// engine's queue, because its latency depends on the length of its answers. The
// limit of a service follows its latency. But a host that has only seen the
// service with a queue takes the queueing delay for normal latency, so a long
// queue in the report lowers the limit too, and many free slots raise it.
// A report without slots changes no limit.
func (r *replica) loadReported(report engineapi.LoadReport, now time.Time) {
	r.estimate.setReport(report, now)
	switch {
	case report.Slots <= 0:
	case r.isEngine():
		busy := float64(report.Waiting) > 1+engineQueueShare*float64(report.Slots)
		r.limit.ObserveQueue(busy, r.view.InFlight())
	case float64(report.Waiting) > serviceQueueShare*float64(report.Slots):
		r.limit.ObserveOverload(report.Slots, report.Running+report.Waiting, now)
	default:
		r.limit.ObserveNoOverload()
		if report.Waiting == 0 && float64(report.Slots-report.Running) > minSpareShare*float64(report.Slots) {
			r.limit.ObserveSpare(report.Slots-report.Running, report.Running, r.view.InFlight())
		}
	}
}
