// Package weights rolls out new versions of model weights to the engines. Each
// engine pool has one reconciler, which runs on the host that holds the pool's
// lease. It orders a limited number of replicas at a time to load the version and
// reads back the version that each replica runs.
package weights
