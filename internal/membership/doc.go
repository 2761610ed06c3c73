// Package membership keeps this host's list of upstreams. It polls the platform's
// membership list, which lags behind, or asks a peer for its list while the
// platform does not answer, and merges it with the leaving marks that hosts
// exchange as soon as one of them sees an upstream leave. It also registers this
// host with the platform.
package membership
