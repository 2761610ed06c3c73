// Package trainer is a simulated trainer. It requests one step of samples after
// the other from the hosts, verifies and records the samples, and publishes new
// weight versions.
package trainer
