// Package timeline answers why a training step was late: it reads the log lines of all
// hosts and divides the time of each job along its critical path, which is that of the
// rollout whose result was listed last before the trainer ended the job.
package timeline
