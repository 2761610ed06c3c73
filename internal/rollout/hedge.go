package rollout

import (
	"context"
	"math"
	"time"
)

// speedEstimator estimates how fast engines generate, in tokens per second of one rollout. It
// keeps a moving average per engine id and one over all engines, which is zero at first.
type speedEstimator struct {
	engines map[string]float64
	overall float64
}

func newSpeedEstimator() *speedEstimator { return &speedEstimator{engines: map[string]float64{}} }

// observe records the speed of an attempt that succeeded or was found to be slow.
func (sp *speedEstimator) observe(engineID string, tokensPerSecond float64) {
	if tokensPerSecond <= 0 {
		return
	}
	sp.engines[engineID] = movingAverage(sp.engines[engineID], tokensPerSecond)
	sp.overall = movingAverage(sp.overall, tokensPerSecond)
}

// expectedDuration returns the expected time to generate a number of tokens; zero if no speed
// is known.
func (sp *speedEstimator) expectedDuration(tokens int) time.Duration {
	if sp.overall == 0 {
		return 0
	}
	return time.Duration(float64(tokens) / sp.overall * float64(time.Second))
}

// fastest returns the highest known speed, in tokens per second; zero if none is known.
func (sp *speedEstimator) fastest() float64 {
	fastest := 0.0
	for _, speed := range sp.engines {
		fastest = max(fastest, speed)
	}
	return fastest
}

// slowEngines returns the engines that are too slow to run a hedge.
func (sp *speedEstimator) slowEngines() []string {
	limit := sp.fastest() * hedgeSpeedRatio
	var slow []string
	for engineID, speed := range sp.engines {
		if speed < limit {
			slow = append(slow, engineID)
		}
	}
	return slow
}

// startHedges starts a second attempt for rollouts that are slow on their engine. With
// policy.Resume, the second attempt continues the output so far of the first one; otherwise it
// starts from the prompt.
func (sc *scheduler) startHedges(ctx context.Context, steps []*stepRun, allowed int) {
	budget := max(1, int(math.Ceil(float64(allowed)*hedgeBudgetRatio)))
	for _, s := range steps {
		for g, group := range s.groups {
			if group.state != groupGenerating {
				continue
			}
			for i := range group.slots {
				if sc.hedges >= budget || sc.inFlight >= allowed {
					return
				}
				sc.hedgeSlot(ctx, s, slotID{group: g, index: i})
			}
		}
	}
}

func (sc *scheduler) hedgeSlot(ctx context.Context, s *stepRun, id slotID) {
	sl := s.slot(id)
	if sl.finished != nil || len(sl.attempts) != 1 || sl.attempts[0].hedge {
		return
	}
	first := sl.attempts[0]
	speed, ran := first.speed(time.Now())
	if ran < hedgeDelay || speed >= sc.speeds.fastest()*hedgeSpeedRatio {
		return
	}
	engineID := first.progress.snapshot().EngineID
	sc.speeds.observe(engineID, speed)
	prior := output{}
	if sc.policy.Resume {
		var available bool
		if prior, available = first.outputSoFar(); !available {
			return
		}
	}
	if prior.Tokens >= s.row.MaxTokens {
		return
	}
	expected, _ := sc.lengths.estimate(s.groups[id.group].prompt, 0, s.row.MaxTokens)
	a := s.newAttempt(id, prior, expected, append(sc.speeds.slowEngines(), engineID))
	a.hedge = true
	sc.startAttempt(ctx, a)
	trainerCounter(sc.meters, "hedges_total", sc.trainer).Inc()
}
