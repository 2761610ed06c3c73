// Package peer connects the hosts of a deployment over QUIC with mutual TLS.
//
// Each host publishes a few small entries, which spread to all hosts by gossip
// over a small, slowly changing set of links. The same links detect hosts that
// fail, as SWIM does: a silent host is suspected, and counts as dead unless it
// refutes the suspicion in time. A host can also call a method on another host,
// over a separate connection.
package peer
