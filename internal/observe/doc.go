// Package observe records metrics of callers' requests: histograms of their times
// by tenant and class, and counters of refusals and retries.
package observe
