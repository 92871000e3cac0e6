package confsync_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv/etcdhttp"
	"mallowlatch.example/mallowlatch/internal/lab/kvsim"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// cluster runs replicas that call each other over in-memory connections and a simulated key-value service over HTTP.
type cluster struct {
	t       *testing.T
	ctx     context.Context
	service *kvsim.Server
	url     string
	bytes   atomic.Int64

	mutex sync.Mutex
	nodes map[ident.Node]*clusterNode
}

type clusterNode struct {
	cluster *cluster
	peer    confsync.Peer
	server  *drpcserver.Server
	replica *confsync.Replica
	writer  *confsync.Writer
	stop    context.CancelFunc
	stopped chan struct{}
	mutex   sync.Mutex
	conns   map[ident.Node]drpc.Conn
}

func newCluster(t *testing.T) *cluster {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	service := kvsim.New(1)
	listener := httptest.NewServer(service.Handler())
	created := &cluster{t: t, ctx: ctx, service: service, url: listener.URL, nodes: map[ident.Node]*clusterNode{}}
	t.Cleanup(func() {
		for _, node := range created.nodes {
			node.shutdown()
		}
		cancel()
		listener.CloseClientConnections()
		listener.Close()
	})
	return created
}

// start starts a node; if dataDir is empty, the node saves nothing to disk.
func (s *cluster) start(name ident.Node, zone ident.Zone, dataDir string) *clusterNode {
	store, err := etcdhttp.New([]string{s.url}, etcdhttp.WithClientName(string(name)), etcdhttp.WithCallTimeout(time.Second))
	assert.NilError(s.t, err)
	node := &clusterNode{
		cluster: s,
		peer:    confsync.Peer{Node: name, Zone: zone},
		conns:   map[ident.Node]drpc.Conn{},
		stopped: make(chan struct{}),
	}
	timing := confsync.DefaultTiming()
	timing.DigestPeriod = 200 * time.Millisecond
	node.replica, err = confsync.NewReplica(confsync.Options{
		Self: node.peer, Store: store, Peers: node, Dialer: node, DataDir: dataDir, Timing: timing, Seed: uint64(len(name)),
	})
	assert.NilError(s.t, err)
	node.writer = confsync.NewWriter(store, node.replica, confsync.WithApplyTimeout(2*time.Second))
	mux := drpcmux.New()
	assert.NilError(s.t, node.replica.Register(mux))
	node.server = drpcserver.New(mux)
	s.mutex.Lock()
	s.nodes[name] = node
	s.mutex.Unlock()
	ctx, stop := context.WithCancel(s.ctx)
	node.stop = stop
	go func() {
		defer close(node.stopped)
		_ = node.replica.Run(ctx)
	}()
	return node
}

func (n *clusterNode) shutdown() {
	n.cluster.mutex.Lock()
	delete(n.cluster.nodes, n.peer.Node)
	n.cluster.mutex.Unlock()
	n.stop()
	<-n.stopped
}

// Peers implements confsync.PeerSource.
func (n *clusterNode) Peers() []confsync.Peer {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	var peers []confsync.Peer
	for _, other := range n.cluster.nodes {
		if other != n {
			peers = append(peers, other.peer)
		}
	}
	return peers
}

// Conn implements transport.Dialer.
func (n *clusterNode) Conn(_ context.Context, to ident.Node) (drpc.Conn, error) {
	n.cluster.mutex.Lock()
	callee := n.cluster.nodes[to]
	n.cluster.mutex.Unlock()
	if callee == nil {
		return nil, transport.ErrUnknownNode
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if existing := n.conns[to]; existing != nil {
		select {
		case <-existing.Closed():
		default:
			return existing, nil
		}
	}
	near, far := net.Pipe()
	go func() { _ = callee.server.ServeOne(n.cluster.ctx, far) }()
	n.conns[to] = drpcconn.New(&countingConn{Conn: near, bytes: &n.cluster.bytes})
	return n.conns[to], nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(count))
	return count, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	c.bytes.Add(int64(len(buffer)))
	return c.Conn.Write(buffer)
}

