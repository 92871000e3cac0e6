// Package transport carries drpc calls between nodes over mutually authenticated TLS.
package transport

import (
	"context"

	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Failures of the transport.
const (
	// ErrUnknownNode means no address is known for the node.
	ErrUnknownNode = failure.Kind("transport: unknown node")
	// ErrUnreachable means that no connection could be made: nothing was sent.
	ErrUnreachable = failure.Kind("transport: node unreachable")
)

// Dialer returns a shared connection to a node. The connection is the dialer's: callers never close it.
type Dialer interface {
	Conn(ctx context.Context, node ident.Node) (drpc.Conn, error)
}
