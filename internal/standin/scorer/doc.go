// Package scorer is a simulated service that scores rollouts. The reward of a
// text is a hash of it, at least 0 and below 1. Clients can verify it.
package scorer
