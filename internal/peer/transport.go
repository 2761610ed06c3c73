package peer

import (
	"context"
	"io"
	"time"
)

// Transport opens and accepts connections between hosts, and authenticates both ends.
type Transport interface {
	// Dial opens a connection to the host at an ip:port address.
	Dial(ctx context.Context, address string) (Conn, error)
	// Accept waits for a connection from another host.
	Accept(ctx context.Context) (Conn, error)
	// Close ends the transport and all its connections.
	Close() error
}

// Conn is a connection to one host. A blocked stream does not block the others.
type Conn interface {
	// PeerID is the authenticated id of the host at the other end.
	PeerID() string
	// Open starts a stream. Nothing is sent before the first write.
	Open(ctx context.Context) (Stream, error)
	// Accept waits for a stream that the other end started.
	Accept(ctx context.Context) (Stream, error)
	// Done returns a channel that is closed when the connection ends.
	Done() <-chan struct{}
	// Close ends the connection and all its streams.
	Close()
}

// Stream is an ordered, bidirectional stream of bytes.
type Stream interface {
	io.Reader
	io.Writer
	// Close closes the sending direction.
	Close() error
	// Abort closes both directions at once. Unsent data is lost.
	Abort()
	// SetDeadline sets the deadline of reads and writes. The zero time means none.
	SetDeadline(t time.Time) error
}
