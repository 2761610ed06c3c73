package upstream

import (
	"net"
	"syscall"
)

// idleAndOpen reports whether an idle connection is still open and has no
// unread bytes. It asks the kernel without blocking, and cannot detect that the
// other end has disappeared without closing the connection. It returns true for
// connections without a file descriptor.
func idleAndOpen(raw net.Conn) bool {
	sys, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var n int
	err = rawConn.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil || n > 0 {
		return false
	}
	return peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK
}
