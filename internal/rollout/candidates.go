package rollout

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a rollout that could be started.
type candidate struct {
	step  *stepRun
	id    slotID
	spare bool
	// probe is true for the first rollout of a group whose prompt has an unknown length.
	probe bool
	// remaining is the expected number of tokens still to be generated.
	remaining int
	// expected is the expected length of the whole rollout, in tokens.
	expected int
}

// candidates returns the rollouts that could be started at now, in order of priority: earlier
// steps first, and within a step needed groups before spares. With policy.Order, one rollout of
// each group whose prompt has an unknown length follows first (to learn the length), then those
// with the most tokens remaining.
func candidates(steps []*stepRun, lengths *lengthEstimator, policy Policy, now time.Time) []candidate {
	var all []candidate
	for _, s := range steps {
		for g, group := range s.groups {
			if group.state != groupGenerating {
				continue
			}
			expected, isKnown := lengths.estimate(group.prompt, s.req.Groups[g].ExpectedTokens, s.row.MaxTokens)
			for i := range group.slots {
				sl := &group.slots[i]
				if sl.finished != nil || len(sl.attempts) > 0 || now.Before(sl.notBefore) {
					continue
				}
				all = append(all, candidate{
					step:      s,
					id:        slotID{group: g, index: i},
					spare:     g >= s.row.Needed,
					probe:     !isKnown && i == 0,
					remaining: max(0, expected-sl.prior.Tokens),
					expected:  expected,
				})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return compareCandidates(a, b, policy) })
	return all
}

func compareCandidates(a, b candidate, policy Policy) int {
	order := cmp.Or(
		cmp.Compare(a.step.row.Step, b.step.row.Step),
		compareBool(a.spare, b.spare),
	)
	if order != 0 || !policy.Order {
		return order
	}
	return cmp.Or(compareBool(b.probe, a.probe), cmp.Compare(b.remaining, a.remaining))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