// awaitInForce waits until the node has the revision in force.
func (n *clusterNode) awaitInForce(revision int64) {
	n.cluster.t.Helper()
	for n.replica.Current().Revision < revision {
		select {
		case <-n.replica.Changed(revision - 1):
		case <-n.cluster.ctx.Done():
			n.cluster.t.Fatalf("%s stayed at revision %d, want %d", n.peer.Node, n.replica.Current().Revision, revision)
		}
	}
}

// TestReplicasOverRealCalls runs six nodes in two zones. A change must come into force on every node, propagate during an
// outage, and reach a node that starts empty. A node restarted from disk must serve its saved copy, and a commit whose answer
// is lost must be resolved.
func TestReplicasOverRealCalls(t *testing.T) {
	// The directory is created first so that it is removed after the nodes have stopped.
	dataDir := t.TempDir()
	cluster := newCluster(t)
	nodes := []*clusterNode{cluster.start("a0", "a", dataDir)}
	for i := range 5 {
		nodes = append(nodes, cluster.start(ident.Node(fmt.Sprint("n", i)), ident.Zone("ab"[i%2:i%2+1]), ""))
	}
	change, err := nodes[3].writer.Apply(cluster.ctx, put("a", "1"))
	assert.NilError(t, err)
	for _, node := range nodes {
		node.awaitInForce(change.Revision)
	}
	status, err := nodes[1].replica.WaitInForce(cluster.ctx, change.Revision)
	assert.NilError(t, err)
	assert.DeepEqual(t, status, confsync.Status{Revision: 1, Zones: []confsync.ZoneStatus{
		{Zone: "a", Reachable: true, LowestRevision: 1, Nodes: 4},
		{Zone: "b", Reachable: true, LowestRevision: 1, Nodes: 2},
	}})

	cluster.service.SetFaults(kvsim.Faults{LoseNextAnswers: 1})
	change, err = nodes[2].writer.Apply(cluster.ctx, put("b", "1"))
	assert.NilError(t, err)
	assert.Equal(t, change.Revision, int64(2))

	// The service fails right after the answer: the change must still propagate, and new changes must be rejected.
	cluster.service.SetFaults(kvsim.Faults{Outage: kvsim.OutageRefuse})
	for _, node := range nodes {
		node.awaitInForce(2)
	}
	_, err = nodes[2].writer.Apply(cluster.ctx, put("c", "1"))
	assert.Equal(t, failure.As(err).Code, failure.CodeConfigUnavailable)
	nodes[5].shutdown()
	cluster.start("n4", "a", "").awaitInForce(2)

	// A node restarted from disk serves the saved revision before it has received any message.
	waitForSaved(t, cluster, dataDir, 2)
	nodes[0].shutdown()
	restarted := cluster.start("a0", "a", dataDir)
	assert.Equal(t, restarted.replica.Current().Revision, int64(2))

	cluster.service.SetFaults(kvsim.Faults{})
	change, err = restarted.writer.Apply(cluster.ctx, put("c", "1"))
	assert.NilError(t, err)
	restarted.awaitInForce(change.Revision)
}

// TestRelayFollowsThroughFaults has a single relay follow changes made by another client through dropped watches, lost answers,
// and a partition during which 350 changes are made and the key-value service is compacted.
func TestRelayFollowsThroughFaults(t *testing.T) {
	cluster := newCluster(t)
	relay := cluster.start("relay", "a", "")
	store, err := etcdhttp.New([]string{cluster.url}, etcdhttp.WithClientName("other"))
	assert.NilError(t, err)
	other := confsync.NewWriter(store, &coreCopy{newCore("other")})
	apply := func(count int) int64 {
		var change confsync.Change
		for i := range count {
			change, err = other.Apply(cluster.ctx, put(fmt.Sprint(i%10), "value"))
			assert.NilError(t, err)
		}
		return change.Revision
	}
	relay.awaitInForce(apply(3))
	for range 3 {
		cluster.service.DropWatches()
		cluster.service.SetFaults(kvsim.Faults{LoseNextAnswers: 1})
		relay.awaitInForce(apply(2))
	}
	cluster.service.SetFaults(kvsim.Faults{CutOffClients: []string{"relay"}})
	last := apply(350)
	assert.Assert(t, relay.replica.Current().Revision < last)
	cluster.service.Data().Compact(cluster.service.Data().Revision())
	cluster.service.SetFaults(kvsim.Faults{})
	relay.awaitInForce(last)
	assert.Equal(t, relay.replica.State().Len(), 10)
	relay.awaitInForce(apply(1))
}

