package platform

import (
	"net"
	"time"
)

// notSentError is an error before any byte of a request was written.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return "nothing was sent: " + e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// Dial opens a TCP connection within timeout. Its errors match NotSent.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, &notSentError{cause: err}
	}
	return conn, nil
}

// dialCounted is like Dial. In addition, write errors of the connection match
// NotSent if no byte of the request was written.
func dialCounted(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := Dial(address, timeout)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

// countedConn counts the written bytes of the current request. It must not be used
// concurrently.
type countedConn struct {
	net.Conn
	written int
}

// Write returns a notSentError if the request's first write fails without writing
// a byte.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && n == 0 && c.written == 0 {
		return 0, &notSentError{cause: err}
	}
	c.written += n
	return n, err
}

// Read resets the count when a reply arrives.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.written = 0
	}
	return n, err
}
