package job

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

const (
	// scoreTimeout limits one scoring call.
	scoreTimeout = 2 * time.Second
	// scoreRetryDelay is the delay after a failed scoring call.
	scoreRetryDelay = 100 * time.Millisecond
)

// score records the result of a complete text. If the rollout has a scoring call, it
// repeats that call until it succeeds or has failed too often. If the run ends first,
// no result is recorded.
func (r *jobRun) score(task *rolloutTask) {
	r.mu.Lock()
	events, acceptedMS := task.events, r.owner.AcceptedMS
	r.mu.Unlock()
	if task.rollout.Score == nil {
		r.finish(task, completed(events, "", ""))
		return
	}
	failures := 0
	complete := time.Now()
	gate := r.m.scoringGateFor(*task.rollout.Score)
	if !gate.acquire(r.ctx, acceptedMS) {
		return
	}
	defer gate.release()
	waited := time.Since(complete)
	for r.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(r.ctx, scoreTimeout)
		answer, err := r.m.scorer.Score(ctx, *task.rollout.Score)
		cancel()
		if err == nil {
			r.log.Info("rollout scored", "rollout", task.rollout.ID, "call", task.rollout.Score.ID, "events", len(events), "failures", failures, "waited", waited, "took", time.Since(complete))
			r.finish(task, completed(events, answer.Signature, task.rollout.Score.ID))
			return
		}
		failures += answer.Failures
		if r.ctx.Err() == nil {
			r.m.events.Event("scoring_failed")
			r.log.Info("scoring failed", "rollout", task.rollout.ID, "failures", failures, "error", oneLine(err))
		}
		if answer.MaxFailures > 0 && failures >= answer.MaxFailures {
			r.log.Info("rollout given up", "rollout", task.rollout.ID, "reason", "its scoring call failed", "failures", failures, "allowed", answer.MaxFailures)
			r.finish(task, Result{State: Dead})
			return
		}
		pause.For(r.ctx, scoreRetryDelay)
	}
}
