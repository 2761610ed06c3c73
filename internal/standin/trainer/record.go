package trainer

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/engine"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/scorer"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

// maxProblems bounds the list of problems. The first ones are kept, as they show the cause.
const maxProblems = 100

// problem adds a problem to the results.
func (s *Standin) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.results.Problems) < maxProblems {
		s.results.Problems = append(s.results.Problems, fmt.Sprintf(format, args...))
	}
}

// recordStep verifies the samples of a complete step and adds it to the results.
// newest is the newest weight version at the request, and waited is the time that
// the trainer waited for the samples.
func (s *Standin) recordStep(n uint64, step trainerapi.StepSamples, newest uint64, waited time.Duration) {
	result := standinapi.StepResult{
		Step:           n,
		Samples:        len(step.Samples),
		IdleMillis:     waited.Milliseconds(),
		CompleteMillis: waited.Milliseconds(),
		Newest:         newest,
		Staleness:      map[uint64]int{},
	}
	if want := s.cfg.Groups * s.cfg.GroupSize; len(step.Samples) != want {
		s.problem("step %d has %d samples, want %d", n, len(step.Samples), want)
	}
	places := map[[2]int]bool{}
	for _, sample := range step.Samples {
		s.recordSample(n, sample, places)
		stale := staleness(sample, newest)
		result.Staleness[stale]++
		result.MaxStaleness = max(result.MaxStaleness, stale)
		result.Delivered = append(result.Delivered, s.checkSample(n, sample))
	}
	s.Log().Add(standinapi.LogEntry{Event: EventStep, Detail: fmt.Sprint(n), Version: newest})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results.Steps = append(s.results.Steps, result)
}

// recordSample logs a sample and verifies that its id and its place, the pair of
// group and index, are new.
func (s *Standin) recordSample(n uint64, sample trainerapi.Sample, places map[[2]int]bool) {
	s.Log().Add(standinapi.LogEntry{Event: EventSample, Detail: sample.ID})
	place := [2]int{sample.Group, sample.Index}
	if places[place] || sample.Group < 0 || sample.Group >= s.cfg.Groups || sample.Index < 0 || sample.Index >= s.cfg.GroupSize {
		s.problem("step %d sample %s is at place %d/%d, which is taken or unknown", n, sample.ID, sample.Group, sample.Index)
	}
	places[place] = true
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, twice := s.seen[sample.ID]; twice {
		s.results.Duplicates = append(s.results.Duplicates, sample.ID)
	}
	s.seen[sample.ID] = n
}

// checkSample verifies the text, the segments and the reward of a sample, and returns its summary.
func (s *Standin) checkSample(n uint64, sample trainerapi.Sample) standinapi.DeliveredSample {
	summary := standinapi.DeliveredSample{ID: sample.ID}
	if sample.Group < 0 || sample.Group >= s.cfg.Groups {
		return summary
	}
	tokens, generation, err := engine.CheckText(s.prompt(n, sample.Group), sample.Text, s.cfg.MaxTokens)
	if err != nil {
		s.problem("step %d sample %s: %s", n, sample.ID, err)
	}
	segmentTokens := lo.SumBy(sample.Segments, func(g engineapi.Segment) int { return g.Tokens })
	if segmentTokens != tokens {
		s.problem("step %d sample %s has %d tokens, but its segments have %d", n, sample.ID, tokens, segmentTokens)
	}
	if want := scorer.Reward(sample.Text); sample.Reward != want {
		s.problem("step %d sample %s has reward %g, want %g", n, sample.ID, sample.Reward, want)
	}
	summary.Tokens = tokens
	summary.Generation = generation
	summary.Versions = lo.Map(sample.Segments, func(g engineapi.Segment, _ int) standinapi.VersionTokens {
		return standinapi.VersionTokens{Version: g.WeightVersion, Tokens: g.Tokens}
	})
	return summary
}

// staleness returns the number of versions between the sample's oldest segment and newest.
func staleness(sample trainerapi.Sample, newest uint64) uint64 {
	oldest := newest
	for _, segment := range sample.Segments {
		oldest = min(oldest, segment.WeightVersion)
	}
	return newest - oldest
}
