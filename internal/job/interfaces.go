package job

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
)

// GenerateRequest is one attempt to generate a rollout at an engine.
type GenerateRequest struct {
	Rollout *Rollout
	// Host is the HTTP host name of the job's route.
	Host string
	// Team is the name of the job's team; empty if it has none.
	Team string
	// HasTeams is Rule.HasTeams of the job.
	HasTeams bool
	Model    string
	// ResumeAfter is the number of events that exist already; the engine continues
	// after them.
	ResumeAfter int
	// PriorEvents holds these events. It must not be changed.
	PriorEvents []Event
	// Version is the required weight version; zero accepts any.
	Version uint64
	// Began, if not nil, is called once the engine begins to answer, which may be some
	// time before the first event.
	Began func()
}

// Engine sends rollouts to engines.
type Engine interface {
	// Generate makes one attempt and calls sink for each event in order. An error
	// of sink ends the attempt. It returns nil only for a complete stream. Other
	// errors are *failure.Error, with kind QueueFull if the engine did not run the
	// rollout, UpstreamUnreachable if the engine received nothing, UpstreamFailed
	// with outcome Ran if the engine answered with a failure, InvalidRequest if no
	// engine can run the rollout, and another kind if the stream broke off.
	Generate(ctx context.Context, target fleet.Replica, request GenerateRequest, sink func(Event) error) error
}

// ScoreAnswer is the answer to a scoring call.
type ScoreAnswer struct {
	// Signature is the signature of a successful answer.
	Signature string
	// Failures is the number of replicas that answered the call with a failure.
	// MaxFailures is the number of such answers over all calls of a rollout at which
	// the rollout is given up; zero if not known.
	Failures, MaxFailures int
}

// Scorer calls the services that score rollouts.
type Scorer interface {
	// Score makes one call, at one or several replicas. The answer is valid also if
	// the error is not nil.
	Score(ctx context.Context, call ScoreCall) (ScoreAnswer, error)
	// ServiceOf returns the name of the service that takes a call, and the number of
	// requests that its replicas run at once; empty and zero if not known.
	ServiceOf(call ScoreCall) (service string, slots int)
}

// Rule holds the settings of the route of a job.
type Rule struct {
	// Service is the name of the engines' service.
	Service string
	// TokenCapacity is the number of tokens that fit into the memory of an engine; zero
	// if not known.
	TokenCapacity int
	// MaxAttempts is the number of attempts answered with a failure after which a
	// rollout is given up; at least one is made.
	MaxAttempts int
	// HasTeams means that the configuration has teams: headers with keys and names of
	// teams must not reach an engine as a trainer wrote them.
	HasTeams bool
	// Priority orders the waiting rollouts of several jobs; 0 is the highest.
	Priority int
	// OnPolicy requires that one weight version generates a whole rollout.
	OnPolicy bool
	// RunDeadline is the time from the acceptance to the job's deadline. Rollouts of
	// jobs with an earlier deadline are placed first.
	RunDeadline time.Duration
	// GiveUpAfter is the time from the acceptance after which unfinished rollouts
	// are given up; zero sets no limit.
	GiveUpAfter time.Duration
}

// Rules looks up the rule of a job.
type Rules interface {
	// JobRule returns the rule of a job that was accepted under version since of the
	// configuration. found is false if the configuration has no route for the job, and
	// known is false if this host has no configuration yet, or one older than since: it
	// can't tell a route that is gone from one that it has not received.
	JobRule(spec *Spec, since uint64) (rule Rule, found, known bool)
}

// Hosts is this host's view of the live hosts.
type Hosts interface {
	// Alive reports whether a process of a host is alive.
	Alive(id, incarnation string) bool
	// Rank returns the rank of a host among the live hosts for a key; 0 is the first.
	// All hosts with the same view compute the same order.
	Rank(key, id string) int
	// PreferredHost returns the live host of rank 0; ok is false if none is known.
	PreferredHost(key string) (id, incarnation string, ok bool)
	// StoreClock returns the last known time of the store clock and the time on
	// this host's clock at which it was requested; both are zero if not known.
	StoreClock() (time.Duration, time.Time)
}
