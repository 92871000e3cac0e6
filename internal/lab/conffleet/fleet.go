// Package conffleet runs real configuration replicas in one process: real calls between nodes over connections in memory,
// a real client of the key-value stand-in over HTTP, the wall clock. It measures what confsim can only simulate.
package conffleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv/etcdhttp"
	"mallowlatch.example/mallowlatch/internal/lab/kvsim"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// Options describe a fleet.
type Options struct {
	Nodes int
	Zones int
	Seed  uint64
	// StoreFaults are the key-value stand-in's, for its rate limit above all.
	StoreFaults kvsim.Faults
}

// Fleet is a running fleet.
type Fleet struct {
	service    *kvsim.Server
	nodes      []*Node
	byName     map[ident.Node]*Node
	peers      []confsync.Peer
	wireBytes  atomic.Int64
	supervisor *tomb.Tomb
	ctx        context.Context
}

// Node is one node. It implements confsync.PeerSource and transport.Dialer.
type Node struct {
	fleet   *Fleet
	peer    confsync.Peer
	server  *drpcserver.Server
	Replica *confsync.Replica
	Writer  *confsync.Writer

	mutex       sync.Mutex
	connections map[ident.Node]drpc.Conn
}

var (
	_ confsync.PeerSource = (*Node)(nil)
	_ transport.Dialer    = (*Node)(nil)
)

// Start starts the key-value stand-in on loopback and the fleet, which run until ctx ends or Stop.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	supervisor, running := tomb.WithContext(ctx)
	fleet := &Fleet{
		service:    kvsim.New(options.Seed),
		byName:     map[ident.Node]*Node{},
		supervisor: supervisor,
		ctx:        running,
	}
	fleet.service.SetFaults(options.StoreFaults)
	url, err := fleet.serveStore()
	if err != nil {
		return nil, err
	}
	for i := range options.Nodes {
		if err := fleet.addNode(i, url, options); err != nil {
			fleet.Stop()
			return nil, err
		}
	}
	for _, node := range fleet.nodes {
		supervisor.Go(func() error { return node.Replica.Run(running) })
	}
	return fleet, nil
}

// Stop ends the fleet and waits for it.
func (f *Fleet) Stop() {
	f.supervisor.Kill(nil)
	// Nodes that end with the fleet's context report nothing of worth.
	_ = f.supervisor.Wait()
}

// Service returns the key-value stand-in.
func (f *Fleet) Service() *kvsim.Server { return f.service }

// Nodes returns the nodes.
func (f *Fleet) Nodes() []*Node { return f.nodes }

func (f *Fleet) serveStore() (url string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.supervisor.Kill(nil)
		return "", fmt.Errorf("listen for the key-value stand-in: %w", err)
	}
	server := &http.Server{Handler: f.service.Handler(), ReadHeaderTimeout: 5 * time.Second}
	f.supervisor.Go(func() error {
		context.AfterFunc(f.ctx, func() { server.Close() })
		// Ends with the fleet only.
		_ = server.Serve(listener)
		return nil
	})
	return "http://" + listener.Addr().String(), nil
}

func (f *Fleet) addNode(index int, url string, options Options) error {
	name := ident.Node(fmt.Sprintf("node-%03d", index))
	store, err := etcdhttp.New([]string{url}, etcdhttp.WithClientName(string(name)))
	if err != nil {
		return fmt.Errorf("client of %s: %w", name, err)
	}
	node := &Node{
		fleet:       f,
		peer:        confsync.Peer{Node: name, Zone: ident.Zone(fmt.Sprintf("zone-%02d", index%options.Zones))},
		connections: map[ident.Node]drpc.Conn{},
	}
	node.Replica, err = confsync.NewReplica(confsync.Options{
		Self:   node.peer,
		Store:  store,
		Peers:  node,
		Dialer: node,
		Seed:   options.Seed + uint64(index),
	})
	if err != nil {
		return fmt.Errorf("replica of %s: %w", name, err)
	}
	mux := drpcmux.New()
	if err := node.Replica.Register(mux); err != nil {
		return fmt.Errorf("service of %s: %w", name, err)
	}
	node.server = drpcserver.New(mux)
	node.Writer = confsync.NewWriter(store, node.Replica)
	f.nodes = append(f.nodes, node)
	f.byName[name] = node
	f.peers = append(f.peers, node.peer)
	return nil
}

// Peers implements confsync.PeerSource. The fleet is complete before any node runs.
func (n *Node) Peers() []confsync.Peer { return n.fleet.peers }

// Conn implements transport.Dialer.
func (n *Node) Conn(_ context.Context, to ident.Node) (drpc.Conn, error) {
	callee := n.fleet.byName[to]
	if callee == nil {
		return nil, fmt.Errorf("dial %s: %w", to, transport.ErrUnknownNode)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if existing := n.connections[to]; existing != nil && !isClosed(existing) {
		return existing, nil
	}
	near, far := net.Pipe()
	n.fleet.supervisor.Go(func() error {
		// A connection that breaks is made anew by its caller.
		_ = callee.server.ServeOne(n.fleet.ctx, far)
		return nil
	})
	n.connections[to] = drpcconn.New(&countingConnection{Conn: near, bytes: &n.fleet.wireBytes})
	return n.connections[to], nil
}

func isClosed(connection drpc.Conn) bool {
	select {
	case <-connection.Closed():
		return true
	default:
		return false
	}
}

// countingConnection counts the bytes of both directions.
type countingConnection struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (c *countingConnection) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.bytes.Add(int64(count))
	return count, err
}
