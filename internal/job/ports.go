package job

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
)

// GenerateRequest is one run of a rollout on an engine.
type GenerateRequest struct {
	Rollout *Rollout
	// Host is the host name of the job's route.
	Host  string
	Model string
	// ResumeAfter is the number of events that are known already; the run goes on behind them.
	ResumeAfter int
	// PriorEvents holds these events. It must not be changed.
	PriorEvents []Event
	// Version demands a version of the weights; zero accepts any.
	Version uint64
}

// Engine runs rollouts.
type Engine interface {
	// Generate streams one run and calls sink for each event in order; an error
	// of sink ends the run. It returns nil only for a whole stream. Other errors
	// are *failure.Error: QueueFull if the engine surely did not run it,
	// UpstreamUnreachable if it got nothing, UpstreamFailed with outcome Ran if
	// it answered that the run failed, InvalidRequest if it never can be run,
	// and any other kind if the stream broke off.
	Generate(ctx context.Context, target fleet.Replica, run GenerateRequest, sink func(Event) error) error
}

// ScoreAnswer is what a scoring call brought.
type ScoreAnswer struct {
	// Signature is that of a successful answer.
	Signature string
	// Failures counts the replicas' answers that the call failed, and MaxFailures is
	// how many of them end the rollout; zero if not known.
	Failures, MaxFailures int
}

// Scorer calls the services that score rollouts.
type Scorer interface {
	// Score makes one call, at one or several replicas. The answer counts also where it fails.
	Score(ctx context.Context, call ScoreCall) (ScoreAnswer, error)
}

// Rule is what the configuration in force says about a job's rollouts.
type Rule struct {
	Service     string
	MaxAttempts int
	Priority    int
	OnPolicy    bool
	// RunDeadline and GiveUpAfter count from the acceptance.
	RunDeadline time.Duration
	GiveUpAfter time.Duration
}

// Rules finds the rule of a job.
type Rules interface {
	// JobRule returns false if the configuration in force has no route for the
	// job, and known false if no configuration is known.
	JobRule(spec *Spec) (rule Rule, found, known bool)
}

// Hosts knows which hosts are alive.
type Hosts interface {
	Alive(id, incarnation string) bool
	// Rank is a host's place in the order of those that take up a piece of work.
	Rank(key, id string) int
	// PreferredHost is the live host that comes first in that order; false if none is known.
	PreferredHost(key string) (id, incarnation string, ok bool)
	// StoreClock returns the store's clock and the time of this host at which it was asked for.
	StoreClock() (time.Duration, time.Time)
}
