package transport

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"

	"storj.io/drpc/drpcctx"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// meteredConn is a network connection that counts its bytes.
type meteredConn struct {
	net.Conn
	closeOnce      sync.Once
	closed         func()
	received, sent atomic.Int64
	// writes counts the writes that are under way or have sent anything.
	writes                    atomic.Int64
	accountedIn, accountedOut int64
}

// Read counts the bytes it read.
func (c *meteredConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.received.Add(int64(count))
	return count, err
}

// Write counts the attempt before the bytes can leave, and takes it back if none left, so that an unchanged count proves
// that nothing was sent.
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

// takeUnaccounted returns the bytes since its last call. Only the holder of the connection's one call uses it.
func (c *meteredConn) takeUnaccounted() (received, sent int64) {
	totalIn, totalOut := c.received.Load(), c.sent.Load()
	received, sent = totalIn-c.accountedIn, totalOut-c.accountedOut
	c.accountedIn, c.accountedOut = totalIn, totalOut
	return received, sent
}

// serverConn is what drpc sees as the transport of an accepted connection.
type serverConn struct {
	net.Conn
	meter *meteredConn
	peer  ident.Node
}

// Peer returns the node that made the call, as its certificate names it; false on a plain connection. Handlers call
// it with the context of their call.
func Peer(ctx context.Context) (ident.Node, bool) {
	carrier, found := drpcctx.Transport(ctx)
	if !found {
		return "", false
	}
	accepted, ours := carrier.(*serverConn)
	if !ours || accepted.peer == "" {
		return "", false
	}
	return accepted.peer, true
}

// peerName returns the node a verified certificate names: the first of its DNS names.
func peerName(state tls.ConnectionState) ident.Node {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return ""
	}
	return ident.Node(state.PeerCertificates[0].DNSNames[0])
}

// isLoopback says whether the address, "IP:port", stays on this machine.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
