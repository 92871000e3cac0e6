// Package jobclient gives a node the job store and the ledger: it routes each call to the leader of the tenant's home
// shard, here or on another node, retries where that is safe, and says of every failure whether the call took effect.
package jobclient

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/jobstore"
	"mallowlatch.example/mallowlatch/internal/ledger"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// Directory knows the shards and, as far as it has heard, their leaders.
type Directory interface {
	// Shards returns the fixed number of shards.
	Shards() int
	// Leader returns the node thought to lead a shard.
	Leader(shard ident.Shard) (ident.Node, bool)
}

// Options are what a Client needs.
type Options struct {
	// Self is this node.
	Self ident.Node
	// Local serves the shards with a replica on this node; nil on a node without a disk.
	Local *jobstore.Registry
	// Dialer connects to other nodes; nil if all shards are here.
	Dialer    transport.Dialer
	Directory Directory
	// Missed is told when a shard's leader was unreachable or not the leader; nil means that nobody is.
	Missed func(shard ident.Shard)
	Logger zerolog.Logger
	// Attempts bounds how often a call is sent; zero means DefaultAttempts.
	Attempts int
	// Backoff is the pause after the first attempt, doubled after each; zero means DefaultBackoff.
	Backoff time.Duration
	// AttemptTimeout bounds one attempt; zero means DefaultAttemptTimeout.
	AttemptTimeout time.Duration
	// NewID returns a fresh identifier that sorts by time; nil means a ULID.
	NewID func() string
}

// The defaults of Options. Six attempts take about 1.5 s of pauses: a change of leader between live nodes.
const (
	DefaultAttempts       = 6
	DefaultBackoff        = 50 * time.Millisecond
	DefaultAttemptTimeout = 5 * time.Second
)

// Client implements job.Service, job.Work and ledger.Ledger.
type Client struct {
	options Options
	tomb    tomb.Tomb
	// running counts background work.
	running sync.WaitGroup

	mutex sync.Mutex
	// hints are leaders that replies named, newer than what the directory knows.
	hints map[ident.Shard]ident.Node
	// held are the items of the leases this node holds, so that a new leader can adopt them.
	held map[string]*heldLease
}

var (
	_ job.Service   = (*Client)(nil)
	_ job.Work      = (*Client)(nil)
	_ ledger.Ledger = (*Client)(nil)
)

// New returns a client. Close ends its background work.
func New(options Options) *Client {
	if options.Attempts == 0 {
		options.Attempts = DefaultAttempts
	}
	if options.Backoff == 0 {
		options.Backoff = DefaultBackoff
	}
	if options.AttemptTimeout == 0 {
		options.AttemptTimeout = DefaultAttemptTimeout
	}
	if options.NewID == nil {
		options.NewID = func() string { return ulid.Make().String() }
	}
	if options.Missed == nil {
		options.Missed = func(ident.Shard) {}
	}
	client := &Client{options: options, hints: map[ident.Shard]ident.Node{}, held: map[string]*heldLease{}}
	client.tomb.Go(func() error {
		<-client.tomb.Dying()
		return nil
	})
	return client
}

// Close ends background work and waits for it.
func (c *Client) Close() error {
	c.tomb.Kill(nil)
	return c.tomb.Wait()
}

// background runs work that nobody waits for, such as the release of a lease whose grant was lost.
func (c *Client) background(work func(ctx context.Context)) {
	if !c.tomb.Alive() {
		return
	}
	c.running.Add(1)
	c.tomb.Go(func() error {
		defer c.running.Done()
		ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), c.options.AttemptTimeout)
		defer cancel()
		work(ctx)
		return nil
	})
}

func (c *Client) home(tenant ident.Tenant) ident.Shard {
	return jobstore.HomeShard(tenant, c.options.Directory.Shards())
}
