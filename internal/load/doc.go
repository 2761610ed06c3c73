// Package load generates load against running hosts and checks their guarantees
// against the execution records of the stand-in upstreams. An experiment is an
// INI file with open-loop callers, trainers, scheduled faults and arms to
// compare. Load parses it, Run executes it and returns a Report.
package load
