package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
)

// slotID identifies one rollout of a step: its group, and its index within the group.
type slotID struct {
	group int
	index int
}

// attempt is one execution of a rollout on one engine.
type attempt struct {
	step *stepRun
	id   slotID
	job  job
	// prior is the output of earlier attempts, which this attempt continues.
	prior  output
	hedge  bool
	cancel context.CancelFunc
	// progress is updated while the attempt runs, on this host or another.
	progress *progress
}

// attemptResult is the result of an attempt. The output includes the prior output; it is
// complete if err is nil.
type attemptResult struct {
	attempt *attempt
	output  output
	err     error
}

// oldest returns the oldest weight version in the output so far, and false if there is no token
// yet.
func (a *attempt) oldest() (uint64, bool) {
	prior, havePrior := a.prior.oldest()
	current, haveCurrent := a.progress.snapshot().oldest()
	switch {
	case havePrior && haveCurrent:
		return min(prior, current), true
	case havePrior:
		return prior, true
	}
	return current, haveCurrent
}

// outputSoFar returns the output up to now. It returns false if the text is on another host; it
// then requests the text, which is available in a later call.
func (a *attempt) outputSoFar() (output, bool) {
	s := a.progress.snapshot()
	if !s.hasText() {
		a.progress.requestText()
		return output{}, false
	}
	return a.prior.extend(s.generation(), s.EngineID), true
}

// newAttempt prepares an attempt that continues a rollout after prior. The expected length is
// that of the whole rollout, in tokens.
func (s *stepRun) newAttempt(id slotID, prior output, expected int, avoid []string) *attempt {
	return &attempt{
		step:     s,
		id:       id,
		prior:    prior,
		progress: &progress{},
		job: job{
			Pool:     s.cfg.EnginePool,
			Expected: max(0, expected-prior.Tokens),
			Avoid:    avoid,
			Bound:    maxSealAge(s.cfg),
			Chat:     s.chatRequest(id, prior),
		},
	}
}

// chatRequest returns the engine request that continues a rollout after prior.
func (s *stepRun) chatRequest(id slotID, prior output) engineapi.ChatRequest {
	return engineapi.ChatRequest{
		Model:       s.model,
		Messages:    s.req.Groups[id.group].Messages,
		MaxTokens:   max(1, s.row.MaxTokens-prior.Tokens),
		Stream:      true,
		Seed:        s.seed(id),
		RequestID:   fmt.Sprintf("%s/%d/%d/%d/%s", s.row.Trainer, s.row.Step, id.group, id.index, uuid.NewString()),
		Priority:    engineapi.PriorityRollout,
		PriorText:   prior.Text,
		PriorTokens: prior.Tokens,
	}
}

// speed returns the generation speed of an attempt and how long it has run on its engine; zeros
// if no engine was picked yet.
func (a *attempt) speed(now time.Time) (tokensPerSecond float64, ran time.Duration) {
	p := a.progress.snapshot()
	if p.EngineID == "" {
		return 0, 0
	}
	ran = now.Sub(p.Started)
	if ran <= 0 {
		return 0, 0
	}
	return float64(p.Tokens) / ran.Seconds(), ran
}
