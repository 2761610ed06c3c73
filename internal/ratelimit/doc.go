// Package ratelimit keeps the requests of all hosts to an upstream within the rate that
// the upstream names. Each host takes a share of the rate by its demand and spends it from
// a bucket of its own; no request needs a call to another host. The package makes no calls
// and reads no clock.
//
// Load pattern: many hosts, of which a few send most requests in bursts and most send one
// now and then; the demand moves, hosts are restarted, and all learn of the limit at the
// same moment, from the answers to their own requests.
package ratelimit
