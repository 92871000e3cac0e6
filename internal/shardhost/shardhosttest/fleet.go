// Package shardhosttest runs a small fleet of shard hosts in one process: the real hosts over the real transport on
// loopback, with disks in memory or in a folder and the key-value service in memory.
package shardhosttest

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/vfs"
	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shardhost"
	"mallowlatch.example/mallowlatch/internal/shardlog"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// Options describe a fleet.
type Options struct {
	Nodes  int
	Shards int
	// Zones is the number of zones the nodes are spread over; 3 if zero.
	Zones   int
	Machine func(ident.Shard) shard.Machine
	// Folder holds the disks; empty keeps them in memory.
	Folder string
	// Settings and Plan default to FastSettings and FastPlan.
	Settings *shard.Settings
	Plan     *shard.PlanSettings
	// RetainedEntries and MaximumBatch are those of the hosts.
	RetainedEntries uint64
	MaximumBatch    int
	// CatchUpStreams and CatchUpRate are those of the hosts.
	CatchUpStreams, CatchUpRate int
	// Dialer wraps the dialer of each host, to break its calls; nil leaves it.
	Dialer func(transport.Dialer) transport.Dialer
	Logger zerolog.Logger
}

const defaultZones = 3

// FastSettings are production's times shortened for tests.
func FastSettings() *shard.Settings {
	settings := shard.DefaultSettings()
	settings.Heartbeat = 50 * time.Millisecond
	settings.Lease = 400 * time.Millisecond
	settings.Election = 600 * time.Millisecond
	return &settings
}

// FastPlan are production's times shortened for tests.
func FastPlan() *shard.PlanSettings {
	plan := shard.DefaultPlanSettings()
	plan.SuspectAfter = 2 * time.Second
	plan.SuspectedAfter = time.Second
	plan.AloneAfter = 4 * time.Second
	return &plan
}

// Fleet is a set of nodes. It is safe for concurrent use.
type Fleet struct {
	options Options
	KV      *kvtest.Store

	mutex sync.Mutex
	nodes []*node
}

type node struct {
	name    ident.Node
	zone    ident.Zone
	fs      vfs.FS
	folder  string
	disks   int
	address string
	running bool
	leaving bool
	store   *shardlog.Store
	pool    *transport.Pool
	server  *transport.Server
	host    *shardhost.Host
	served  chan error
}

// New returns a fleet of stopped nodes.
func New(options Options) *Fleet {
	if options.Zones == 0 {
		options.Zones = defaultZones
	}
	if options.Settings == nil {
		options.Settings = FastSettings()
	}
	if options.Plan == nil {
		options.Plan = FastPlan()
	}
	fleet := &Fleet{options: options, KV: kvtest.New(1)}
	for number := range options.Nodes {
		created := &node{
			name: ident.Node(fmt.Sprintf("node-%d", number)),
			zone: ident.Zone(fmt.Sprintf("zone-%d", number%options.Zones)),
		}
		fleet.nodes = append(fleet.nodes, created)
		fleet.blank(created)
	}
	return fleet
}

// blank gives a node an empty disk.
func (f *Fleet) blank(blanked *node) {
	blanked.disks++
	blanked.fs = vfs.NewMem()
	blanked.folder = "/data"
	if f.options.Folder != "" {
		blanked.fs = vfs.Default
		blanked.folder = filepath.Join(f.options.Folder, fmt.Sprintf("%s-%d", blanked.name, blanked.disks))
	}
}

// Name returns the name of a node.
func (f *Fleet) Name(number int) ident.Node { return f.nodes[number].name }

// Host returns the running host of a node, or nil.
func (f *Fleet) Host(number int) *shardhost.Host {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.nodes[number].running {
		return nil
	}
	return f.nodes[number].host
}

// Store returns the disk of a running node.
func (f *Fleet) Store(number int) *shardlog.Store {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.nodes[number].store
}

// StartAll starts every node that is stopped.
func (f *Fleet) StartAll() error {
	for number := range f.nodes {
		if f.Host(number) != nil {
			continue
		}
		if err := f.Start(number); err != nil {
			return err
		}
	}
	return nil
}

// Start starts a node.
func (f *Fleet) Start(number int) error {
	started := f.nodes[number]
	store, err := shardlog.Open(started.folder, shardlog.Options{FS: started.fs})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	pool := transport.NewPool(transport.PoolOptions{Lookup: func(to ident.Node) (string, bool) {
		return f.lookup(to)
	}})
	var dialer transport.Dialer = pool
	if f.options.Dialer != nil {
		dialer = f.options.Dialer(pool)
	}
	host, err := shardhost.New(shardhost.Options{
		Node: started.name, Store: store, KV: f.KV, Dialer: dialer, Nodes: f.view, Shards: f.options.Shards,
		Machine: f.options.Machine, Settings: f.options.Settings, Plan: f.options.Plan,
		RetainedEntries: f.options.RetainedEntries, MaximumBatch: f.options.MaximumBatch, DeadAfter: 2 * time.Second,
		CatchUpStreams: f.options.CatchUpStreams, CatchUpRate: f.options.CatchUpRate,
		Logger: f.options.Logger.With().Str("node", string(started.name)).Logger(),
	})
	if err != nil {
		return err
	}
	server := transport.NewServer(transport.ServerOptions{Logger: zerolog.Nop()})
	if err := host.Register(server); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	f.mutex.Lock()
	started.store, started.pool, started.server, started.host, started.served = store, pool, server, host, served
	started.address = listener.Addr().String()
	started.running = true
	started.leaving = false
	f.mutex.Unlock()
	return host.Start()
}

// view is the membership all nodes share: it knows at once who runs.
func (f *Fleet) view() []shardhost.NodeInfo {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var nodes []shardhost.NodeInfo
	for _, known := range f.nodes {
		nodes = append(nodes, shardhost.NodeInfo{
			Node: known.name, Zone: known.zone, Alive: known.running, Draining: known.leaving,
		})
	}
	return nodes
}

func (f *Fleet) lookup(to ident.Node) (string, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	address := ""
	for _, known := range f.nodes {
		if known.name == to && known.running {
			address = known.address
		}
	}
	return address, address != ""
}

// Stop stops a node without patience: calls under way are cut, as by a crash. Its disk stays.
func (f *Fleet) Stop(number int) error {
	hurried, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := f.StopWithin(hurried, number)
	return err
}

// Announce tells all nodes that one is about to stop as planned.
func (f *Fleet) Announce(number int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nodes[number].leaving = true
}

// StopWithin stops a node and gives its calls under way until ctx ends. cut says that some had not ended then.
func (f *Fleet) StopWithin(ctx context.Context, number int) (cut, err error) {
	f.mutex.Lock()
	stopped := f.nodes[number]
	wasRunning := stopped.running
	stopped.running = false
	f.mutex.Unlock()
	if !wasRunning {
		return nil, nil
	}
	if err := stopped.host.Stop(); err != nil {
		return nil, err
	}
	if err := stopped.pool.Close(); err != nil {
		return nil, fmt.Errorf("closing the pool: %w", err)
	}
	cut = stopped.server.Stop(ctx)
	<-stopped.served
	return cut, stopped.store.Close()
}

// Wipe stops a node and gives it an empty disk.
func (f *Fleet) Wipe(number int) error {
	err := f.Stop(number)
	f.blank(f.nodes[number])
	return err
}

// Close stops all nodes.
func (f *Fleet) Close() error {
	for number := range f.nodes {
		if err := f.Stop(number); err != nil {
			return err
		}
	}
	return nil
}

// Size returns the number of nodes.
func (f *Fleet) Size() int { return len(f.nodes) }
