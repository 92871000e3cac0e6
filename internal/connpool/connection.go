package connpool

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBufferBytes is large enough for a response header and some streamed events.
const readBufferBytes = 4096

// connection is one open connection, used by one call at a time.
type connection struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	expires time.Time
	// reused reports whether the connection has served an earlier call.
	reused bool
}

func newConnection(address string, conn net.Conn) *connection {
	return &connection{address: address, conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// usable reports whether an idle connection may take another request: it has not expired, the other side has not
// closed it, and no unexpected bytes have arrived on it.
func (c *connection) usable(now time.Time) bool {
	return now.Before(c.expires) && c.hasNoPendingData()
}

// hasNoPendingData peeks at the socket without blocking. It returns false if there are bytes to read or the other
// side has closed the connection.
func (c *connection) hasNoPendingData() bool {
	source, isSyscall := c.conn.(syscall.Conn)
	if !isSyscall {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var count int
	var buffer [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		count, _, peekErr = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && count <= 0 && (peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK)
}
