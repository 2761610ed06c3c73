// Package gateway forwards requests to the replicas of plain services. It chooses a
// replica, retries on another one, hedges slow idempotent requests, resumes event
// streams, and decides on the error for the caller if no replica answers.
package gateway
