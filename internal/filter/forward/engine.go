package forward

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

// callerGone is the kind of failure when the caller has disconnected.
const callerGone = failure.Kind("caller_gone")

// generate runs a completion on an engine. It streams the answer if r.Stream is
// set. After a failed attempt it continues from r.Partial.
func (f *Forward) generate(ctx context.Context, r *filter.Request) error {
	finish := ""
	got, err := f.engines.Generate(ctx, r.Upstream, engineRequest(r), func(chunk engineapi.ChatChunk) error {
		if r.FirstByte.IsZero() {
			r.FirstByte = time.Now()
		}
		if len(chunk.Choices) > 0 {
			finish = chunk.Choices[0].FinishReason
		}
		chunk.Offset += r.Partial.Tokens
		return sendChunk(r, chunk)
	})
	r.Partial = appendGeneration(r.Partial, got)
	if err != nil && finish == "" {
		if !limitReached(r) {
			return err
		}
		finish = engineapi.FinishLength
		if err := sendChunk(r, finishChunk(r)); err != nil {
			return err
		}
	}
	if r.Stream != nil {
		return finishStream(r)
	}
	if finish != "" {
		r.Partial.FinishReason = finish
	}
	return writeAnswer(r, r.Partial)
}

// limitReached reports whether as many tokens as requested have arrived. If so,
// the generation is complete even if the finish reason was lost.
func limitReached(r *filter.Request) bool {
	return r.Chat.MaxTokens > 0 && r.Partial.Tokens >= r.Chat.MaxTokens
}

// finishChunk returns the final chunk of a completion whose engine did not send it.
func finishChunk(r *filter.Request) engineapi.ChatChunk {
	return engineapi.ChatChunk{
		Object:  "chat.completion.chunk",
		Model:   r.Chat.Model,
		Choices: []engineapi.ChunkChoice{{FinishReason: engineapi.FinishLength}},
		Offset:  r.Partial.Tokens,
	}
}

// engineRequest returns the engine request for the rest of a completion, after
// r.Partial.
func engineRequest(r *filter.Request) engineapi.ChatRequest {
	req := *r.Chat
	req.RequestID = r.ID
	if r.Attempt > 1 {
		req.RequestID += "-" + strconv.Itoa(r.Attempt)
	}
	req.Stream = true
	req.Priority = engineapi.PriorityInteractive
	req.ResumeFrom = 0
	req.Prior = r.Partial.Text
	req.PriorTokens = r.Partial.Tokens
	if req.MaxTokens > 0 {
		req.MaxTokens -= r.Partial.Tokens
	}
	return req
}

// appendGeneration appends the result of a later attempt to that of earlier ones.
func appendGeneration(earlier, later upstream.Generation) upstream.Generation {
	if earlier.Tokens == 0 {
		return later
	}
	later.PromptTokens, later.CachedTokens = earlier.PromptTokens, earlier.CachedTokens
	later.Text = earlier.Text + later.Text
	later.Tokens += earlier.Tokens
	later.Segments = append(slices.Clone(earlier.Segments), later.Segments...)
	return later
}

func sendChunk(r *filter.Request, chunk engineapi.ChatChunk) error {
	if r.Stream == nil {
		return nil
	}
	chunk.ID = r.ID
	data, err := json.Marshal(chunk)
	if err != nil {
		return failure.Wrap(err, failure.Internal, failure.Ran, "chunk cannot be encoded")
	}
	return send(r, data)
}

func finishStream(r *filter.Request) error { return send(r, []byte(engineapi.StreamEnd)) }

func send(r *filter.Request, data []byte) error {
	err := r.Stream.Send(data)
	if errors.Is(err, context.DeadlineExceeded) {
		return failure.Wrap(err, failure.DeadlineExceeded, failure.Ran, "the deadline passed before the answer was complete")
	}
	if err != nil {
		return failure.Wrap(err, callerGone, failure.Ran, "the caller has disconnected")
	}
	return nil
}

func writeAnswer(r *filter.Request, got upstream.Generation) error {
	body, err := json.Marshal(engineapi.ChatResponse{
		ID:     r.ID,
		Object: "chat.completion",
		Model:  r.Chat.Model,
		Choices: []engineapi.ChatChoice{{
			Message:      engineapi.Message{Role: "assistant", Content: got.Text},
			FinishReason: got.FinishReason,
		}},
		Usage: engineapi.Usage{
			PromptTokens:     got.PromptTokens,
			CachedTokens:     got.CachedTokens,
			CompletionTokens: got.Tokens,
		},
		Segments: got.Segments,
	})
	if err != nil {
		return failure.Wrap(err, failure.Internal, failure.Ran, "the answer cannot be encoded")
	}
	r.Answer.Reset()
	r.Answer.SetStatusCode(fasthttp.StatusOK)
	r.Answer.Header.SetContentType("application/json")
	r.Answer.SetBody(body)
	return nil
}
