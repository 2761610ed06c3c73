// Package chatjobs runs jobs of chat completions on the product's own platform. Trainers submit
// a job to any host by the job API; job.Manager stores it and runs its rollouts on the
// trainer's engine pool.
package chatjobs
