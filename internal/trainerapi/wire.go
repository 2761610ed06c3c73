// Package trainerapi holds the wire types between trainers and hosts.
//
//	POST   /v1/trainers/{trainer}/steps/{n}          StepRequest -> 202 StepProgress (idempotent; 409 if n exists with other content)
//	GET    /v1/trainers/{trainer}/steps/{n}          200 StepProgress
//	GET    /v1/trainers/{trainer}/steps/{n}/samples  200 StepSamples once sealed; 202 StepProgress before; query "wait" (duration);
//	                                                 409 samples_stale if the samples, delivered before, have passed the staleness
//	                                                 bound since: a trainer that does not have them cancels the step and asks for another
//	POST   /v1/trainers/{trainer}/steps/{n}/ack      200 StepProgress
//	DELETE /v1/trainers/{trainer}/steps/{n}          200 StepProgress
//
//	POST   /v1/jobs/{trainer}/{job}                     JobRequest -> 202 JobAccepted (idempotent)
//	GET    /v1/jobs/{trainer}/{job}/results             200 JobResults; queries "after" (position) and "wait" (duration)
//	GET    /v1/jobs/{trainer}/{job}/rollouts/{rollout}  200 JobRollout
//	DELETE /v1/jobs/{trainer}/{job}                     200 (idempotent)
package trainerapi

import "github.com/sapphirehatch/sapphirehatch/internal/engineapi"

// PathTrainers is the prefix of the trainer API.
const PathTrainers = "/v1/trainers/"

// StepRequest asks for the samples of one training step.
type StepRequest struct {
	// Groups holds one prompt for each group.
	Groups []GroupRequest `json:"groups"`
	// GroupsNeeded is the number of groups after which the step is complete; zero
	// means all. The groups beyond it are spares, of which the trainer's rule says how many are started.
	GroupsNeeded int `json:"groups_needed,omitempty"`
	// GroupSize is the number of rollouts a group.
	GroupSize int `json:"group_size"`
	// MaxTokens bounds each rollout, in tokens.
	MaxTokens int `json:"max_tokens"`
}

// GroupRequest is the prompt of one group.
type GroupRequest struct {
	Messages []engineapi.Message `json:"messages"`
	// ExpectedTokens is the trainer's estimate of a rollout's length, in tokens; zero if it has none.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
}

// StepState is the state of a step.
type StepState string

// States of a step.
const (
	StepRunning      StepState = "running"
	StepSealed       StepState = "sealed"
	StepAcknowledged StepState = "acknowledged"
	StepCancelled    StepState = "cancelled"
)

// StepProgress reports on a step.
type StepProgress struct {
	Trainer   string    `json:"trainer"`
	Step      uint64    `json:"step"`
	State     StepState `json:"state"`
	Groups    int       `json:"groups"`
	Committed int       `json:"committed_groups"`
	// Discarded counts the committed groups that were dropped because they grew stale, and generated again.
	Discarded int `json:"discarded_groups,omitempty"`
}

// Sample is one rollout.
type Sample struct {
	// ID is unique over all steps of all trainers.
	ID    string `json:"id"`
	Group int    `json:"group"`
	Index int    `json:"index"`
	Text  string `json:"text"`
	// Segments names the weight versions that produced the text, in order.
	Segments     []engineapi.Segment `json:"segments"`
	FinishReason string              `json:"finish_reason"`
	Reward       float64             `json:"reward"`
	// Engine is the id of the engine that produced the last segment.
	Engine string `json:"engine"`
}

// StepSamples is the content of a sealed step; the same on each fetch.
type StepSamples struct {
	Trainer string   `json:"trainer"`
	Step    uint64   `json:"step"`
	Samples []Sample `json:"samples"`
}

// ScoreRequest asks a scoring service for rewards.
type ScoreRequest struct {
	Trainer string              `json:"trainer"`
	Prompt  []engineapi.Message `json:"prompt"`
	Texts   []string            `json:"texts"`
}

// ScoreResponse holds one reward for each text.
type ScoreResponse struct {
	Rewards []float64 `json:"rewards"`
}

// PathScore is the path of a scoring service; it takes a ScoreRequest.
const PathScore = "/score"

// PathJobs is the prefix of the job API.
const PathJobs = "/v1/jobs/"

// JobRequest hands in a job.
type JobRequest struct {
	// MinVersion is the oldest version of the weights that may generate a token.
	MinVersion uint64       `json:"min_version,omitempty"`
	Rollouts   []JobRollout `json:"rollouts"`
}

// JobRollout is one completion of a job.
type JobRollout struct {
	// ID is unique within the job.
	ID       string              `json:"id"`
	Messages []engineapi.Message `json:"messages"`
	// MaxTokens bounds the completion, in tokens.
	MaxTokens int `json:"max_tokens"`
	// ExpectedTokens is the trainer's estimate of its length, in tokens; zero if it has none.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
}

// JobAccepted says that a job is kept.
type JobAccepted struct {
	Job      string `json:"job"`
	Rollouts int    `json:"rollouts"`
}

// JobResults are results of a job from a position on. A position keeps its result.
type JobResults struct {
	// Total is the number of the job's rollouts.
	Total int `json:"total"`
	// Next is the position behind the last result.
	Next    int         `json:"next"`
	Results []JobResult `json:"results"`
}

// JobResult is one ended rollout.
type JobResult struct {
	ID string `json:"id"`
	// State is "completed" or "dead".
	State        string `json:"state"`
	Text         string `json:"text"`
	Tokens       int    `json:"tokens"`
	FinishReason string `json:"finish_reason"`
	// Versions are all versions of the weights that produced a token of the text, ascending.
	Versions []uint64 `json:"versions"`
}
