package transport

import (
	"context"
	"net"
	"sync/atomic"

	"storj.io/drpc"
	"storj.io/drpc/drpcwire"
)

// callConn is the client's end of a connection, as passed to drpc. It holds back the frame that ends a unary call after its
// answer and sends it with the next call: the server has ended the call by then, and would be woken for nothing.
type callConn struct {
	net.Conn
	// unary is set while a unary call is in progress.
	unary atomic.Bool
	// held are the bytes held back. Only Write accesses them, and drpc makes one write at a time.
	held []byte
}

// Write sends a buffer after the bytes held back, or holds it back.
func (c *callConn) Write(buffer []byte) (int, error) {
	if c.unary.Load() && isCloseFrame(buffer) {
		c.held = append(c.held, buffer...)
		return len(buffer), nil
	}
	if len(c.held) == 0 {
		return c.Conn.Write(buffer)
	}
	before := len(c.held)
	together := append(c.held, buffer...)
	c.held = nil
	count, err := c.Conn.Write(together)
	return max(count-before, 0), err
}

// maxCloseFrame is the maximum size of a frame without data, in bytes: its kind, two numbers and the length.
const maxCloseFrame = 1 + 10 + 10 + 1

// isCloseFrame reports whether a buffer contains the frame that ends a call, and nothing else.
func isCloseFrame(buffer []byte) bool {
	if len(buffer) > maxCloseFrame {
		return false
	}
	rest, frame, complete, err := drpcwire.ParseFrame(buffer)
	return err == nil && complete && len(rest) == 0 && frame.Kind == drpcwire.KindClose
}

// Invoke makes a unary call.
func (c *clientConn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	c.call.unary.Store(true)
	defer c.call.unary.Store(false)
	return c.Conn.Invoke(ctx, rpc, encoding, in, out)
}
