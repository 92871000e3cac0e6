// Package shardhost runs the shard replicas of a node with a disk: it carries their messages, writes their logs, and
// places and replaces replicas as nodes come and go.
package shardhost

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shardhost/shardhostpb"
	"mallowlatch.example/mallowlatch/internal/shardlog"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// Options describe a host. Node, Store, KV, Dialer, Nodes, Shards and Machine are required.
type Options struct {
	Node   ident.Node
	Store  *shardlog.Store
	KV     kv.Store
	Dialer transport.Dialer
	// Nodes returns the nodes with a disk, this one included, as the membership sees them now.
	Nodes func() []NodeInfo
	// Shards is the number of shards; they are created where they do not exist.
	Shards int
	// Machine returns the state machine of a shard.
	Machine func(ident.Shard) shard.Machine
	// Peer returns the authenticated name of the node behind an incoming call; nil trusts the message.
	Peer func(ctx context.Context) (ident.Node, bool)

	// Settings and Plan are shard.DefaultSettings and shard.DefaultPlanSettings if nil.
	Settings *shard.Settings
	Plan     *shard.PlanSettings
	// Prefix is DefaultPrefix if empty.
	Prefix string
	// DeadAfter is how long a node must be gone before its places move elsewhere; 30 s if zero.
	DeadAfter time.Duration
	// RetainedEntries and RetainedBytes bound the applied part of each log; 10,000 and 16 MiB if zero.
	RetainedEntries uint64
	RetainedBytes   uint64
	// MaximumBatch bounds the messages and proposals that one write of the log serves; 512 if zero. One means a sync for
	// each, which is only of use for comparison.
	MaximumBatch int
	// CatchUpStreams bounds the states that are sent from here at once, and those received; 2 if zero.
	CatchUpStreams int
	// CatchUpRate is how many bytes of state a second all streams from here may send together; 64 MiB if zero.
	CatchUpRate int
	Logger      zerolog.Logger
	Registerer  prometheus.Registerer
}

const (
	defaultDeadAfter       = 30 * time.Second
	defaultRetainedEntries = 10000
	defaultRetainedBytes   = 16 << 20
	defaultMaximumBatch    = 512
	defaultCatchUpStreams  = 2
	defaultCatchUpRate     = 64 << 20
)

func (o *Options) setDefaults() {
	if o.Settings == nil {
		settings := shard.DefaultSettings()
		o.Settings = &settings
	}
	if o.Plan == nil {
		plan := shard.DefaultPlanSettings()
		o.Plan = &plan
	}
	if o.Prefix == "" {
		o.Prefix = DefaultPrefix
	}
	if o.DeadAfter == 0 {
		o.DeadAfter = defaultDeadAfter
	}
	if o.RetainedEntries == 0 {
		o.RetainedEntries = defaultRetainedEntries
	}
	if o.MaximumBatch == 0 {
		o.MaximumBatch = defaultMaximumBatch
	}
	if o.CatchUpStreams == 0 {
		o.CatchUpStreams = defaultCatchUpStreams
	}
	if o.CatchUpRate == 0 {
		o.CatchUpRate = defaultCatchUpRate
	}
	if o.RetainedBytes == 0 {
		o.RetainedBytes = defaultRetainedBytes
	}
}

// Host runs the replicas of one node. It is safe for concurrent use.
type Host struct {
	options   Options
	self      shard.Member
	directory *Directory
	metrics   *metrics
	peers     *peers
	nodes     *nodeTracker
	started   time.Time
	tomb      tomb.Tomb
	// ctx ends when the host stops.
	ctx context.Context
	// sending and receiving bound the states on their way from here and to here; pace is the rate of those from here.
	sending, receiving chan struct{}
	pace               *rate.Limiter

	mutex    sync.Mutex
	replicas map[ident.Shard]*replica
	draining bool
}

// New returns a host that runs once Start is called.
func New(options Options) (*Host, error) {
	options.setDefaults()
	host := &Host{
		options: options, started: time.Now(), replicas: map[ident.Shard]*replica{},
		self:    shard.Member{Node: options.Node, Incarnation: options.Store.Incarnation()},
		sending: make(chan struct{}, options.CatchUpStreams), receiving: make(chan struct{}, options.CatchUpStreams),
		pace: rate.NewLimiter(rate.Limit(options.CatchUpRate), 2*snapshotChunkBytes),
	}
	host.ctx = host.tomb.Context(context.Background())
	host.directory = NewDirectory(options.KV, options.Prefix, options.Logger)
	host.directory.changed = host.recordChanged
	host.metrics = newMetrics(options.Registerer, host)
	host.peers = newPeers(host)
	host.nodes = newNodeTracker(host)
	return host, nil
}

