// Package fleet knows the replicas of all services: what discovery says of them,
// and the evidence of this host's own requests.
package fleet
