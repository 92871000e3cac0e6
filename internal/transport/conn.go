package transport

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"

	"storj.io/drpc/drpcctx"

	"mallowlatch.example/mallowlatch/internal/connlimit"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// meteredConn is a network connection that counts its bytes.
type meteredConn struct {
	net.Conn
	closeOnce      sync.Once
	closed         func()
	received, sent atomic.Int64
	// writes counts the writes that are in progress or have sent at least one byte.
	writes                    atomic.Int64
	accountedIn, accountedOut int64
}

// Read counts the bytes it read.
func (c *meteredConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.received.Add(int64(count))
	return count, err
}

// Write increments the write count before sending and decrements it if the write failed without sending a byte, so an
// unchanged count proves that nothing was sent.
func (c *meteredConn) Write(buffer []byte) (int, error) {
	c.writes.Add(1)
	count, err := c.Conn.Write(buffer)
	if count == 0 && err != nil {
		c.writes.Add(-1)
	}
	c.sent.Add(int64(count))
	return count, err
}

// Close closes the connection and calls closed, once.
func (c *meteredConn) Close() error {
	if c.closed != nil {
		c.closeOnce.Do(c.closed)
	}
	return c.Conn.Close()
}

// takeUnaccounted returns the bytes transferred since its previous call. It must only be used by the call that currently
// uses the connection.
func (c *meteredConn) takeUnaccounted() (received, sent int64) {
	totalIn, totalOut := c.received.Load(), c.sent.Load()
	received, sent = totalIn-c.accountedIn, totalOut-c.accountedOut
	c.accountedIn, c.accountedOut = totalIn, totalOut
	return received, sent
}

// serverConn is the transport of an accepted connection as passed to drpc.
type serverConn struct {
	net.Conn
	meter *meteredConn
	peer  ident.Node
	// limited is the connection in the server's limiter; nil if it has none.
	limited *connlimit.Conn
}

// Peer returns the node that made a call, as named in its certificate. It returns false on a plain connection. ctx is the
// context of the handler's call.
func Peer(ctx context.Context) (ident.Node, bool) {
	carrier, found := drpcctx.Transport(ctx)
	if !found {
		return "", false
	}
	accepted, isServerConn := carrier.(*serverConn)
	if !isServerConn || accepted.peer == "" {
		return "", false
	}
	return accepted.peer, true
}

// peerName returns the node named in a verified certificate: its first DNS name.
func peerName(state tls.ConnectionState) ident.Node {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return ""
	}
	return ident.Node(state.PeerCertificates[0].DNSNames[0])
}

// isLoopback reports whether the address, "IP:port", is a loopback address.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
