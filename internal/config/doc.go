// Package config distributes the deployment document, the configuration that all
// hosts share. Each accepted change has a version. A change is committed by
// compare-and-swap in the platform's table. Hosts learn of it from peers and by
// polling the table, and apply only versions higher than their own.
package config
