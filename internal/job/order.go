package job

import (
	"cmp"
	"slices"
)

// Waiting is a rollout that waits for a place, as the order of placing sees it.
type Waiting struct {
	// Priority is the rank of the job's route, 0 first.
	Priority int
	// Due is when the job's results are due, in nanoseconds of the store's clock.
	Due int64
	// Carried is true for groups that were carried over from an earlier job: the trainer waits for them.
	Carried bool
	// Left is the expected number of events that are still to be generated.
	Left float64
	// Position is the rollout's place in its job.
	Position int
	// Index refers to the caller's list.
	Index int
}

// Order sorts waiting rollouts into the order in which they get places.
//
// Load pattern: a job arrives as one burst that nearly fills the engines, and
// its step ends with the last rollout of the groups that the trainer waits for.
// So what must come back goes first, and then the longest.
func Order(waiting []Waiting) {
	slices.SortFunc(waiting, func(a, b Waiting) int {
		if a.Carried != b.Carried {
			if a.Carried {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Due, b.Due),
			cmp.Compare(b.Left, a.Left),
			cmp.Compare(a.Position, b.Position),
		)
	})
}
