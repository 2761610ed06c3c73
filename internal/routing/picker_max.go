package routing

import "math/rand/v2"

// maxPicker takes the candidate with the highest score. Of several with that
// score it draws two at random and takes the one with fewer requests in flight.
type maxPicker struct {
	// intN returns a random number in [0, n).
	intN func(n int) int
}

func newMaxPicker() maxPicker { return maxPicker{intN: rand.IntN} }

func (maxPicker) Name() string { return "max" }

func (p maxPicker) Pick(in []*Candidate, scores []float64) *Candidate {
	var best []*Candidate
	top := -1.0
	for i, c := range in {
		switch {
		case scores[i] > top:
			top = scores[i]
			best = append(best[:0], c)
		case scores[i] == top:
			best = append(best, c)
		}
	}
	first := best[p.intN(len(best))]
	second := best[p.intN(len(best))]
	if second.InFlight() < first.InFlight() {
		return second
	}
	return first
}
