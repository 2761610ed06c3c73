package httpsyntax

import (
	"net"

	"github.com/valyala/fasthttp"
)

// checkedConn is a connection on which responses are checked while they are read.
type checkedConn struct {
	net.Conn
	checker Checker
}

// Read implements net.Conn. It fails with an Error if the response is invalid.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	valid, invalid := c.checker.Check(p[:n])
	if invalid != nil {
		return valid, invalid
	}
	return n, err
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.checker.Reset(false)
	return c.Conn.Write(p)
}

// Dial returns a function that dials with dial for an HTTP client, and checks the responses on
// its connections. The client must neither send a request before it has read the response to the
// previous one, nor send HEAD requests.
func Dial(dial fasthttp.DialFunc) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
}

// Configure makes the errors of a client of the HTTP library not quote what the server has sent.
func Configure(client *fasthttp.HostClient) error {
	client.SecureErrorLogMessage = true
	return nil
}
