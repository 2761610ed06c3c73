package rollout

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

const (
	// maxKnownPrompts is the largest number of prompts whose lengths are kept across steps.
	maxKnownPrompts = 4096
	// newObservationWeight is the weight of a new observation in a moving average, from 0 to 1.
	newObservationWeight = 0.3
)

// lengthEstimator estimates the length of rollouts, in tokens, from finished rollouts of the
// same prompt and from all rollouts of the trainer.
type lengthEstimator struct {
	overall float64
	prompts map[uint64]*list.Element
	// recent holds *promptLength values, the most recently observed first.
	recent *list.List
}

type promptLength struct {
	prompt uint64
	tokens float64
}

func newLengthEstimator() *lengthEstimator {
	return &lengthEstimator{prompts: map[uint64]*list.Element{}, recent: list.New()}
}

// promptID identifies a prompt by its content.
func promptID(g trainerapi.GroupRequest) uint64 {
	digest := xxhash.New()
	for _, m := range g.Messages {
		_, _ = digest.WriteString(m.Role)
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(m.Content)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// observe records the length of a finished rollout, in tokens.
func (l *lengthEstimator) observe(prompt uint64, tokens int) {
	l.overall = movingAverage(l.overall, float64(tokens))
	if e, ok := l.prompts[prompt]; ok {
		known := e.Value.(*promptLength)
		known.tokens = movingAverage(known.tokens, float64(tokens))
		l.recent.MoveToFront(e)
		return
	}
	l.prompts[prompt] = l.recent.PushFront(&promptLength{prompt: prompt, tokens: float64(tokens)})
	if l.recent.Len() > maxKnownPrompts {
		oldest := l.recent.Remove(l.recent.Back()).(*promptLength)
		delete(l.prompts, oldest.prompt)
	}
}

// observeMinimum raises the estimate for a known prompt to the length that a running rollout has
// reached, in tokens.
func (l *lengthEstimator) observeMinimum(prompt uint64, tokens int) {
	e, ok := l.prompts[prompt]
	if !ok {
		return
	}
	known := e.Value.(*promptLength)
	known.tokens = max(known.tokens, float64(tokens))
}

// estimate returns the expected length of a rollout, in tokens, and whether it is based on its
// prompt or on hint, the trainer's own estimate (zero if it has none).
func (l *lengthEstimator) estimate(prompt uint64, hint, maxTokens int) (tokens int, known bool) {
	if e, ok := l.prompts[prompt]; ok {
		return min(int(e.Value.(*promptLength).tokens), maxTokens), true
	}
	if hint > 0 {
		return min(hint, maxTokens), true
	}
	if l.overall > 0 {
		return min(int(l.overall), maxTokens), false
	}
	return maxTokens, false
}

func movingAverage(average, observed float64) float64 {
	if average == 0 {
		return observed
	}
	return average + newObservationWeight*(observed-average)
}
