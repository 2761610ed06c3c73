// Package callerapi is the HTTP server for callers and trainers on the caller
// address of a host. It converts each HTTP request into a filter.Request, runs
// the filter chain and writes the result: a buffered response, a stream of
// server-sent events, or a JSON error with a type. Other packages add their
// endpoints with Server.Mount.
package callerapi
