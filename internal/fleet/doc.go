// Package fleet holds this host's view of the replicas of all services (engines
// and plain services). It combines what discovery and load reports say about a
// replica with what this host observes in its own requests, and reserves a slot at
// the best replica for a request.
package fleet
