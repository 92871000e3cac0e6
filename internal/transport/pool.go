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

// Defaults of a pool.
const (
	// DefaultMaxPerNode bounds the connections, and so the calls at once, to one node.
	DefaultMaxPerNode = 64
	// DefaultIdlePerNode bounds the connections to one node that are kept unused.
	DefaultIdlePerNode = 4
	// DefaultIdleTimeout closes a connection unused for so long. It spans several rounds of a zone's probes, so that
	// probing doesn't pay for a handshake each time.
	DefaultIdleTimeout = 3 * time.Minute
	// DefaultDialTimeout bounds connecting and the handshake.
	DefaultDialTimeout = 2 * time.Second

	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// PoolOptions sets up a pool. Lookup is required; zero values of the others mean the defaults of this package.
type PoolOptions struct {
	// Lookup returns the peer address, "IP:port", of a node.
	Lookup func(node ident.Node) (string, bool)
	// Credentials turn on mutual TLS; without them only loopback addresses are dialled, unless PrivateNetwork says that
	// nobody else can reach the network between the nodes.
	Credentials     *Credentials
	PrivateNetwork  bool
	MaxPerNode      int
	IdlePerNode     int
	IdleTimeout     time.Duration
	DialTimeout     time.Duration
	MaxMessageBytes int
	Metrics         *Metrics
	// Jitter returns a number in [0, 1) that spreads the backoff; nil means none.
	Jitter func() float64
}

// Pool shares connections to other nodes. A drpc connection carries one call at a time, so the pool opens several to
// one node, within a bound; a call beyond it waits. It is safe for concurrent use.
type Pool struct {
	options PoolOptions
	idle    *drpcpool.Pool[target, *clientConn]

	mutex  sync.Mutex
	closed bool
	peers  map[target]*peer
}

var _ Dialer = (*Pool)(nil)

// target is where a connection leads. An empty node accepts any node of the authorities.
type target struct {
	node    ident.Node
	address string
}

// peer is what the pool knows about a target.
type peer struct {
	// slots holds one entry for each call under way.
	slots     chan struct{}
	failures  int
	notBefore time.Time
}

// clientConn is one connection of the pool.
type clientConn struct {
	*drpcconn.Conn
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

// Conn returns the shared connection to a node. It connects when the first call is made, so its own errors are
// ErrUnknownNode and ErrClosed only; calls return the rest.
func (p *Pool) Conn(_ context.Context, node ident.Node) (drpc.Conn, error) {
	address, known := p.options.Lookup(node)
	if !known {
		return nil, fmt.Errorf("connect to %s: %w", node, ErrUnknownNode)
	}
	return p.conn(target{node: node, address: address})
}

// ConnAddress returns the shared connection to whatever node serves an address, for seeds whose name isn't known.
func (p *Pool) ConnAddress(address string) (drpc.Conn, error) {
	return p.conn(target{address: address})
}

func (p *Pool) conn(where target) (drpc.Conn, error) {
	if p.isClosed() {
		return nil, fmt.Errorf("connect to %s: %w", where.address, ErrClosed)
	}
	return &sharedConn{pool: p, target: where}, nil
}

func (p *Pool) isClosed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.closed
}

// Close closes the idle connections; those of calls under way close as the calls end.
func (p *Pool) Close() error {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	if err := p.idle.Close(); err != nil && !isGone(err) {
		return fmt.Errorf("close pool: %w", err)
	}
	return nil
}

// isGone reports whether an error of closing says only that the peer had closed the connection before.
func isGone(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// Forget drops what the pool holds about targets that keep says no to, unless a call to them is under way; call it when
// the members or their addresses change. The node is empty for targets of ConnAddress.
func (p *Pool) Forget(keep func(node ident.Node, address string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for where, known := range p.peers {
		if len(known.slots) == 0 && !keep(where.node, where.address) {
			delete(p.peers, where)
		}
	}
}

func (p *Pool) peerOf(where target) *peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.peers[where]
	if !found {
		known = &peer{slots: make(chan struct{}, p.options.MaxPerNode)}
		p.peers[where] = known
	}
	return known
}

// acquire returns a connection for one call, an idle one if there is. fresh asks for a new one.
func (p *Pool) acquire(ctx context.Context, where target, fresh bool) (*clientConn, error) {
	if !fresh {
		if connection, found := p.takeIdle(where); found {
			return connection, nil
		}
	}
	return p.dial(ctx, where)
}

// takeIdle returns an idle connection that the peer has not closed. The kernel may know of the close before the library
// has read it; a call written after it would end with an unknown outcome although it surely did not run.
func (p *Pool) takeIdle(where target) (*clientConn, bool) {
	for {
		connection, found := p.idle.Take(where)
		if !found {
			return nil, false
		}
		if !hungUp(connection.meter.Conn) {
			return connection, true
		}
		_ = connection.Close()
	}
}

// release keeps a connection that still works for the next call.
func (p *Pool) release(where target, connection *clientConn) {
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
	p.idle.Put(where, connection)
}

// dial opens a connection unless the target's backoff says that it is too early.
func (p *Pool) dial(ctx context.Context, where target) (*clientConn, error) {
	known := p.peerOf(where)
	if wait := p.backoff(known); wait > 0 {
		return nil, fmt.Errorf("connect to %s: %w (next attempt in %s)", where.address, ErrUnreachable, wait)
	}
	connection, err := p.connect(ctx, where)
	// A caller that gave up says nothing about the peer.
	if ctx.Err() == nil || err == nil {
		p.record(known, err)
	}
	return connection, err
}

func (p *Pool) connect(ctx context.Context, where target) (*clientConn, error) {
	if p.options.Credentials == nil && !p.options.PrivateNetwork && !isLoopback(where.address) {
		return nil, fmt.Errorf("connect to %s: %w", where.address, ErrInsecure)
	}
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", where.address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", where.address, ErrUnreachable, err)
	}
	gauge := p.options.Metrics.connections.WithLabelValues(sideClient)
	gauge.Inc()
	meter := &meteredConn{Conn: raw, closed: gauge.Dec}
	carrier := net.Conn(meter)
	if p.options.Credentials != nil {
		secure := tls.Client(meter, p.options.Credentials.clientConfig(where.node))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = meter.Close()
			return nil, handshakeError(where, err)
		}
		carrier = secure
	}
	// Cancelled calls close their connection instead of asking the peer politely: a connection to a frozen peer must
	// not be used again.
	inner := drpcconn.NewWithOptions(carrier, drpcconn.Options{Manager: managerOptions(p.options.MaxMessageBytes, 0)})
	return &clientConn{Conn: inner, meter: meter}, nil
}

func handshakeError(where target, err error) error {
	if errors.Is(err, ErrIdentity) {
		return fmt.Errorf("connect to %s: %w", where.address, err)
	}
	return fmt.Errorf("connect to %s: %w: %w", where.address, ErrUnreachable, err)
}

// backoff returns how long the next attempt must still wait.
func (p *Pool) backoff(known *peer) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return time.Until(known.notBefore)
}

// record sets the backoff after an attempt: doubled by each failure up to a bound, half of it spread.
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
