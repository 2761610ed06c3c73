// Package hostkeys creates the certificate authority (CA) of a deployment and the
// certificates with which its hosts authenticate each other.
package hostkeys
