package chatjobs

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/google/uuid"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/job"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

// generator is the part of upstream.Engine that this package uses.
type generator interface {
	Generate(ctx context.Context, target membership.Upstream, req engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error)
}

// Engine runs rollouts as chat completions on engine replicas. It implements job.Engine.
type Engine struct{ client generator }

// eventData is the data of a job.Event, in JSON: one chunk of a completion and its
// number of tokens.
type eventData struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	// Finish is the finish reason; empty except in the last chunk.
	Finish string `json:"finish,omitempty"`
}

// Generate implements job.Engine. It continues after the attempt's prior events, and returns
// nil at once if these are already complete.
func (e *Engine) Generate(ctx context.Context, target fleet.Replica, attempt job.GenerateRequest, sink func(job.Event) error) error {
	req, finished, err := chatRequest(attempt)
	if err != nil || finished {
		return err
	}
	_, err = e.client.Generate(ctx, target.Upstream(), req, func(chunk engineapi.ChatChunk) error {
		d := eventData{Text: chunk.Choices[0].Delta.Content, Tokens: chunk.Tokens, Finish: chunk.Choices[0].FinishReason}
		data, err := json.Marshal(d)
		if err != nil {
			return failure.Wrap(err, failure.Internal, "", "cannot encode a chunk")
		}
		return sink(job.Event{Data: string(data), Version: chunk.WeightVersion})
	})
	return err
}

// chatRequest returns the request that continues after an attempt's prior events. finished is true
// if one of these has a finish reason, so nothing is left to be generated.
func chatRequest(attempt job.GenerateRequest) (req engineapi.ChatRequest, finished bool, err error) {
	var rollout trainerapi.JobRollout
	if err := json.Unmarshal(attempt.Rollout.Body, &rollout); err != nil {
		return req, false, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "cannot decode rollout %s", attempt.Rollout.ID)
	}
	var prior strings.Builder
	tokens := 0
	for _, event := range attempt.PriorEvents {
		d, err := decodeEventData(event.Data)
		if err != nil {
			return req, false, err
		}
		prior.WriteString(d.Text)
		tokens += d.Tokens
		finished = finished || d.Finish != ""
	}
	return engineapi.ChatRequest{
		Model: attempt.Model, Messages: rollout.Messages, MaxTokens: max(1, rollout.MaxTokens-tokens), Stream: true,
		RequestID: attempt.Rollout.ID + "/" + uuid.NewString(), Priority: engineapi.PriorityRollout,
		PriorText: prior.String(), PriorTokens: tokens,
	}, finished, nil
}

func decodeEventData(data string) (eventData, error) {
	var d eventData
	if err := json.Unmarshal([]byte(data), &d); err != nil {
		return d, failure.Wrap(err, failure.InvalidRequest, failure.Ran, "cannot decode a stored chunk of a rollout")
	}
	return d, nil
}

// jobResultOf converts a stored result to the form that the trainer reads. job is the job's id
// in the store.
func jobResultOf(job string, result job.Result) (trainerapi.JobResult, error) {
	answer := trainerapi.JobResult{ID: strings.TrimPrefix(result.ID, job+"/"), State: string(result.State), Versions: result.Versions}
	if result.Text == "" {
		return answer, nil
	}
	var text strings.Builder
	for line := range strings.SplitSeq(result.Text, "\n") {
		d, err := decodeEventData(line)
		if err != nil {
			return answer, err
		}
		text.WriteString(d.Text)
		answer.Tokens += d.Tokens
		answer.FinishReason = d.Finish
	}
	answer.Text = text.String()
	return answer, nil
}
