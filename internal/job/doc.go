// Package job runs durable batches of rollouts (text generations) for trainers.
//
// A job is stored when it is accepted. One host at a time, its owner, sends the
// rollouts to engines, saves the text of unfinished ones, and writes each result
// at the next position of the job's result list. Positions never change, and any
// host can read the list.
//
// The owner row of a job works as a fencing token: every write of the owner is
// conditional on the version of that row. If an owner is frozen or partitioned
// and another host takes the job over, the former owner's writes are refused.
package job
