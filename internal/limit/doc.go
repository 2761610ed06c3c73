// Package limit implements an adaptive concurrency limit: the number of
// requests that one host may have in flight on one upstream. The limit shrinks
// when the upstream's latency rises, requests fail or the upstream reports a long
// queue. It grows while it is almost fully used and the latency stays near its
// base or the reported queue is short.
package limit
