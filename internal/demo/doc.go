// Package demo runs a complete small deployment in one process on loopback
// sockets: stand-in upstreams and platform, three hosts, customers and a trainer.
// It checks the hosts' guarantees against the execution records of the stand-ins.
package demo
