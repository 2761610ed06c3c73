package platform

import (
	"net"
	"time"
)

// notSentError means that no byte of a request was written.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return "nothing was sent: " + e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// Dial opens a connection within timeout.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, &notSentError{cause: err}
	}
	return conn, nil
}

// dialCounted is Dial for a connection whose write errors tell whether anything was sent.
func dialCounted(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := Dial(address, timeout)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

// countedConn counts the bytes of the request being written. One goroutine uses it at a time.
type countedConn struct {
	net.Conn
	written int
}

// Write reports a notSentError if the request's first write moved no byte.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && n == 0 && c.written == 0 {
		return 0, &notSentError{cause: err}
	}
	c.written += n
	return n, err
}

// Read starts a new count once an answer arrives.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.written = 0
	}
	return n, err
}
