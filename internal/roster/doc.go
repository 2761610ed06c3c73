// Package roster detects which hosts are alive. Each host writes a heartbeat row
// to the row store and follows the rows of all hosts. A host counts as dead when
// its row has not changed for DeadAfter on the store clock, and this host has
// read the rows without a gap during that time. The clocks of hosts are never
// compared with each other.
//
// The roster also ranks the live hosts for a key by rendezvous hashing, which
// decides which host takes up a piece of work.
package roster
