package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

// Policy selects the methods that shorten the wait for the last rollouts of a step.
type Policy struct {
	// Order starts the rollouts with the most expected tokens remaining first, after one rollout
	// of each group whose prompt has an unknown length.
	Order bool
	// Hedge starts a second attempt for a rollout that is slow on its engine.
	Hedge bool
	// Spares starts the spare groups that the trainer's SpareGroupRatio allows.
	Spares bool
	// Resume continues an interrupted rollout from its output so far, usually on another
	// engine.
	Resume bool
	// Spread distributes rollouts over all hosts.
	Spread bool
}

// policyWithout returns a policy with all methods but the named ones. The names are those of
// settings.Rollout.
func policyWithout(off []string) Policy {
	return Policy{
		Order:  !slices.Contains(off, "order"),
		Hedge:  !slices.Contains(off, "hedge"),
		Spares: !slices.Contains(off, "spares"),
		Resume: !slices.Contains(off, "resume"),
		Spread: !slices.Contains(off, "spread"),
	}
}

const (
	// hedgeDelay is how long an attempt runs before its speed is judged.
	hedgeDelay = time.Second
	// hedgeSpeedRatio is the fraction of the fastest known speed below which an attempt is
	// hedged, and below which an engine is too slow to run a hedge.
	hedgeSpeedRatio = 0.5
	// hedgeBudgetRatio is the fraction of the allowed rollouts that may be hedges, rounded up to
	// at least one hedge.
	hedgeBudgetRatio = 0.1
	// minBackoff is the wait after a failed attempt; it doubles with each consecutive failure.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is the longest wait after a failed attempt.
	maxBackoff = 2 * time.Second
	// maxAvoidedEngines is the number of engines, the most recently failed, that the next
	// attempt of a slot avoids.
	maxAvoidedEngines = 2
	// maxBufferedBytes is the size of finished groups waiting to be committed, in bytes, above
	// which no rollout is started.
	maxBufferedBytes = 16 << 20
)

// maxSealAge is the largest age of a sample, in versions, with which a step is sealed at the
// first try. With the goal MinimizeStaleness, half of the staleness bound is kept in reserve for
// versions that are published between seal and fetch.
func maxSealAge(cfg deployment.Trainer) uint64 {
	if cfg.SchedulingGoal == deployment.MinimizeStaleness {
		return cfg.StalenessBound / 2
	}
	return cfg.StalenessBound
}

// groupsToStart returns the number of groups of a step to generate, spares included.
func groupsToStart(cfg deployment.Trainer, policy Policy, s stepRow) int {
	if !policy.Spares {
		return s.Needed
	}
	spares := int(math.Ceil(cfg.SpareGroupRatio * float64(s.Needed)))
	return min(s.Groups, s.Needed+spares)
}

// needsRollouts reports whether a step still needs rollouts.
func needsRollouts(s stepRow) bool { return s.State == trainerapi.StepRunning }
