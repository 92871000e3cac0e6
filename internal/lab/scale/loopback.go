package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/membership/membershippb"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// Loopback is a run in real time: hollow nodes with the real membership, distribution of configuration and transport,
// over mutual TLS on loopback, all in one process.
type Loopback struct {
	Shape Shape
	Seed  uint64
	// Warm is how long the nodes run before they are measured, Length how long they are measured.
	Warm, Length time.Duration
	// Configuration adds the distribution of configuration, in front of a key-value service in the process's memory.
	Configuration bool
	// Runners and Rate add the runner exchange and ownership before that many runners in the process's memory, under that
	// many online requests a second over the fleet; a run with several processes can't have them. Zero means none.
	Runners int
	Rate    float64
	// First and Count select the nodes that this process runs, where several processes share the fleet because one may
	// not open enough files; a zero Count means all. BasePort is then the port of node zero, and Directory holds the
	// certificates, which the process with node zero makes.
	First, Count int
	BasePort     int
	Directory    string
}

// loopbackNode is one hollow node of a loopback run.
type loopbackNode struct {
	self     membership.Self
	listener net.Listener
	server   *transport.Server
	pool     *transport.Pool
	members  *membership.Service
	replica  *confsync.Replica
	control  *loopbackControl
}

// loopbackRun is a loopback run under way.
type loopbackRun struct {
	Loopback
	tomb     *tomb.Tomb
	registry *prometheus.Registry
	metrics  *transport.Metrics
	store    *kvtest.Data
	engines  *loopbackEngines
	nodes    []*loopbackNode
}

// Run starts the nodes, waits, and measures.
func (l Loopback) Run(ctx context.Context) ([]Measurement, error) {
	directory := l.Directory
	if directory == "" {
		made, err := os.MkdirTemp("", "mallowlatch-scale")
		if err != nil {
			return nil, fmt.Errorf("make folder for certificates: %w", err)
		}
		defer func() { _ = os.RemoveAll(made) }()
		directory = made
	}
	if l.Count == 0 {
		l.Count = l.Shape.Nodes
	}
	if err := l.certify(ctx, directory); err != nil {
		return nil, err
	}
	supervisor, ctx := tomb.WithContext(ctx)
	r := &loopbackRun{Loopback: l, tomb: supervisor, registry: prometheus.NewRegistry(), store: kvtest.NewData(time.Now)}
	r.metrics = transport.NewMetrics(r.registry)
	r.engines = newLoopbackEngines(l.Shape, l.Runners)
	if err := r.start(ctx, directory); err != nil {
		return nil, err
	}
	defer r.stop()
	return r.measure(ctx)
}

// certify makes the certificates of all nodes, or waits until the process with node zero has.
func (l Loopback) certify(ctx context.Context, directory string) error {
	done := filepath.Join(directory, "done")
	for l.First > 0 {
		if _, err := os.Stat(done); err == nil {
			return nil
		}
		if err := wait(ctx, time.Second); err != nil {
			return err
		}
	}
	signer, err := newAuthority(directory)
	if err != nil {
		return err
	}
	for index := range l.Shape.Nodes {
		if err := signer.issue(l.Shape.Place(index).Node); err != nil {
			return err
		}
	}
	if err := os.WriteFile(done, nil, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", done, err)
	}
	return nil
}

// address returns where a node listens; without a base port any free one will do.
func (l Loopback) address(index int) string {
	if l.BasePort == 0 {
		return "127.0.0.1:0"
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(l.BasePort+index))
}

// seeds returns the peer addresses of two nodes of different zones.
func (r *loopbackRun) seeds() []string {
	if r.BasePort != 0 {
		return []string{r.address(0), r.address(r.Shape.Nodes / 2)}
	}
	return []string{r.nodes[0].self.PeerAddress, r.nodes[len(r.nodes)/2].self.PeerAddress}
}

func (r *loopbackRun) start(ctx context.Context, directory string) error {
	for index := r.First; index < r.First+r.Count; index++ {
		listener, err := net.Listen("tcp", r.address(index))
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		self := r.Shape.Place(index)
		self.PeerAddress = listener.Addr().String()
		self.Started = time.Now()
		r.nodes = append(r.nodes, &loopbackNode{self: self, listener: listener})
	}
	for index, node := range r.nodes {
		if err := r.assemble(node, directory, uint64(r.First+index)); err != nil {
			return err
		}
		r.tomb.Go(func() error { return node.server.Serve(node.listener) })
		node.members.Start(node.pool)
		if node.control != nil {
			r.startControl(node, rand.New(rand.NewPCG(r.Seed+1, uint64(r.First+index))))
		}
		if node.replica != nil {
			r.tomb.Go(func() error { return node.replica.Run(ctx) })
		}
	}
	return nil
}

