// Package transport carries drpc calls between nodes over mutually authenticated TLS, or over plain TCP on loopback and on
// private networks. Server accepts connections, Pool makes calls, and Credentials reloads certificate files. Metrics counts
// bytes, connections and calls.
//
// The error of a failed call always shows whether the other node may have started it. ErrUnknownNode, ErrUnreachable,
// ErrIdentity, ErrRefused and ErrInsecure mean that it has not; ErrRemote means that the call ran and returned an error;
// ErrBroken means that it may or may not have run.
package transport

import (
	"context"

	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Failure kinds of the transport.
const (
	// ErrUnknownNode means that no address is known for the node; nothing was sent.
	ErrUnknownNode = failure.Kind("transport: unknown node")
	// ErrUnreachable means that no connection could be made; nothing was sent.
	ErrUnreachable = failure.Kind("transport: node unreachable")
	// ErrIdentity means that the peer's certificate is not valid for the intended node; no call was sent.
	ErrIdentity = failure.Kind("transport: peer is not the expected node")
	// ErrRefused means that the peer is stopping and did not run the call.
	ErrRefused = failure.Kind("transport: call refused, node is stopping")
	// ErrRemote means that the peer ran the call and returned an error.
	ErrRemote = failure.Kind("transport: call failed on the peer")
	// ErrBroken means that the connection failed, or the call's context ended, after the call may have been received.
	ErrBroken = failure.Kind("transport: connection broken, call may have run")
	// ErrInsecure means that a plain connection was requested on an address other than loopback.
	ErrInsecure = failure.Kind("transport: plain TCP is allowed on loopback only")
	// ErrCertificates means that the certificate files are invalid or cannot be read.
	ErrCertificates = failure.Kind("transport: certificate files can't be used")
	// ErrClosed means that the pool or server was closed.
	ErrClosed = failure.Kind("transport: closed")
)

// Dialer returns a shared connection to a node. The dialer owns the connection; callers must not close it. It
// supports concurrent calls.
type Dialer interface {
	Conn(ctx context.Context, node ident.Node) (drpc.Conn, error)
}

// NothingSent reports whether err proves that the other node did not run the call, so that it can safely be retried on
// another node.
func NothingSent(err error) bool {
	return isAny(err, ErrUnknownNode, ErrUnreachable, ErrIdentity, ErrRefused, ErrInsecure)
}
