// Package health computes whether this host may take requests. A host is
// starting, ready, draining or isolated.
package health
