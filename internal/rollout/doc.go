// Package rollout generates the samples of training steps: it serves the trainer API, schedules
// rollouts (chat completions) on engine pools, has them scored, and commits them to the store.
//
// A step consists of a few rows in the platform's table: one step row, one row per committed
// group, and the content of each group. Large content is stored as an object. Every change of a
// step that has not ended is a conditional write. Therefore any host may answer any trainer
// request, and two hosts that process the same step at the same time can waste work but never
// commit a sample twice.
//
// The host that holds a trainer's lease runs two loops for it (see Owner). The scheduler starts and
// retries rollouts, on this host or on others, and hedges slow ones, that is, starts a second
// attempt, on another engine if there is one. The reconciler moves finished groups to the store and
// reports the stored state of each step back to the scheduler.
//
// A sample's age is the number of weight versions between its oldest token and the newest
// version. A sample is stale if its age exceeds the trainer's staleness bound.
package rollout
