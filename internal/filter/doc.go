// Package filter defines the filter chain that handles every request of a
// caller, similar to HTTP middleware. Each filter is a type in a package of its
// own below this one; package chain puts them in order.
package filter
