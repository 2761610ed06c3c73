package job

import (
	"cmp"
	"slices"
)

// WaitingRollout holds the attributes by which waiting rollouts are sorted.
type WaitingRollout struct {
	// Priority is the priority of the job's team or route; 0 is the highest.
	Priority int
	// Deadline is the job's deadline in nanoseconds of the store clock.
	Deadline int64
	// Carried is true for a rollout that was carried over from an earlier job: the
	// trainer already waits for it.
	Carried bool
	// Remaining is the expected number of events that are still to be generated.
	Remaining float64
	// Position is the index of the rollout in its job.
	Position int
	// Index is the index of the rollout in a list of the caller.
	Index int
}

// SortWaiting sorts waiting rollouts into the order in which they get slots: those
// carried over first, then by priority, earliest deadline, longest expected remaining
// length and position.
//
// Load pattern: a job arrives as one burst that nearly fills the engines, and
// its training step ends with the last rollout of the groups that the trainer
// waits for. Starting the most urgent and the longest rollouts first shortens
// the step.
func SortWaiting(waiting []WaitingRollout) {
	slices.SortFunc(waiting, func(a, b WaitingRollout) int {
		if a.Carried != b.Carried {
			if a.Carried {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Deadline, b.Deadline),
			cmp.Compare(b.Remaining, a.Remaining),
			cmp.Compare(a.Position, b.Position),
		)
	})
}
