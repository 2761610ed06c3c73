// Package callergone detects that a caller has closed its connection while its
// request is in progress.
package callergone

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Closed reports whether the caller has closed a connection or its sending
// direction. It peeks at the socket without blocking or consuming bytes.
// A connection without a file descriptor counts as open.
func Closed(conn net.Conn) bool {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return false
	}
	if err != nil {
		return true
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return true
	}
	return n == 0 && peekErr != syscall.EAGAIN && peekErr != syscall.EWOULDBLOCK
}

// watchInterval is the interval at which Watch checks a connection.
const watchInterval = 100 * time.Millisecond

// Watch returns a context that is cancelled within 100 ms after the caller closes
// its connection. Call stop when the request has ended.
func Watch(ctx context.Context, conn net.Conn) (watched context.Context, stop context.CancelFunc) {
	watched, stop = context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if Closed(conn) {
					stop()
					return
				}
			case <-watched.Done():
				return
			}
		}
	}()
	return watched, stop
}
