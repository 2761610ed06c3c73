// Package drain stops a host gracefully. It counts the requests in flight,
// announces the stop, keeps accepting requests while callers may still use an old
// entry answer, and then waits for the requests in flight.
package drain
