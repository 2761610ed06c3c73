package rollout

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/weights"
)

// forecast is what is known of a pool's weight versions when a rollout is to be started.
type forecast struct {
	now    time.Time
	newest uint64
	pace   weights.PublishRate
}

// freshAfter reports whether a rollout whose oldest segment has a version will
// be within a bound when it ends after a time.
func (f forecast) freshAfter(oldest uint64, takes time.Duration, bound uint64) bool {
	return age(f.newest+f.pace.Expected(f.now, takes), oldest) <= bound
}

// worthWaiting reports whether a rollout that starts now will end too old, but
// would end fresh if it started right after the next version.
func (f forecast) worthWaiting(takes time.Duration, bound uint64) bool {
	if f.freshAfter(f.newest, takes, bound) {
		return false
	}
	wait := f.pace.UntilNext(f.now)
	if wait == 0 || wait >= takes {
		return false
	}
	later := forecast{now: f.now.Add(wait), newest: f.newest + 1, pace: weights.PublishRate{Last: f.now.Add(wait), Interval: f.pace.Interval}}
	return later.freshAfter(later.newest, takes, bound)
}

// waits reports whether a trainer prefers to leave places unused over starting
// a rollout that would be dropped: its rule weighs staleness, and nothing is lost but time.
func waits(cfg deployment.Trainer, f forecast, takes time.Duration) bool {
	return cfg.Weigh == deployment.WeighStaleness && f.worthWaiting(takes, cfg.StalenessBound)
}
