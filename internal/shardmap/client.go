package shardmap

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	pb "mallowlatch.example/mallowlatch/internal/shardmap/shardmappb"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// callTimeout is the time limit of one poll; replies over a slow link arrive well within it.
const callTimeout = time.Second

// Options configures a Client.
type Options struct {
	Self ident.Node
	Zone ident.Zone
	// Peers returns the live nodes that have a disk.
	Peers     func() []Peer
	Dialer    transport.Dialer
	Intervals Intervals
	// Jitter returns a number in [0, 1).
	Jitter     func() float64
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
}

// Client polls other nodes for the routes of the job shards and caches them. It is safe for concurrent use.
type Client struct {
	options Options
	table   table
	polls   *prometheus.CounterVec
	// wake holds a token if a miss may have rescheduled the next poll.
	wake chan struct{}

	mutex    sync.Mutex
	schedule *schedule
}

// NewClient returns a client with no routes; Run fetches them.
func NewClient(options Options) *Client {
	client := &Client{
		options:  options,
		table:    table{routes: map[ident.Shard]Route{}},
		wake:     make(chan struct{}, 1),
		schedule: newSchedule(options.Self, options.Zone, options.Intervals),
		polls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowlatch_shardmap_polls_total",
			Help: "Questions for the routes of the job shards, by result: changed, unchanged, failed.",
		}, []string{"result"}),
	}
	if options.Registerer != nil {
		options.Registerer.MustRegister(client.polls)
	}
	return client
}

// Leader returns the node to contact first for a shard, and whether the shard is known. For an unknown shard the next poll is
// brought forward.
func (c *Client) Leader(shard ident.Shard) (ident.Node, bool) {
	node, known := c.table.preferred(shard)
	if !known {
		c.Missed(shard)
	}
	return node, known
}

// Missed reports that a shard's leader was unknown, unreachable or no longer the leader. It brings the next poll forward,
// subject to the backoff of polls.
func (c *Client) Missed(ident.Shard) {
	c.mutex.Lock()
	c.schedule.recordMiss()
	c.mutex.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run polls until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.waitForNextPoll(ctx) {
			c.poll(ctx)
		}
	}
	return nil
}

// waitForNextPoll waits until the next poll is due. It returns false if the poll may have been rescheduled or the context
// has ended.
func (c *Client) waitForNextPoll(ctx context.Context) bool {
	c.mutex.Lock()
	wait := time.Until(c.schedule.nextPoll)
	c.mutex.Unlock()
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.wake:
		return false
	case <-timer.C:
		return true
	}
}

func (c *Client) poll(ctx context.Context) {
	peer, known, found := c.startPoll()
	if !found {
		return
	}
	reply, err := c.read(ctx, peer, known)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		event.ShardMapPollFailed.Log(c.options.Logger).Str("peer", string(peer)).Err(err).Send()
		c.recordFailure(peer)
		return
	}
	c.recordReply(peer, reply)
}

// startPoll chooses the peer to poll and returns the last version received from it. It reports false if there is no peer.
func (c *Client) startPoll() (ident.Node, version, bool) {
	peers := c.options.Peers()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	peer, known, found := c.schedule.choose(now, peers)
	if !found {
		c.schedule.recordNoPeers(now, c.options.Jitter())
		return "", version{}, false
	}
	c.schedule.startPoll()
	return peer, known, true
}

func (c *Client) read(ctx context.Context, peer ident.Node, known version) (*pb.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	connection, err := c.options.Dialer.Conn(ctx, peer)
	if err != nil {
		return nil, fmt.Errorf("read routes: %w", err)
	}
	request := &pb.ReadRequest{}
	if known != (version{}) {
		request.Known = &pb.Version{Source: known.source, Sequence: known.sequence}
	}
	reply, err := pb.NewDRPCShardMapClient(connection).Read(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("read routes: %w", err)
	}
	return reply, nil
}

func (c *Client) recordFailure(peer ident.Node) {
	c.polls.WithLabelValues("failed").Inc()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.schedule.recordFailure(time.Now(), peer, c.options.Jitter())
}

func (c *Client) recordReply(peer ident.Node, reply *pb.ReadReply) {
	changed := c.table.merge(decodeRoutes(reply.GetRoutes()))
	result := "unchanged"
	if changed {
		result = "changed"
	}
	c.polls.WithLabelValues(result).Inc()
	known := version{source: reply.GetVersion().GetSource(), sequence: reply.GetVersion().GetSequence()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.schedule.recordReply(time.Now(), peer, known, changed, c.options.Jitter())
}

// Routes returns the routes received so far, in no particular order.
func (c *Client) Routes() []Route { return c.table.all() }