// Register adds the host's calls to a server.
func (h *Host) Register(mux drpc.Mux) error {
	if err := shardhostpb.DRPCRegisterShards(mux, &server{host: h}); err != nil {
		return fmt.Errorf("registering the shard host: %w", err)
	}
	return nil
}

// Start opens the replicas on the disk and runs them.
func (h *Host) Start() error {
	known, err := h.options.Store.Shards()
	if err != nil {
		return err
	}
	for _, id := range known {
		if _, err := h.openReplica(id); err != nil {
			return err
		}
	}
	event.ShardHostStarted.Log(h.options.Logger).Str("incarnation", h.self.Incarnation).Int("replicas", len(known)).Send()
	h.tomb.Go(func() error { return h.directory.Follow(h.ctx) })
	h.tomb.Go(h.nodes.run)
	h.tomb.Go(h.bootstrap)
	h.tomb.Go(h.collect)
	return nil
}

// Stop ends all replicas. The store stays open.
func (h *Host) Stop() error {
	h.mutex.Lock()
	h.tomb.Kill(nil)
	h.mutex.Unlock()
	if err := h.tomb.Wait(); err != nil {
		return fmt.Errorf("stopping the shard host: %w", err)
	}
	return nil
}

// Dead is closed once the host has stopped.
func (h *Host) Dead() <-chan struct{} { return h.tomb.Dead() }

// Member returns this node's identity as a replica.
func (h *Host) Member() shard.Member { return h.self }

// Directory returns the routing directory.
func (h *Host) Directory() *Directory { return h.directory }

// Leader returns the node to ask first for a shard.
func (h *Host) Leader(id ident.Shard) (ident.Node, bool) {
	if local := h.replica(id); local != nil {
		if leader := local.leaderNode(); leader != "" {
			return leader, true
		}
	}
	return h.directory.Leader(id)
}

// Shards returns all known shards.
func (h *Host) Shards() []ident.Shard { return h.directory.Shards() }

// Replica returns the local replica of a shard, which may not exist: it then answers as one that follows.
func (h *Host) Replica(id ident.Shard) shard.Replica { return &localReplica{host: h, id: id} }

// Led returns the shards this node leads and serves.
func (h *Host) Led() []ident.Shard {
	var led []ident.Shard
	for _, local := range h.localReplicas() {
		if _, leading := local.leading(); leading {
			led = append(led, local.id)
		}
	}
	slices.Sort(led)
	return led
}

// Status returns the view of the local replica of a shard as of its last step.
func (h *Host) Status(id ident.Shard) (shard.Status, bool) {
	local := h.replica(id)
	if local == nil {
		return shard.Status{}, false
	}
	return local.published.Load().status, true
}

func (h *Host) replica(id ident.Shard) *replica {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.replicas[id]
}

func (h *Host) localReplicas() []*replica {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	locals := make([]*replica, 0, len(h.replicas))
	for _, local := range h.replicas {
		locals = append(locals, local)
	}
	return locals
}

// openReplica returns the running replica of a shard, and creates an empty one if there is none.
func (h *Host) openReplica(id ident.Shard) (*replica, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if running := h.replicas[id]; running != nil {
		return running, nil
	}
	// Stop kills under the mutex: a tomb that is alive here cannot end before Go.
	if !h.tomb.Alive() {
		return nil, fmt.Errorf("shard %d: stopping: %w", id, shard.ErrUnavailable)
	}
	log, err := h.options.Store.Log(id)
	if err != nil {
		return nil, err
	}
	opened := newReplica(h, id, log)
	h.replicas[id] = opened
	h.tomb.Go(opened.run)
	return opened, nil
}

// recordChanged tells a replica of its stored set, and creates the replica if this node is a member.
func (h *Host) recordChanged(id ident.Shard, record Record) {
	local := h.replica(id)
	if local == nil && record.Configuration.Has(h.self) && h.tomb.Alive() {
		opened, err := h.openReplica(id)
		if err != nil {
			event.ShardReplicaFailed.Log(h.options.Logger).Uint32("shard", uint32(id)).Err(err).Send()
			return
		}
		local = opened
	}
	if local != nil {
		local.input(func() error {
			local.driver.Observe(record.Configuration, record.Revision)
			return nil
		})
	}
}

// now is the host's monotonic clock.
func (h *Host) now() time.Duration { return time.Since(h.started) }
