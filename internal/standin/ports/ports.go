// Package ports chooses loopback addresses for processes that begin to listen later.
package ports

import (
	"fmt"
	"net"
	"sync/atomic"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// Range is a range of ports that are chosen in turn. Ranges lie below the ports that systems use
// for outgoing connections, 32768 and above on Linux: a connection could take a chosen port
// before its process listens. A Range is safe for concurrent use.
type Range struct {
	first, count uint32
	tried        atomic.Uint32
}

// NewRange returns the range of count ports from first on. It begins with the port at start,
// counted from first, and goes on at first after the last one.
func NewRange(first, count, start int) *Range {
	r := &Range{first: uint32(first), count: uint32(count)}
	r.tried.Store(uint32(start))
	return r
}

// FreeAddress returns a 127.0.0.1:port that is free for TCP and UDP.
func (r *Range) FreeAddress() (string, error) {
	for range r.count {
		address := fmt.Sprintf("127.0.0.1:%d", r.first+(r.tried.Add(1)-1)%r.count)
		if IsFree(address) {
			return address, nil
		}
	}
	return "", failure.New(failure.Internal, "", "no port from %d to %d is free on 127.0.0.1", r.first, r.first+r.count-1)
}

// IsFree reports whether a process can listen on an address for TCP and UDP.
func IsFree(address string) bool {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
