package connpool

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBufferBytes holds the head of an answer and some events.
const readBufferBytes = 4096

// connection is one open connection, used by one call at a time.
type connection struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	expires time.Time
	// reused says that the connection was kept after an earlier call.
	reused bool
}

func newConnection(address string, conn net.Conn) *connection {
	return &connection{address: address, conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// usable says whether a kept connection may take another request: it is within its time, the other side has not
// closed it, and no bytes came on it that belong to no request.
func (c *connection) usable(now time.Time) bool {
	return now.Before(c.expires) && c.silent()
}

// silent looks at the socket without waiting: true when there is nothing to read and no end.
func (c *connection) silent() bool {
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
