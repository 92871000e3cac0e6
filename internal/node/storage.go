package node

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobstore"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/settings"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shardhost"
	"mallowlatch.example/mallowlatch/internal/shardlog"
	"mallowlatch.example/mallowlatch/internal/shardmap"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// storage is the job storage of a node with a disk: the store, the shard replicas, and the servers of the shards they
// lead. A node without a disk has none.
type storage struct {
	store    *shardlog.Store
	host     *shardhost.Host
	registry *jobstore.Registry
	servers  []*jobstore.Server
}

// writeBufferBytes is the size of one write buffer of the store. Batch items are written twice, to the log and to the
// state; with smaller buffers most of a disk node's processor time goes into compacting them.
const writeBufferBytes = 8 << 20

// storageOptions are what openStorage needs.
type storageOptions struct {
	settings settings.Settings
	kv       kv.Store
	dialer   transport.Dialer
	peers    peers
	// peer names the authenticated node behind a call; nil without TLS, where the message is trusted (loopback only).
	peer       func(context.Context) (ident.Node, bool)
	repeatable func(service string) bool
	quota      func(tenant ident.Tenant) jobstore.Quota
	logger     zerolog.Logger
	registerer prometheus.Registerer
}

// openStorage opens the store in the data folder. Nothing runs until Start.
func openStorage(options storageOptions) (*storage, error) {
	store, err := shardlog.Open(string(options.settings.DataDir), shardlog.Options{MemTableBytes: writeBufferBytes})
	if err != nil {
		return nil, fmt.Errorf("open job storage: %w", err)
	}
	plan := shard.DefaultPlanSettings()
	plan.Copies = options.settings.Jobs.Replicas
	host, err := shardhost.New(shardhost.Options{
		Node:    ident.Node(options.settings.Node.ID),
		Store:   store,
		KV:      options.kv,
		Dialer:  options.dialer,
		Nodes:   options.peers.disks,
		Shards:  options.settings.Jobs.Shards,
		Machine: func(ident.Shard) shard.Machine { return jobstore.NewMachine() },
		Peer:    options.peer,
		Plan:    &plan,

		CatchUpStreams: options.settings.Jobs.CatchUpStreams,
		CatchUpRate:    int(options.settings.Jobs.CatchUpRate),

		Logger:     options.logger,
		Registerer: options.registerer,
	})
	if err != nil {
		return nil, closeAfter(store, err)
	}
	registerLogBytes(options.registerer, store)
	opened := &storage{store: store, host: host, registry: jobstore.NewRegistry()}
	opened.addServers(options)
	return opened, nil
}

// registerLogBytes exports what the store wrote to its write-ahead log.
func registerLogBytes(registerer prometheus.Registerer, store *shardlog.Store) {
	if registerer == nil {
		return
	}
	registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "mallowlatch_shard_log_written_bytes_total", Help: "Bytes written to the write-ahead log.",
	}, func() float64 { return float64(store.Usage().WrittenBytes) }))
}

func closeAfter(store *shardlog.Store, cause error) error {
	if err := store.Close(); err != nil {
		return fmt.Errorf("%w; closing the store: %w", cause, err)
	}
	return cause
}

func (s *storage) addServers(options storageOptions) {
	limits := jobstore.DefaultSettings()
	limits.MinimumCopies = options.settings.Jobs.MinimumCopies
	limits.LeaseTTL = options.settings.Jobs.LeaseTTL
	limits.FileRetention = options.settings.Jobs.Retention
	limits.JobRetention = options.settings.Jobs.Retention
	limits.MaxFileBytes = int64(options.settings.Limits.BatchFileBytes)
	limits.Repeatable = options.repeatable
	limits.Quota = options.quota
	limits.Room = newDiskRoom(options.settings, s.store).now
	limits.Gone = options.peers.restartedSince
	metrics := jobstore.NewMetrics(options.registerer)
	for number := range options.settings.Jobs.Shards {
		id := ident.Shard(number)
		server := jobstore.NewServer(id, s.host.Replica(id), limits, options.logger, metrics)
		s.registry.Add(server)
		s.servers = append(s.servers, server)
	}
}

// Register adds the storage's calls to the peer listener.
func (s *storage) Register(mux drpc.Mux) error {
	if err := s.host.Register(mux); err != nil {
		return fmt.Errorf("register shard host: %w", err)
	}
	routes := shardmap.NewServer(knownRoutes{directory: s.host.Directory()}, rand.Uint64())
	if err := routes.Register(mux); err != nil {
		return err
	}
	return jobstore.Register(mux, s.registry)
}

// Start runs the replicas and returns the periodic work of the shard servers, to be supervised by the node.
func (s *storage) Start() ([]func(context.Context) error, error) {
	if err := s.host.Start(); err != nil {
		return nil, fmt.Errorf("start shard host: %w", err)
	}
	work := make([]func(context.Context) error, len(s.servers))
	for index, server := range s.servers {
		work[index] = server.Run
	}
	return work, nil
}

// Close stops the replicas and closes the store.
func (s *storage) Close() error {
	if err := s.host.Stop(); err != nil {
		return closeAfter(s.store, fmt.Errorf("stop shard host: %w", err))
	}
	return s.store.Close()
}
