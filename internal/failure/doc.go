// Package failure defines the typed errors that cross package and process
// boundaries. Every error that a caller, trainer or operator can see is an *Error
// with a stable Kind and, if it ended a request, the Outcome of that request:
// whether an upstream has executed it.
package failure
