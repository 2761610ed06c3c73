// Package rawanswer is a server that answers every request with the same raw bytes, and a
// collection of answers that are not valid HTTP/1.1 responses.
package rawanswer