// waitForSaved waits until a copy at the revision can be loaded from the data directory.
func waitForSaved(t *testing.T, cluster *cluster, dataDir string, revision int64) {
	for cluster.ctx.Err() == nil {
		loaded, err := confsync.NewReplica(confsync.Options{Self: confsync.Peer{Node: "x", Zone: "x"}, DataDir: dataDir})
		assert.NilError(t, err)
		if loaded.State().Revision == revision {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the copy was not saved")
}

// TestUndecodableRevisionKeepsTheLast installs a revision that cannot be decoded. The node must continue to serve the last
// decodable revision, advance its copy, report itself as behind, and serve the next decodable revision.
func TestUndecodableRevisionKeepsTheLast(t *testing.T) {
	undecodable := failure.Kind("cannot decode")
	replica, err := confsync.NewReplica(confsync.Options{
		Self:  confsync.Peer{Node: "x", Zone: "x"},
		Peers: &clusterNode{cluster: &cluster{}},
		Decode: func(state *confsync.State) (*catalog.Snapshot, error) {
			if state.Revision == 2 {
				return nil, fmt.Errorf("revision 2: %w", undecodable)
			}
			snapshot := catalog.Empty()
			snapshot.Revision = state.Revision
			return snapshot, nil
		},
	})
	assert.NilError(t, err)
	replica.Install(confsync.NewState(1, 1, nil))
	replica.Install(confsync.NewState(2, 2, nil))
	assert.Equal(t, replica.Current().Revision, int64(1))
	assert.Equal(t, replica.State().Revision, int64(2))
	status := replica.Status(context.Background(), 2)
	assert.DeepEqual(t, status.Zones[0].Behind, []ident.Node{"x"})
	replica.Install(confsync.NewState(3, 3, nil))
	assert.Equal(t, replica.Current().Revision, int64(3))
}

// TestSlowDecodeBlocksNoReaders blocks the decoding of a revision. Meanwhile the previous snapshot must stay readable and the
// copy must accept newer states, of which only the newest is decoded afterwards.
func TestSlowDecodeBlocksNoReaders(t *testing.T) {
	decoding, release := make(chan int64, 10), make(chan struct{})
	replica, err := confsync.NewReplica(confsync.Options{
		Self: confsync.Peer{Node: "x", Zone: "x"},
		Decode: func(state *confsync.State) (*catalog.Snapshot, error) {
			decoding <- state.Revision
			<-release
			snapshot := catalog.Empty()
			snapshot.Revision = state.Revision
			return snapshot, nil
		},
	})
	assert.NilError(t, err)
	var installed sync.WaitGroup
	install := func(revision int64) {
		installed.Go(func() { replica.Install(confsync.NewState(revision, 1, nil)) })
	}
	install(1)
	assert.Equal(t, <-decoding, int64(1))
	read := make(chan int64)
	go func() { read <- replica.Current().Revision }()
	select {
	case revision := <-read:
		assert.Equal(t, revision, int64(0))
	case <-time.After(30 * time.Second):
		t.Fatal("readers wait for the decoder")
	}
	for revision := int64(2); revision <= 9; revision++ {
		install(revision)
	}
	for replica.State().Revision < 9 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	installed.Wait()
	assert.Equal(t, replica.Current().Revision, int64(9))
	assert.Equal(t, <-decoding, int64(9))
	assert.Equal(t, len(decoding), 0)
}
