// Package adminapi is the HTTP server of a host's administration address. It serves
// the configuration API for operators, the health and readiness checks and the
// metrics. Operators authenticate with bearer tokens. Paths and JSON bodies are in
// wire.go; package adminclient is the client.
package adminapi
