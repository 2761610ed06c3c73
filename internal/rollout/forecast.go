package rollout

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/weights"
)

// forecast predicts the age of rollouts from the weight versions of a pool and the rate at
// which new ones are published.
type forecast struct {
	now    time.Time
	newest uint64
	rate   weights.PublishRate
}

// freshAfter reports whether a rollout with the given oldest version will be within the bound
// when it ends after the given duration.
func (f forecast) freshAfter(oldest uint64, duration time.Duration, bound uint64) bool {
	return age(f.newest+f.rate.Expected(f.now, duration), oldest) <= bound
}

// worthWaiting reports whether a rollout that starts now would exceed the bound at its end, but
// would be within it if it started right after the next version.
func (f forecast) worthWaiting(duration time.Duration, bound uint64) bool {
	if f.freshAfter(f.newest, duration, bound) {
		return false
	}
	wait := f.rate.UntilNext(f.now)
	if wait == 0 || wait >= duration {
		return false
	}
	later := forecast{now: f.now.Add(wait), newest: f.newest + 1, rate: weights.PublishRate{Last: f.now.Add(wait), Interval: f.rate.Interval}}
	return later.freshAfter(later.newest, duration, bound)
}

// shouldWait reports whether to leave capacity unused instead of starting a rollout that would
// be discarded. It returns true only for trainers with the goal MinimizeStaleness.
func shouldWait(cfg deployment.Trainer, f forecast, duration time.Duration) bool {
	return cfg.SchedulingGoal == deployment.MinimizeStaleness && f.worthWaiting(duration, cfg.StalenessBound)
}
