// Package routes holds the routing table of an operator's configuration: which
// services handle a request, and the timeout, number of attempts and priority that
// it gets. Source holds the version in force.
package routes
