package connpool

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"time"
)

// readBufferBytes is large enough for a response header and some streamed events.
const readBufferBytes = 4096

// maxHeadBytes bounds the head of an answer, and so what a server makes the process hold before its answer is known.
const maxHeadBytes = 64 << 10

// boundedReader reads from a connection, and returns ErrTooLong once a head takes more than maxHeadBytes.
type boundedReader struct {
	conn net.Conn
	// inHead is set while a head is read, left is what it may still take.
	inHead bool
	left   int
}

// beginHead bounds what is read until endHead.
func (r *boundedReader) beginHead() { r.inHead, r.left = true, maxHeadBytes }

func (r *boundedReader) endHead() { r.inHead = false }

// Read implements io.Reader.
func (r *boundedReader) Read(buffer []byte) (int, error) {
	if !r.inHead {
		return r.conn.Read(buffer)
	}
	if r.left <= 0 {
		return 0, fmt.Errorf("%w: a head of more than %d bytes", ErrTooLong, maxHeadBytes)
	}
	count, err := r.conn.Read(buffer[:min(len(buffer), r.left)])
	r.left -= count
	return count, err
}

// connection is one open connection, used by one call at a time.
type connection struct {
	address string
	conn    net.Conn
	// reader reads from bounded.
	reader  *bufio.Reader
	bounded *boundedReader
	expires time.Time
	// reused reports whether the connection has served an earlier call.
	reused bool
}

func newConnection(address string, conn net.Conn) *connection {
	bounded := &boundedReader{conn: conn}
	return &connection{address: address, conn: conn, reader: bufio.NewReaderSize(bounded, readBufferBytes), bounded: bounded}
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
