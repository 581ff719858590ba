package callerhttp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnreadBytes limits the number of unread bytes that is reported.
const maxUnreadBytes = 512

// unreadBytes returns the number of received bytes that have not been read, up to
// maxUnreadBytes.
func unreadBytes(conn *net.TCPConn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0 // the connection is closed
	}
	n := 0
	var buf [maxUnreadBytes]byte
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		n, _, _ = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return max(n, 0)
}

// hasPendingConns reports whether connections wait to be accepted.
func hasPendingConns(l *net.TCPListener) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false // the listener is closed
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { // fails only if the listener is closed
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return n > 0
}
