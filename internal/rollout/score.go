package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/routing"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

// scoreTimeout bounds one call of a scoring service.
const scoreTimeout = 30 * time.Second

// scorer gets rewards from scoring services.
type scorer struct {
	router   routing.Router
	exchange upstream.Exchanger
}

// scoredGroup is a group with all its samples, and with their rewards if the trainer has a
// scorer.
type scoredGroup struct {
	step    *stepRun
	group   int
	samples []trainerapi.Sample
	// ctx is done if the group is no longer needed.
	ctx context.Context
}

// score calls the scoring service until it returns a reward for each text, or ctx ends. Scoring
// has no side effects and may be repeated.
func (s *scorer) score(ctx context.Context, service string, req trainerapi.ScoreRequest) ([]float64, error) {
	for failures := 1; ; failures++ {
		rewards, err := s.scoreOnce(ctx, service, req)
		if err == nil || !pause.For(ctx, backoff(failures)) {
			return rewards, err
		}
	}
}

func (s *scorer) scoreOnce(ctx context.Context, service string, score trainerapi.ScoreRequest) ([]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, scoreTimeout)
	defer cancel()
	reservation, err := s.router.Reserve(ctx, routing.Request{Pool: service, Class: deployment.ClassRollout})
	if err != nil {
		return nil, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	body, err := encodeJSON(score)
	if err != nil {
		reservation.Done(routing.Cancelled)
		return nil, err
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(trainerapi.PathScore)
	req.Header.SetContentType("application/json")
	req.Header.Set(engineapi.HeaderRequestID, uuid.NewString())
	req.SetBodyRaw(body)
	err = s.exchange.Do(upstream.WithMaxAnswer(ctx, upstream.SmallAnswerBytes), reservation.Upstream(), req, resp)
	reservation.Done(resultOf(ctx, err))
	if err != nil {
		return nil, err
	}
	return readRewards(resp, len(score.Texts))
}

func readRewards(resp *fasthttp.Response, want int) ([]float64, error) {
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, failure.New(failure.UpstreamFailed, failure.Ran, "the scoring service returned status %d", resp.StatusCode())
	}
	var answer trainerapi.ScoreResponse
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return nil, failure.Wrap(err, failure.IncompleteAnswer, failure.Ran, "cannot decode the scoring service's response")
	}
	if len(answer.Rewards) != want {
		return nil, failure.New(failure.IncompleteAnswer, failure.Ran, "the scoring service returned %d rewards for %d texts", len(answer.Rewards), want)
	}
	return answer.Rewards, nil
}

// startScoring passes a complete group to handleScored. If the trainer has a scorer, a new
// goroutine first gets the rewards.
func (sc *scheduler) startScoring(ctx context.Context, s *stepRun, group int) {
	g := s.groups[group]
	g.state = groupGenerated
	samples := samplesOf(s, group)
	scoreCtx, cancel := context.WithCancel(ctx)
	g.stopScoring = cancel
	sc.goroutines.Go(func() {
		req := trainerapi.ScoreRequest{Trainer: sc.trainer, Prompt: s.req.Groups[group].Messages}
		for _, sample := range samples {
			req.Texts = append(req.Texts, sample.Text)
		}
		if s.cfg.Scorer != "" {
			rewards, err := sc.scorer.score(scoreCtx, s.cfg.Scorer, req)
			if err != nil {
				return
			}
			for i := range samples {
				samples[i].Reward = rewards[i]
			}
		}
		select {
		case sc.scored <- scoredGroup{step: s, group: group, samples: samples, ctx: scoreCtx}:
		case <-scoreCtx.Done():
		}
	})
}

func samplesOf(s *stepRun, group int) []trainerapi.Sample {
	g := s.groups[group]
	samples := make([]trainerapi.Sample, len(g.slots))
	for i := range g.slots {
		p := g.slots[i].finished
		samples[i] = trainerapi.Sample{
			ID:           fmt.Sprintf("%s/%d/%d/%d/%s", s.row.Trainer, s.row.Step, group, i, uuid.NewString()),
			Group:        group,
			Index:        i,
			Text:         p.Text,
			Segments:     p.Segments,
			FinishReason: p.Finish,
			Engine:       p.Engine,
		}
	}
	return samples
}

// handleScored queues a scored group for the reconciler, unless the group is no longer needed.
// If the queue is full, the group is generated again.
func (sc *scheduler) handleScored(scored scoredGroup) {
	if scored.ctx.Err() != nil {
		return
	}
	encoded, err := encodeJSON(scored.samples)
	if err != nil {
		sc.log.Error(err, "cannot encode a scored group", "step", scored.step.row.Step, "group", scored.group)
		return
	}
	oldest := uint64(math.MaxUint64)
	for _, sample := range scored.samples {
		if version, ok := oldestOf(sample.Segments); ok {
			oldest = min(oldest, version)
		}
	}
	finished := finishedGroup{group: scored.group, commitID: uuid.NewString(), oldestVersion: oldest, encoded: encoded}
	sc.reconciler.bufferedBytes.Add(int64(len(encoded)))
	if !sc.reconciler.finished.TryPush(queuedGroup{step: scored.step.row.Step, finishedGroup: finished}) {
		sc.reconciler.bufferedBytes.Add(-int64(len(encoded)))
		scored.step.groups[scored.group].reset()
		scored.step.groups[scored.group].state = groupGenerating
	}
}
