package job

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	// scoreTimeout bounds one scoring call.
	scoreTimeout = 2 * time.Second
	// scorePause is the wait between two scoring calls that failed.
	scorePause = 100 * time.Millisecond
	// scoringAtOnce bounds the scoring calls of a host in progress. Rollouts end in
	// bursts, and the services that score them serve customers, too.
	scoringAtOnce = 10
	// scoreAttempts is how many calls, each tried at several replicas, may end
	// with a failure of the service before the rollout is given up.
	scoreAttempts = 2
)

// score has a whole text scored and hands the result on to be listed.
func (r *run) score(it *item, _ Rule) {
	r.mu.Lock()
	events := it.events
	r.mu.Unlock()
	if it.rollout.Score == nil {
		r.finish(it, completed(events, "", ""))
		return
	}
	failures := 0
	select {
	case r.m.scoring <- struct{}{}:
		defer func() { <-r.m.scoring }()
	case <-r.ctx.Done():
		return
	}
	for r.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(r.ctx, scoreTimeout)
		signature, err := r.m.scorer.Score(ctx, *it.rollout.Score)
		cancel()
		if err == nil {
			r.finish(it, completed(events, signature, it.rollout.Score.ID))
			return
		}
		e := failure.As(err)
		if e.Kind == failure.UpstreamFailed && e.Outcome == failure.Ran {
			failures++
		}
		if r.ctx.Err() == nil {
			r.log.Info("scoring failed", "rollout", it.rollout.ID, "failures", failures, "error", oneLine(err))
		}
		if failures >= scoreAttempts {
			r.finish(it, Result{State: Dead})
			return
		}
		select {
		case <-time.After(scorePause):
		case <-r.ctx.Done():
		}
	}
}
