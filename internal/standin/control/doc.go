// Package control is the server that all stand-ins share. It injects faults into
// the stand-in's connections and responses and keeps an execution log. Faults
// are switched and the log is read at a separate control address, to which no
// fault applies.
package control
