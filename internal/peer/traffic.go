package peer

import (
	"context"
	"sync"

	"github.com/quic-go/quic-go"
)

// datagramOverhead is the length of the IPv4 and UDP headers of a packet, in bytes.
const datagramOverhead = 28

// traffic counts the bytes that the connections of a transport send and receive.
type traffic struct {
	mu    sync.Mutex
	conns map[*quic.Conn]struct{}
	// endedSent and endedReceived are the bytes of connections that have ended.
	endedSent     uint64
	endedReceived uint64
}

func (t *traffic) add(conn *quic.Conn) {
	t.mu.Lock()
	if t.conns == nil {
		t.conns = make(map[*quic.Conn]struct{})
	}
	t.conns[conn] = struct{}{}
	t.mu.Unlock()
	context.AfterFunc(conn.Context(), func() { t.remove(conn) })
}

func (t *traffic) remove(conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, received := bytesOf(conn)
	t.endedSent += sent
	t.endedReceived += received
	delete(t.conns, conn)
}

// total returns the bytes sent and received, including the IP and UDP headers,
// and the number of open connections.
func (t *traffic) total() (sent, received uint64, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, received = t.endedSent, t.endedReceived
	for conn := range t.conns {
		s, r := bytesOf(conn)
		sent += s
		received += r
	}
	return sent, received, len(t.conns)
}

func bytesOf(conn *quic.Conn) (sent, received uint64) {
	stats := conn.ConnectionStats()
	return stats.BytesSent + datagramOverhead*stats.PacketsSent,
		stats.BytesReceived + datagramOverhead*stats.PacketsReceived
}
