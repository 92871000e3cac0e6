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

// callTimeout bounds one question; a peer across a weak link answers well within it.
const callTimeout = time.Second

// Options are what a Client needs.
type Options struct {
	Self ident.Node
	Zone ident.Zone
	// Peers returns the live nodes with a disk.
	Peers     func() []Peer
	Dialer    transport.Dialer
	Intervals Intervals
	// Jitter returns a number in [0, 1).
	Jitter     func() float64
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
}

// Client knows the routes from other nodes. It is safe for concurrent use.
type Client struct {
	options Options
	table   table
	polls   *prometheus.CounterVec
	// woken holds a token if a miss moved the next question.
	woken chan struct{}

	mutex sync.Mutex
	plan  *plan
}

// NewClient returns a client that knows nothing until Run has asked.
func NewClient(options Options) *Client {
	client := &Client{
		options: options,
		table:   table{routes: map[ident.Shard]Route{}},
		woken:   make(chan struct{}, 1),
		plan:    newPlan(options.Self, options.Zone, options.Intervals),
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

// Leader returns the node to ask first for a shard, and whether the shard is known. An unknown one is asked for at once.
func (c *Client) Leader(shard ident.Shard) (ident.Node, bool) {
	node, known := c.table.first(shard)
	if !known {
		c.Missed(shard)
	}
	return node, known
}

// Missed tells that a shard's leader was unknown, unreachable or another: the routes are asked for at once.
func (c *Client) Missed(ident.Shard) {
	c.mutex.Lock()
	c.plan.miss()
	c.mutex.Unlock()
	select {
	case c.woken <- struct{}{}:
	default:
	}
}

// Run asks until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.waitDue(ctx) {
			c.ask(ctx)
		}
	}
	return nil
}

// waitDue waits for the next question, and reports false if its time may have moved.
func (c *Client) waitDue(ctx context.Context) bool {
	c.mutex.Lock()
	wait := time.Until(c.plan.due)
	c.mutex.Unlock()
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.woken:
		return false
	case <-timer.C:
		return true
	}
}

func (c *Client) ask(ctx context.Context) {
	peer, known, found := c.begin()
	if !found {
		return
	}
	reply, err := c.read(ctx, peer, known)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		event.ShardMapPollFailed.Log(c.options.Logger).Str("peer", string(peer)).Err(err).Send()
		c.failed(peer)
		return
	}
	c.answered(peer, reply)
}

// begin chooses whom to ask.
func (c *Client) begin() (ident.Node, version, bool) {
	peers := c.options.Peers()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	peer, known, found := c.plan.choose(now, peers)
	if !found {
		c.plan.alone(now, c.options.Jitter())
		return "", version{}, false
	}
	c.plan.begin()
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

func (c *Client) failed(peer ident.Node) {
	c.polls.WithLabelValues("failed").Inc()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.plan.failed(time.Now(), peer, c.options.Jitter())
}

func (c *Client) answered(peer ident.Node, reply *pb.ReadReply) {
	changed := c.table.merge(decodeRoutes(reply.GetRoutes()))
	result := "unchanged"
	if changed {
		result = "changed"
	}
	c.polls.WithLabelValues(result).Inc()
	known := version{source: reply.GetVersion().GetSource(), sequence: reply.GetVersion().GetSequence()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.plan.answered(time.Now(), peer, known, changed, c.options.Jitter())
}

// Routes returns what this reader was told.
func (c *Client) Routes() []Route { return c.table.all() }
