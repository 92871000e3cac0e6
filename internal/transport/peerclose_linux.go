package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// closedByPeer reports whether the peer has closed its side of the connection or reset it, according to the kernel. It polls
// instead of reading, so unread bytes of the last call don't hide the close behind them. A connection whose state cannot be
// queried counts as open.
func closedByPeer(connection net.Conn) bool {
	holder, supported := connection.(syscall.Conn)
	if !supported {
		return false
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		descriptors := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		ready, failed := unix.Poll(descriptors, 0)
		closed = failed == nil && ready > 0
	})
	// Control returns an error if the connection was closed locally.
	return err != nil || closed
}