func (r *loopbackRun) assemble(node *loopbackNode, directory string, index uint64) error {
	credentials, err := transport.LoadCredentials(credentialFiles(directory, node.self.Node), zerolog.Nop())
	if err != nil {
		return fmt.Errorf("credentials of %s: %w", node.self.Node, err)
	}
	node.server = transport.NewServer(transport.ServerOptions{Credentials: credentials, Metrics: r.metrics})
	node.members = membership.NewService(membership.Options{
		Self:   node.self,
		Seeds:  r.seeds(),
		Random: rand.New(rand.NewPCG(r.Seed, index)),
		Logger: zerolog.Nop(),
	})
	node.pool = transport.NewPool(transport.PoolOptions{
		Lookup: node.members.Address, Credentials: credentials, Metrics: r.metrics,
	})
	if err := membershippb.DRPCRegisterMembership(node.server, node.members); err != nil {
		return fmt.Errorf("register membership: %w", err)
	}
	if r.Runners > 0 {
		if err := r.addControl(node); err != nil {
			return err
		}
	}
	if !r.Configuration {
		return nil
	}
	node.replica, err = confsync.NewReplica(confsync.Options{
		Self:   confsync.Peer{Node: node.self.Node, Zone: node.self.Zone},
		Store:  kvtest.NewStore(r.store, index),
		Peers:  livePeers{node},
		Dialer: node.pool,
		Logger: zerolog.Nop(),
		Seed:   r.Seed + index,
	})
	if err != nil {
		return fmt.Errorf("replica of %s: %w", node.self.Node, err)
	}
	if err := node.replica.Register(node.server); err != nil {
		return fmt.Errorf("register replica: %w", err)
	}
	return nil
}

// livePeers shows the membership to the distribution of configuration.
type livePeers struct{ node *loopbackNode }

// Peers returns the live nodes other than the own one.
func (l livePeers) Peers() []confsync.Peer {
	var peers []confsync.Peer
	for _, member := range l.node.members.View().Live("") {
		if member.Node != l.node.self.Node {
			peers = append(peers, confsync.Peer{Node: member.Node, Zone: member.Zone})
		}
	}
	return peers
}

// measure waits for the warm-up and returns one measurement for the whole and one for the traffic of each service.
func (r *loopbackRun) measure(ctx context.Context) ([]Measurement, error) {
	settled, err := r.warmUp(ctx)
	if err != nil {
		return nil, err
	}
	before, suspicions, processor, start := r.counters(), r.suspicions(), processorTime(), time.Now()
	if err := wait(ctx, r.Length); err != nil {
		return nil, err
	}
	seconds := time.Since(start).Seconds()
	spent := processorTime() - processor
	resident, err := residentBytes()
	if err != nil {
		return nil, err
	}
	nodes := float64(len(r.nodes))
	whole := Measurement{
		Phase: "loopback", Nodes: len(r.nodes), Seconds: seconds, Settled: settled,
		CoreShare: spent.Seconds() / seconds / nodes, MemoryBytes: resident / nodes,
		RunnersOwned: r.owned(),
		Suspicions:   float64(r.suspicions()-suspicions) / seconds / nodes,
	}
	results := []Measurement{whole}
	for service, after := range r.counters() {
		part := Measurement{
			Phase: "of it " + service, Nodes: len(r.nodes), Seconds: seconds,
			MessagesOut: (after.calls - before[service].calls) / seconds / nodes,
			BytesOut:    (after.sent - before[service].sent) / seconds / nodes,
			BytesIn:     (after.received - before[service].received) / seconds / nodes,
		}
		results[0].MessagesOut += part.MessagesOut
		results[0].BytesOut += part.BytesOut
		results[0].BytesIn += part.BytesIn
		results = append(results, part)
	}
	return results, nil
}

// warmUp waits for the warm-up's length and returns when all nodes first saw all others alive, or a negative time.
func (r *loopbackRun) warmUp(ctx context.Context) (time.Duration, error) {
	settled := time.Duration(-1)
	start := time.Now()
	for time.Since(start) < r.Warm {
		if err := wait(ctx, time.Second); err != nil {
			return 0, err
		}
		if settled < 0 && r.agree() {
			settled = time.Since(start)
		}
	}
	return settled, nil
}

func (r *loopbackRun) agree() bool {
	for _, node := range r.nodes {
		if len(node.members.View().Live("")) != r.Shape.Nodes {
			return false
		}
	}
	return true
}

// suspicions adds up what the nodes' own probes made suspect.
func (r *loopbackRun) suspicions() uint64 {
	var sum uint64
	for _, node := range r.nodes {
		sum += node.members.Counts().Suspicions
	}
	return sum
}

type serviceCounters struct{ calls, sent, received float64 }

// counters adds up the transport's counters by service. A call counts as a message on each of its two sides.
func (r *loopbackRun) counters() map[string]serviceCounters {
	sums := map[string]serviceCounters{}
	families, err := r.registry.Gather()
	if err != nil {
		panic(fmt.Sprintf("gather: %v", err))
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			service := ""
			for _, label := range metric.GetLabel() {
				if label.GetName() == "service" {
					service = label.GetValue()
				}
			}
			sum := sums[service]
			switch value := metric.GetCounter().GetValue(); family.GetName() {
			case "mallowlatch_transport_finished_calls":
				sum.calls += value
			case "mallowlatch_transport_sent_bytes":
				sum.sent += value
			case "mallowlatch_transport_received_bytes":
				sum.received += value
			default:
				continue
			}
			sums[service] = sum
		}
	}
	return sums
}

func (r *loopbackRun) stop() {
	r.tomb.Kill(nil)
	cut, cancel := context.WithCancel(context.Background())
	cancel()
	for _, node := range r.nodes {
		if node.control != nil {
			_ = node.control.exchange.Stop()
			_ = node.control.owners.Release(cut)
		}
		_ = node.members.Stop(cut)
		_ = node.pool.Close()
		_ = node.server.Stop(cut)
	}
	_ = r.tomb.Wait()
}

func wait(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("scale run: %w", ctx.Err())
	}
}

// residentBytes reads the process's resident set.
func residentBytes() (float64, error) {
	statm, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, fmt.Errorf("resident set: %w", err)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("resident set: %w", err)
	}
	return float64(pages * int64(os.Getpagesize())), nil
}
