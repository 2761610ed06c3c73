package chatjobs

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/job"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

// engine is a fake engine client that responds to each request with the same chunks.
type engine struct {
	chunks   []engineapi.ChatChunk
	requests []engineapi.ChatRequest
}

func (e *engine) Generate(_ context.Context, _ membership.Upstream, req engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error) {
	e.requests = append(e.requests, req)
	for _, chunk := range e.chunks {
		if err := onChunk(chunk); err != nil {
			return upstream.Generation{}, err
		}
	}
	return upstream.Generation{}, nil
}

func chunk(text string, version uint64, finish string) engineapi.ChatChunk {
	return engineapi.ChatChunk{Tokens: 2, WeightVersion: version, Choices: []engineapi.ChunkChoice{{Delta: engineapi.Message{Content: text}, FinishReason: finish}}}
}

func TestRolloutGoesOnBehindItsText(t *testing.T) {
	fake := &engine{chunks: []engineapi.ChatChunk{chunk("three ", 8, ""), chunk("four", 9, engineapi.FinishStop)}}
	e := &Engine{fake}
	run := job.GenerateRequest{
		Rollout: &job.Rollout{ID: "t/j/r", Body: []byte(`{"id":"r","messages":[{"role":"user","content":"x"}],"max_tokens":10}`)},
		Model:   "m", ResumeAfter: 1, PriorEvents: []job.Event{{Data: `{"text":"one two ","tokens":4}`, Version: 7}},
	}
	events := run.PriorEvents
	sink := func(e job.Event) error {
		events = append(events, e)
		return nil
	}
	if err := e.Generate(context.Background(), fleet.Replica{ID: "e"}, run, sink); err != nil {
		t.Fatal(err)
	}
	got := fake.requests[0]
	if got.Prior != "one two " || got.PriorTokens != 4 || got.MaxTokens != 6 || got.Model != "m" {
		t.Errorf("request is %+v", got)
	}
	// A text that was complete when its host died is not generated further.
	run.PriorEvents, run.ResumeAfter = events, len(events)
	if err := e.Generate(context.Background(), fleet.Replica{ID: "e"}, run, sink); err != nil || len(fake.requests) != 1 {
		t.Errorf("%d requests, %v", len(fake.requests), err)
	}
	result := job.Result{ID: "t/j/r", State: job.Completed, Versions: []uint64{7, 8, 9}}
	for i, event := range events {
		if i > 0 {
			result.Text += "\n"
		}
		result.Text += event.Data
	}
	sample, err := jobResultOf("t/j", result)
	want := trainerapi.JobResult{ID: "r", State: "completed", Text: "one two three four", Tokens: 8, FinishReason: engineapi.FinishStop, Versions: []uint64{7, 8, 9}}
	if diff := cmp.Diff(want, sample); err != nil || diff != "" {
		t.Errorf("%v\n%s", err, diff)
	}
}

func TestJobRequestIsValidated(t *testing.T) {
	message := []engineapi.Message{{Role: "user", Content: "x"}}
	tests := []struct {
		name  string
		job   trainerapi.JobRequest
		field string
	}{
		{"good", trainerapi.JobRequest{Rollouts: []trainerapi.JobRollout{{ID: "a", Messages: message, MaxTokens: 1}}}, ""},
		{"empty", trainerapi.JobRequest{}, "rollouts"},
		{"no id", trainerapi.JobRequest{Rollouts: []trainerapi.JobRollout{{Messages: message, MaxTokens: 1}}}, "rollout"},
		{"one id twice", trainerapi.JobRequest{Rollouts: []trainerapi.JobRollout{{ID: "a", Messages: message, MaxTokens: 1}, {ID: "a", Messages: message, MaxTokens: 1}}}, "rollouts.id"},
		{"no message", trainerapi.JobRequest{Rollouts: []trainerapi.JobRollout{{ID: "a", MaxTokens: 1}}}, "rollouts.messages"},
		{"no token", trainerapi.JobRequest{Rollouts: []trainerapi.JobRollout{{ID: "a", Messages: message}}}, "rollouts.max_tokens"},
		{"negative expected tokens", trainerapi.JobRequest{Rollouts: []trainerapi.JobRollout{{ID: "a", Messages: message, MaxTokens: 1, ExpectedTokens: -1}}}, "rollouts.expected_tokens"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			spec, err := specOf(call{model: "m", trainer: "t", job: "t/j"}, test.job)
			if test.field == "" {
				if err != nil || spec.Rollouts[0].ID != "t/j/a" {
					t.Errorf("%+v, %v", spec, err)
				}
				return
			}
			if e := failure.As(err); err == nil || e.Kind != failure.InvalidRequest || e.Field != test.field {
				t.Errorf("got %v", err)
			}
		})
	}
}
