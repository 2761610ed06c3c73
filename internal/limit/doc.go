// Package limit implements an adaptive concurrency limit: the number of
// requests that one host may have in flight on one upstream. The limit shrinks
// when the upstream's latency rises or requests fail, and grows while it is
// fully used and the latency stays near its base.
package limit
