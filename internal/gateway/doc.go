// Package gateway forwards plain requests to the replicas of a service: which
// replica is asked, when a second one is asked, and what the caller is told when
// none answers.
package gateway
