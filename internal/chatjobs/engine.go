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

// Engine runs rollouts as chat completions. It implements job.Engine.
type Engine struct{ engines generator }

// piece is the data of an event: a chunk of a completion.
type piece struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	// Finish is the finish reason; empty but for the last piece.
	Finish string `json:"finish,omitempty"`
}

// Generate implements job.Engine.
func (e *Engine) Generate(ctx context.Context, target fleet.Replica, run job.GenerateRequest, sink func(job.Event) error) error {
	req, whole, err := chatRequest(run)
	if err != nil || whole {
		return err
	}
	_, err = e.engines.Generate(ctx, target.Upstream(), req, func(chunk engineapi.ChatChunk) error {
		p := piece{Text: chunk.Choices[0].Delta.Content, Tokens: chunk.Tokens, Finish: chunk.Choices[0].FinishReason}
		data, err := json.Marshal(p)
		if err != nil {
			return failure.Wrap(err, failure.Internal, "", "piece can't be encoded")
		}
		return sink(job.Event{Data: string(data), Version: chunk.WeightVersion})
	})
	return err
}

// chatRequest returns the request that goes on behind a run's text. whole is
// true if nothing is left to be generated.
func chatRequest(run job.GenerateRequest) (req engineapi.ChatRequest, whole bool, err error) {
	var rollout trainerapi.JobRollout
	if err := json.Unmarshal(run.Rollout.Body, &rollout); err != nil {
		return req, false, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "rollout %s can't be read", run.Rollout.ID)
	}
	var prior strings.Builder
	tokens := 0
	for _, event := range run.PriorEvents {
		p, err := pieceOf(event.Data)
		if err != nil {
			return req, false, err
		}
		prior.WriteString(p.Text)
		tokens += p.Tokens
		whole = whole || p.Finish != ""
	}
	return engineapi.ChatRequest{
		Model: run.Model, Messages: rollout.Messages, MaxTokens: max(1, rollout.MaxTokens-tokens), Stream: true,
		RequestID: run.Rollout.ID + "/" + uuid.NewString(), Priority: engineapi.PriorityRollout,
		Prior: prior.String(), PriorTokens: tokens,
	}, whole, nil
}

func pieceOf(data string) (piece, error) {
	var p piece
	if err := json.Unmarshal([]byte(data), &p); err != nil {
		return p, failure.Wrap(err, failure.InvalidRequest, failure.Ran, "a piece of a rollout can't be read")
	}
	return p, nil
}

// sampleOf turns a listed result into what its trainer reads.
func sampleOf(job string, result job.Result) (trainerapi.JobResult, error) {
	sample := trainerapi.JobResult{ID: strings.TrimPrefix(result.ID, job+"/"), State: string(result.State), Versions: result.Versions}
	if result.Text == "" {
		return sample, nil
	}
	var text strings.Builder
	for line := range strings.SplitSeq(result.Text, "\n") {
		p, err := pieceOf(line)
		if err != nil {
			return sample, err
		}
		text.WriteString(p.Text)
		sample.Tokens += p.Tokens
		sample.FinishReason = p.Finish
	}
	sample.Text = text.String()
	return sample, nil
}
