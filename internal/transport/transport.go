// Package transport carries drpc calls between nodes over mutually authenticated TLS.
//
// A failed call always says whether the other node may have begun it: ErrUnknownNode, ErrUnreachable, ErrIdentity and
// ErrRefused mean that it has not; ErrRemote means that it ran and answered with an error; ErrBroken means that it may
// or may not have run.
package transport

import (
	"context"

	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Failures of the transport.
const (
	// ErrUnknownNode means no address is known for the node: nothing was sent.
	ErrUnknownNode = failure.Kind("transport: unknown node")
	// ErrUnreachable means that no connection could be made: nothing was sent.
	ErrUnreachable = failure.Kind("transport: node unreachable")
	// ErrIdentity means that the peer's certificate does not name the node that was meant: nothing was sent.
	ErrIdentity = failure.Kind("transport: peer is not the expected node")
	// ErrRefused means that the peer is stopping and did not run the call.
	ErrRefused = failure.Kind("transport: call refused, node is stopping")
	// ErrRemote means that the peer ran the call and answered with an error.
	ErrRemote = failure.Kind("transport: call failed on the peer")
	// ErrBroken means that the connection failed, or the call's time ran out, after the call may have been received.
	ErrBroken = failure.Kind("transport: connection broken, call may have run")
	// ErrInsecure means that a plain connection was asked for on an address other than loopback.
	ErrInsecure = failure.Kind("transport: plain TCP is allowed on loopback only")
	// ErrCertificates means that the certificate files can't be used.
	ErrCertificates = failure.Kind("transport: certificate files can't be used")
	// ErrClosed means that the pool or server was closed.
	ErrClosed = failure.Kind("transport: closed")
)

// Dialer returns a shared connection to a node. The connection is the dialer's: callers never close it. It carries any
// number of calls at once.
type Dialer interface {
	Conn(ctx context.Context, node ident.Node) (drpc.Conn, error)
}

// NothingSent says whether err proves that the other node did not run the call, so that it may be made again elsewhere.
func NothingSent(err error) bool {
	return isAny(err, ErrUnknownNode, ErrUnreachable, ErrIdentity, ErrRefused, ErrInsecure)
}
