// Package chatjobs runs jobs of chat completions on the product's own platform:
// trainers hand them in at any host, and job.Manager keeps and runs them.
package chatjobs
