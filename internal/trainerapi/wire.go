// Package trainerapi holds the wire types of the HTTP APIs that hosts serve to trainers. A "wait"
// query makes the request wait for data; it is a duration from "0s" to "1m0s", "0s" if absent.
//
// Steps: the trainer requests the samples of a training step, fetches and acknowledges them.
//
//	POST   /v1/trainers/{trainer}/steps/{n}          StepRequest -> 202 StepProgress (idempotent; 409 if n exists with different content)
//	GET    /v1/trainers/{trainer}/steps/{n}          200 StepProgress
//	GET    /v1/trainers/{trainer}/steps/{n}/samples  200 StepSamples once sealed; 202 StepProgress before; query "wait";
//	                                                 409 samples_stale if the samples were delivered before and have exceeded the
//	                                                 staleness bound since: a trainer that lost them cancels the step and requests another;
//	                                                 409 if the step is acknowledged or cancelled
//	POST   /v1/trainers/{trainer}/steps/{n}/ack      200 StepProgress (idempotent; 409 if the samples were never delivered or the step is cancelled)
//	DELETE /v1/trainers/{trainer}/steps/{n}          200 StepProgress (cancels the step; idempotent; 409 if acknowledged)
//
// Jobs: the trainer submits a set of chat completions and reads their results as they end.
//
//	POST   /v1/jobs/{trainer}/{job}                     JobRequest -> 202 JobAccepted (idempotent)
//	GET    /v1/jobs/{trainer}/{job}/results             200 JobResults; queries "after" (position, 0 if absent) and "wait"
//	GET    /v1/jobs/{trainer}/{job}/rollouts/{rollout}  200 JobRollout
//	DELETE /v1/jobs/{trainer}/{job}                     200 (idempotent)
package trainerapi

import "github.com/sapphirehatch/sapphirehatch/internal/engineapi"

// PathTrainers is the path prefix of the step endpoints.
const PathTrainers = "/v1/trainers/"

// StepRequest requests the samples of one training step.
type StepRequest struct {
	// Groups holds one prompt for each group, at least one.
	Groups []GroupRequest `json:"groups"`
	// GroupsNeeded is the number of groups after which the step is complete; zero means all.
	// The groups beyond it are spares: the trainer's section of the deployment document says
	// how many of them are started.
	GroupsNeeded int `json:"groups_needed,omitempty"`
	// GroupSize is the number of rollouts per group, 1 to 1024.
	GroupSize int `json:"group_size"`
	// MaxTokens is the largest length of each rollout, in tokens, 1 to 1048576.
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
	// StepRunning: groups are being generated.
	StepRunning StepState = "running"
	// StepSealed: the samples can be fetched. Before the first fetch the step becomes
	// StepRunning again if samples exceed the staleness bound.
	StepSealed StepState = "sealed"
	// StepAcknowledged: the trainer has the samples; final.
	StepAcknowledged StepState = "acknowledged"
	// StepCancelled: the trainer does not need the samples; final.
	StepCancelled StepState = "cancelled"
)

// StepProgress is the progress of a step.
type StepProgress struct {
	Trainer string    `json:"trainer"`
	Step    uint64    `json:"step"`
	State   StepState `json:"state"`
	// Groups is the number of groups that the step needs.
	Groups int `json:"groups"`
	// Committed is the number of groups that are stored, at most Groups.
	Committed int `json:"committed_groups"`
	// Discarded counts the committed groups that were discarded because of their age.
	Discarded int `json:"discarded_groups,omitempty"`
}

// Sample is one finished rollout with its reward.
type Sample struct {
	// ID is unique over all steps of all trainers.
	ID string `json:"id"`
	// Group is the index of the sample's group in the request.
	Group int `json:"group"`
	// Index is the index of the sample within its group.
	Index int    `json:"index"`
	Text  string `json:"text"`
	// Segments lists the weight versions that produced the text, in order, each with its number
	// of tokens.
	Segments     []engineapi.Segment `json:"segments"`
	FinishReason string              `json:"finish_reason"`
	// Reward is from the trainer's scoring service; zero if it has none.
	Reward float64 `json:"reward"`
	// Engine is the id of the engine that produced the last segment.
	Engine string `json:"engine"`
}

// StepSamples is the content of a sealed step. It is the same in each fetch.
type StepSamples struct {
	Trainer string   `json:"trainer"`
	Step    uint64   `json:"step"`
	Samples []Sample `json:"samples"`
}

// ScoreRequest requests the rewards of a group's texts from a scoring service.
type ScoreRequest struct {
	Trainer string              `json:"trainer"`
	Prompt  []engineapi.Message `json:"prompt"`
	Texts   []string            `json:"texts"`
}

// ScoreResponse holds one reward for each text, in the order of the request.
type ScoreResponse struct {
	Rewards []float64 `json:"rewards"`
}

// PathScore is the path of a scoring service. It accepts a ScoreRequest by POST and responds
// with a ScoreResponse.
const PathScore = "/score"

// PathJobs is the path prefix of the job endpoints.
const PathJobs = "/v1/jobs/"

// JobRequest submits a job.
type JobRequest struct {
	// MinVersion is the oldest weight version that may generate a token.
	MinVersion uint64       `json:"min_version,omitempty"`
	Rollouts   []JobRollout `json:"rollouts"`
}

// JobRollout is one chat completion of a job.
type JobRollout struct {
	// ID is unique within the job: 1 to 128 bytes without a slash.
	ID       string              `json:"id"`
	Messages []engineapi.Message `json:"messages"`
	// MaxTokens is the largest length of the completion, in tokens, 1 to 1048576.
	MaxTokens int `json:"max_tokens"`
	// ExpectedTokens is the trainer's estimate of the length, in tokens; zero if it has none.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
}

// JobAccepted confirms that a job is stored.
type JobAccepted struct {
	Job      string `json:"job"`
	Rollouts int    `json:"rollouts"`
}

// JobResults is a page of a job's results. Results are appended as rollouts end, and the
// position of a result never changes.
type JobResults struct {
	// Total is the number of the job's rollouts.
	Total int `json:"total"`
	// Next is the position after the last result of the page, to be used as "after" in the next
	// request.
	Next    int         `json:"next"`
	Results []JobResult `json:"results"`
}

// JobResult is the result of one rollout that has ended.
type JobResult struct {
	ID string `json:"id"`
	// State is "completed", or "dead" if the rollout failed for good.
	State        string `json:"state"`
	Text         string `json:"text"`
	Tokens       int    `json:"tokens"`
	FinishReason string `json:"finish_reason"`
	// Versions lists the weight versions that produced a token of the text, in ascending order.
	Versions []uint64 `json:"versions"`
}
