// Package node assembles the roles of one machine from its settings, runs them, and stops them in order.
package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/admission"
	"mallowlatch.example/mallowlatch/internal/batch"
	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/dispatch/exchange"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/gateway"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobclient"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/listener"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/ownership"
	"mallowlatch.example/mallowlatch/internal/placement"
	"mallowlatch.example/mallowlatch/internal/policy/live"
	"mallowlatch.example/mallowlatch/internal/settings"
	"mallowlatch.example/mallowlatch/internal/shardmap"
	"mallowlatch.example/mallowlatch/internal/tlsreload"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// Options are what a node needs besides its settings.
type Options struct {
	Logger zerolog.Logger
	// Registry gets the metrics and serves them on the admin listener.
	Registry *prometheus.Registry
	// OwnProcess says that the node is alone in its process and may set the processors and the collector of it.
	OwnProcess bool
}

// Node is one running mallowlatch process.
type Node struct {
	settings settings.Settings
	logger   zerolog.Logger
	registry *prometheus.Registry
	// ownProcess says that no other node is in the process.
	ownProcess bool
	tomb       tomb.Tomb

	kv          kv.Store
	credentials *transport.Credentials
	pool        *transport.Pool
	peerServer  *transport.Server
	members     *membership.Service
	peers       peers

	replica *confsync.Replica
	writer  *confsync.Writer
	// routes is nil on a node with a disk, storage on one without.
	routes  *shardmap.Client
	storage *storage
	jobs    *jobclient.Client

	policies    *live.Evaluator
	cutOff      *cutOffWatch
	demandMeter *demandMeter

	engines    *engineDirectory
	table      *dispatch.Table
	poller     *machinePoller
	owners     *ownership.Service
	exchange   *exchange.Exchange
	admission  *admission.Controller
	demand     *admission.Exchange
	dispatcher *dispatch.Dispatcher
	worker     *batch.Worker

	// placementAgent and placement are nil without a weight store.
	placementAgent *placement.Agent
	placement      *placement.Service

	gateway *gateway.Gateway

	drained      sync.Once
	callerServer *listener.Server
	adminServer  *listener.Server
	peerListener net.Listener
	reloaders    []*tlsreload.Reloader
}

// New assembles a node from checked settings. It opens the store and the sockets and starts nothing.
func New(config settings.Settings, options Options) (*Node, error) {
	node := &Node{settings: config, logger: options.Logger, registry: options.Registry, ownProcess: options.OwnProcess}
	steps := []func() error{
		node.assemblePeers,
		node.assembleConfiguration,
		node.assembleStorage,
		node.assemblePolicies,
		node.assembleOnline,
		node.assemblePlacement,
		node.assembleBatch,
		node.assembleCallerAPI,
		node.assembleAdminAPI,
		node.register,
		node.listen,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, fmt.Errorf("assemble node %s: %w", config.Node.ID, err)
		}
	}
	return node, nil
}

func (n *Node) id() ident.Node   { return ident.Node(n.settings.Node.ID) }
func (n *Node) zone() ident.Zone { return ident.Zone(n.settings.Node.Zone) }

// newRandom returns a source seeded from the system, for choices that must differ between nodes.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Run starts the node, serves until ctx ends or a part fails, and then stops it as planned.
func (n *Node) Run(ctx context.Context) error {
	if err := n.start(); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	event.NodeStarted.Log(n.logger).
		Str("caller", n.callerServer.Address()).
		Str("admin", n.adminServer.Address()).
		Str("peer", n.peerListener.Addr().String()).
		Send()
	select {
	case <-ctx.Done():
	case <-n.tomb.Dying():
	}
	return n.stop()
}

// start runs the parts. Peers come first: what follows needs them to find configuration and shards.
func (n *Node) start() error {
	if n.ownProcess {
		applyProcess(n.settings.Process)
		n.run(n.followLoad)
	}
	n.tomb.Go(func() error { return n.peerServer.Serve(n.peerListener) })
	n.members.Start(n.pool)
	n.run(n.replica.Run)
	if n.routes != nil {
		n.run(n.routes.Run)
	}
	if n.storage != nil {
		work, err := n.storage.Start()
		if err != nil {
			return err
		}
		for _, periodic := range work {
			n.run(periodic)
		}
	}
	n.run(n.poller.Run)
	n.run(n.followDrains)
	n.run(n.followMembers)
	n.owners.Start()
	n.exchange.Start()
	n.demand.Start()
	n.worker.Start()
	if n.placement != nil {
		n.placement.Start()
	}
	for _, reloader := range n.reloaders {
		n.run(func(ctx context.Context) error { return reloader.Run(ctx, n.settings.TLS.Poll) })
	}
	n.tomb.Go(n.adminServer.Serve)
	n.tomb.Go(n.callerServer.Serve)
	return nil
}

// run supervises a part that works until its context ends.
func (n *Node) run(work func(context.Context) error) {
	n.tomb.Go(func() error { return work(n.tomb.Context(context.Background())) })
}

// followDrains passes the operators' drains of each new configuration to the runner table, and drains this node if one
// of them names it. A drained node stays up, without work, until it is stopped; it takes work again after a restart.
func (n *Node) followDrains(ctx context.Context) error {
	for {
		snapshot := n.replica.Current()
		n.table.SetDrains(snapshot.Drains)
		if _, drained := snapshot.Drains[nodeDrainPrefix+string(n.id())]; drained {
			n.drain()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-n.replica.Changed(snapshot.Revision):
		}
	}
}

// followMembers has the pool forget the addresses of nodes that were replaced, of which there are some each day.
func (n *Node) followMembers(ctx context.Context) error {
	changed, cancel := n.members.Subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			n.pool.Forget(n.peers.dialled)
		}
	}
}

// nodeDrainPrefix begins the name of a drain of a node.
const nodeDrainPrefix = "node/"

// CallerAddress returns the address of the caller API.
func (n *Node) CallerAddress() string { return n.callerServer.Address() }

// AdminAddress returns the address of the admin API.
func (n *Node) AdminAddress() string { return n.adminServer.Address() }
