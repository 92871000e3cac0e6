package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Default options of a pool.
const (
	// DefaultMaxPerNode is the maximum number of connections, and so of concurrent calls, to one node.
	DefaultMaxPerNode = 64
	// DefaultIdlePerNode is the maximum number of idle connections retained to one node.
	DefaultIdlePerNode = 4
	// DefaultIdleTimeout is how long a connection may be idle before it is closed. It spans several rounds of a zone's
	// probes, so that probing does not need a handshake each time.
	DefaultIdleTimeout = 3 * time.Minute
	// DefaultDialTimeout is the time limit of connecting and the handshake together.
	DefaultDialTimeout = 2 * time.Second

	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// PoolOptions configures a pool. Lookup is required; zero values of the other fields select the defaults of this package.
type PoolOptions struct {
	// Lookup returns the peer address, "IP:port", of a node.
	Lookup func(node ident.Node) (string, bool)
	// Credentials enable mutual TLS. Without them only loopback addresses are dialed, unless PrivateNetwork states that no
	// other party can reach the network between the nodes.
	Credentials     *Credentials
	PrivateNetwork  bool
	MaxPerNode      int
	IdlePerNode     int
	IdleTimeout     time.Duration
	DialTimeout     time.Duration
	MaxMessageBytes int
	Metrics         *Metrics
	// Jitter returns a number in [0, 1) that is used to randomize the backoff; nil means no randomization.
	Jitter func() float64
}

// Pool shares connections to other nodes. A drpc connection carries one call at a time, so the pool opens several
// connections to one node, up to MaxPerNode; further calls wait. It is safe for concurrent use.
type Pool struct {
	options PoolOptions
	idle    *drpcpool.Pool[target, *clientConn]

	mutex  sync.Mutex
	closed bool
	peers  map[target]*peer
}

var _ Dialer = (*Pool)(nil)

// target identifies the remote end of a connection. An empty node accepts any node with a certificate signed by the
// authorities.
type target struct {
	node    ident.Node
	address string
}

// peer is the state of a target: its calls in flight and its dial backoff.
type peer struct {
	// slots holds one entry for each call in flight.
	slots     chan struct{}
	failures  int
	notBefore time.Time
}

// clientConn is one connection of the pool.
type clientConn struct {
	*drpcconn.Conn
	call  *callConn
	meter *meteredConn
}

// NewPool returns an empty pool.
func NewPool(options PoolOptions) *Pool {
	setDefault(&options.MaxPerNode, DefaultMaxPerNode)
	setDefault(&options.IdlePerNode, DefaultIdlePerNode)
	setDefault(&options.IdleTimeout, DefaultIdleTimeout)
	setDefault(&options.DialTimeout, DefaultDialTimeout)
	setDefault(&options.MaxMessageBytes, DefaultMaxMessageBytes)
	if options.Metrics == nil {
		options.Metrics = NewMetrics(nil)
	}
	if options.Jitter == nil {
		options.Jitter = func() float64 { return 0 }
	}
	return &Pool{
		options: options,
		idle: drpcpool.New[target, *clientConn](drpcpool.Options{
			Expiration:  options.IdleTimeout,
			KeyCapacity: options.IdlePerNode,
		}),
		peers: map[target]*peer{},
	}
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Conn returns the shared connection to a node. Connecting is deferred to the first call, so Conn returns only
// ErrUnknownNode and ErrClosed; calls return the other errors.
func (p *Pool) Conn(_ context.Context, node ident.Node) (drpc.Conn, error) {
	address, known := p.options.Lookup(node)
	if !known {
		return nil, fmt.Errorf("connect to %s: %w", node, ErrUnknownNode)
	}
	return p.conn(target{node: node, address: address})
}

// ConnAddress returns the shared connection to the node at an address, whatever its name. It is for seeds of which only the
// address is known.
func (p *Pool) ConnAddress(address string) (drpc.Conn, error) {
	return p.conn(target{address: address})
}

func (p *Pool) conn(destination target) (drpc.Conn, error) {
	if p.isClosed() {
		return nil, fmt.Errorf("connect to %s: %w", destination.address, ErrClosed)
	}
	return &sharedConn{pool: p, target: destination}, nil
}

func (p *Pool) isClosed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.closed
}

// Close closes the idle connections. Connections of calls in flight are closed when the calls end.
func (p *Pool) Close() error {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	if err := p.idle.Close(); err != nil && !isPeerClosed(err) {
		return fmt.Errorf("close pool: %w", err)
	}
	return nil
}

// isPeerClosed reports whether an error from closing a connection only means that the peer had already closed it.
func isPeerClosed(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// Forget removes the state of targets for which keep returns false, except those with calls in flight. It must be called when
// the members or their addresses change, or the state of former targets accumulates. The node passed to keep is empty for
// targets of ConnAddress.
func (p *Pool) Forget(keep func(node ident.Node, address string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for destination, known := range p.peers {
		if len(known.slots) == 0 && !keep(destination.node, destination.address) {
			delete(p.peers, destination)
		}
	}
}

func (p *Pool) peerOf(destination target) *peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.peers[destination]
	if !found {
		known = &peer{slots: make(chan struct{}, p.options.MaxPerNode)}
		p.peers[destination] = known
	}
	return known
}

// acquire returns a connection for one call: an idle one if available, unless fresh requires a new one.
func (p *Pool) acquire(ctx context.Context, destination target, fresh bool) (*clientConn, error) {
	if !fresh {
		if connection, found := p.takeIdle(destination); found {
			return connection, nil
		}
	}
	return p.dial(ctx, destination)
}

// takeIdle returns an idle connection that the peer has not closed. The kernel may have received the close before drpc
// has read it. A call written after that would fail with an unknown outcome although it certainly did not run.
func (p *Pool) takeIdle(destination target) (*clientConn, bool) {
	for {
		connection, found := p.idle.Take(destination)
		if !found {
			return nil, false
		}
		if !closedByPeer(connection.meter.Conn) {
			return connection, true
		}
		_ = connection.Close()
	}
}

// release returns a connection to the idle pool, or closes it if it is closed already or the pool is.
func (p *Pool) release(destination target, connection *clientConn) {
	select {
	case <-connection.Closed():
		_ = connection.Close()
		return
	default:
	}
	if p.isClosed() {
		_ = connection.Close()
		return
	}
	p.idle.Put(destination, connection)
}

// dial opens a connection, or fails with ErrUnreachable during the target's backoff.
func (p *Pool) dial(ctx context.Context, destination target) (*clientConn, error) {
	known := p.peerOf(destination)
	if wait := p.backoff(known); wait > 0 {
		return nil, fmt.Errorf("connect to %s: %w (next attempt in %s)", destination.address, ErrUnreachable, wait)
	}
	connection, err := p.connect(ctx, destination)
	// A failure after the caller's context ended is not evidence of a fault of the peer.
	if ctx.Err() == nil || err == nil {
		p.record(known, err)
	}
	return connection, err
}

func (p *Pool) connect(ctx context.Context, destination target) (*clientConn, error) {
	if p.options.Credentials == nil && !p.options.PrivateNetwork && !isLoopback(destination.address) {
		return nil, fmt.Errorf("connect to %s: %w", destination.address, ErrInsecure)
	}
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", destination.address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", destination.address, ErrUnreachable, err)
	}
	gauge := p.options.Metrics.connections.WithLabelValues(sideClient)
	gauge.Inc()
	meter := &meteredConn{Conn: raw, closed: gauge.Dec}
	carrier := net.Conn(meter)
	if p.options.Credentials != nil {
		secure := tls.Client(meter, p.options.Credentials.clientConfig(destination.node))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = meter.Close()
			return nil, handshakeError(destination, err)
		}
		carrier = secure
	}
	// Canceled calls close their connection instead of sending a cancellation to the peer, because a connection to an
	// unresponsive peer must not be reused.
	call := &callConn{Conn: carrier}
	inner := drpcconn.NewWithOptions(call, drpcconn.Options{Manager: managerOptions(p.options.MaxMessageBytes, 0)})
	return &clientConn{Conn: inner, call: call, meter: meter}, nil
}

func handshakeError(destination target, err error) error {
	if errors.Is(err, ErrIdentity) {
		return fmt.Errorf("connect to %s: %w", destination.address, err)
	}
	return fmt.Errorf("connect to %s: %w: %w", destination.address, ErrUnreachable, err)
}

// backoff returns the remaining wait before the next attempt.
func (p *Pool) backoff(known *peer) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return time.Until(known.notBefore)
}

// record updates the backoff after an attempt. The delay doubles with each consecutive failure up to lastBackoff, and half of
// it is randomized.
func (p *Pool) record(known *peer, failed error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if failed == nil {
		known.failures = 0
		known.notBefore = time.Time{}
		return
	}
	delay := min(firstBackoff<<min(known.failures, 10), lastBackoff)
	known.failures++
	spread := 0.5 + 0.5*p.options.Jitter()
	known.notBefore = time.Now().Add(time.Duration(float64(delay) * spread))
}
