// Package quarantine detects requests that crash the upstreams that run them. A
// request that was in flight on an upstream when it crashed becomes a suspect.
// It is retried as a trial, on an upstream that runs no other suspect. If that
// upstream crashes too, all hosts refuse the request for the quarantine term. If
// the request finishes, it is ruled out as the cause of the crashes known so far.
// Hosts share crash reports through the peer exchange.
//
// On a platform with a row store, Guard and Ledger do the same without trials: hosts
// share the crashes by rows, and a request is refused at its third one.
package quarantine
