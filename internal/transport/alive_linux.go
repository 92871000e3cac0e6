package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hungUp reports whether the peer has closed its side of the connection or reset it, as far as the kernel knows now. It
// does not read: bytes of the last call that were not read yet don't hide the end behind them. A connection that can't be
// asked counts as open.
func hungUp(connection net.Conn) bool {
	holder, able := connection.(syscall.Conn)
	if !able {
		return false
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	err = raw.Control(func(descriptor uintptr) {
		asked := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		ready, failed := unix.Poll(asked, 0)
		gone = failed == nil && ready > 0
	})
	// A connection that was closed here refuses the question.
	return err != nil || gone
}
