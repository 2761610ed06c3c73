// Package jsonhttp exchanges JSON messages over HTTP: a client that never repeats
// a request, and helpers for handlers.
package jsonhttp
