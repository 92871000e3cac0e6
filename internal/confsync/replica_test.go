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

// site is a few real replicas that call each other over in-memory connections and a real stand-in over HTTP.
type site struct {
	t       *testing.T
	ctx     context.Context
	service *kvsim.Server
	url     string
	bytes   atomic.Int64

	mutex sync.Mutex
	nodes map[ident.Node]*siteNode
}

type siteNode struct {
	site    *site
	peer    confsync.Peer
	server  *drpcserver.Server
	replica *confsync.Replica
	writer  *confsync.Writer
	stop    context.CancelFunc
	stopped chan struct{}
	mutex   sync.Mutex
	conns   map[ident.Node]drpc.Conn
}

func newSite(t *testing.T) *site {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	service := kvsim.New(1)
	listener := httptest.NewServer(service.Handler())
	created := &site{t: t, ctx: ctx, service: service, url: listener.URL, nodes: map[ident.Node]*siteNode{}}
	t.Cleanup(func() {
		for _, node := range created.nodes {
			node.end()
		}
		cancel()
		listener.CloseClientConnections()
		listener.Close()
	})
	return created
}

// start starts a node; a data folder may be empty.
func (s *site) start(name ident.Node, zone ident.Zone, dataDir string) *siteNode {
	store, err := etcdhttp.New([]string{s.url}, etcdhttp.WithClientName(string(name)), etcdhttp.WithCallTimeout(time.Second))
	assert.NilError(s.t, err)
	node := &siteNode{
		site:    s,
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

func (n *siteNode) end() {
	n.site.mutex.Lock()
	delete(n.site.nodes, n.peer.Node)
	n.site.mutex.Unlock()
	n.stop()
	<-n.stopped
}

// Peers implements confsync.PeerSource.
func (n *siteNode) Peers() []confsync.Peer {
	n.site.mutex.Lock()
	defer n.site.mutex.Unlock()
	var peers []confsync.Peer
	for _, other := range n.site.nodes {
		if other != n {
			peers = append(peers, other.peer)
		}
	}
	return peers
}

// Conn implements transport.Dialer.
func (n *siteNode) Conn(_ context.Context, to ident.Node) (drpc.Conn, error) {
	n.site.mutex.Lock()
	callee := n.site.nodes[to]
	n.site.mutex.Unlock()
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
	go func() { _ = callee.server.ServeOne(n.site.ctx, far) }()
	n.conns[to] = drpcconn.New(&countingConn{Conn: near, bytes: &n.site.bytes})
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

// settle waits until a node has the revision in force.
func (n *siteNode) settle(revision int64) {
	n.site.t.Helper()
	for n.replica.Current().Revision < revision {
		select {
		case <-n.replica.Changed(revision - 1):
		case <-n.site.ctx.Done():
			n.site.t.Fatalf("%s stayed at revision %d, want %d", n.peer.Node, n.replica.Current().Revision, revision)
		}
	}
}

// TestReplicasOverRealCalls runs six nodes in two zones: a change is in force everywhere, spreads during an outage, reaches
// a node that starts empty and one that starts from its disk, and a lost answer is resolved.
func TestReplicasOverRealCalls(t *testing.T) {
	// The folder is made first, so that it is removed after the nodes have ended.
	dataDir := t.TempDir()
	site := newSite(t)
	nodes := []*siteNode{site.start("a0", "a", dataDir)}
	for i := range 5 {
		nodes = append(nodes, site.start(ident.Node(fmt.Sprint("n", i)), ident.Zone("ab"[i%2:i%2+1]), ""))
	}
	change, err := nodes[3].writer.Apply(site.ctx, put("a", "1"))
	assert.NilError(t, err)
	for _, node := range nodes {
		node.settle(change.Revision)
	}
	status, err := nodes[1].replica.WaitInForce(site.ctx, change.Revision)
	assert.NilError(t, err)
	assert.DeepEqual(t, status, confsync.Status{Revision: 1, Zones: []confsync.ZoneStatus{
		{Zone: "a", Reachable: true, LowestRevision: 1, Nodes: 4},
		{Zone: "b", Reachable: true, LowestRevision: 1, Nodes: 2},
	}})

	site.service.SetFaults(kvsim.Faults{LoseNextAnswers: 1})
	change, err = nodes[2].writer.Apply(site.ctx, put("b", "1"))
	assert.NilError(t, err)
	assert.Equal(t, change.Revision, int64(2))

	// The service goes away right after the answer: the change still spreads, new ones are refused as not accepted.
	site.service.SetFaults(kvsim.Faults{Outage: kvsim.OutageRefuse})
	for _, node := range nodes {
		node.settle(2)
	}
	_, err = nodes[2].writer.Apply(site.ctx, put("c", "1"))
	assert.Equal(t, failure.As(err).Code, failure.CodeConfigUnavailable)
	nodes[5].end()
	site.start("n4", "a", "").settle(2)

	// A restart from disk serves the saved revision before anything was heard from others.
	waitForSaved(t, site, dataDir, 2)
	nodes[0].end()
	restarted := site.start("a0", "a", dataDir)
	assert.Equal(t, restarted.replica.Current().Revision, int64(2))

	site.service.SetFaults(kvsim.Faults{})
	change, err = restarted.writer.Apply(site.ctx, put("c", "1"))
	assert.NilError(t, err)
	restarted.settle(change.Revision)
}

// TestRelayFollowsThroughFaults has a lone relay follow changes made by another client through dropped watches, lost
// answers, and a cut during which 350 changes are made and their history compacted.
func TestRelayFollowsThroughFaults(t *testing.T) {
	site := newSite(t)
	relay := site.start("relay", "a", "")
	store, err := etcdhttp.New([]string{site.url}, etcdhttp.WithClientName("other"))
	assert.NilError(t, err)
	other := confsync.NewWriter(store, &coreCopy{newCore("other")})
	apply := func(count int) int64 {
		var change confsync.Change
		for i := range count {
			change, err = other.Apply(site.ctx, put(fmt.Sprint(i%10), "value"))
			assert.NilError(t, err)
		}
		return change.Revision
	}
	relay.settle(apply(3))
	for range 3 {
		site.service.DropWatches()
		site.service.SetFaults(kvsim.Faults{LoseNextAnswers: 1})
		relay.settle(apply(2))
	}
	site.service.SetFaults(kvsim.Faults{CutOffClients: []string{"relay"}})
	last := apply(350)
	assert.Assert(t, relay.replica.Current().Revision < last)
	site.service.Data().Compact(site.service.Data().Revision())
	site.service.SetFaults(kvsim.Faults{})
	relay.settle(last)
	assert.Equal(t, relay.replica.State().Len(), 10)
	relay.settle(apply(1))
}

// waitForSaved waits until a copy of the revision can be loaded from the data folder.
func waitForSaved(t *testing.T, site *site, dataDir string, revision int64) {
	for site.ctx.Err() == nil {
		loaded, err := confsync.NewReplica(confsync.Options{Self: confsync.Peer{Node: "x", Zone: "x"}, DataDir: dataDir})
		assert.NilError(t, err)
		if loaded.State().Revision == revision {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the copy was not saved")
}

// TestUndecodableRevisionKeepsTheLast has a node that cannot decode a revision: it serves from the last one it could, still
// passes the copy on, and reports itself behind.
func TestUndecodableRevisionKeepsTheLast(t *testing.T) {
	undecodable := failure.Kind("cannot decode")
	replica, err := confsync.NewReplica(confsync.Options{
		Self:  confsync.Peer{Node: "x", Zone: "x"},
		Peers: &siteNode{site: &site{}},
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

// TestSlowDecodeHoldsUpNobody holds the decoding of a revision: the last snapshot can still be read, the copy still learns,
// and of what it learned meanwhile only the newest is decoded.
func TestSlowDecodeHoldsUpNobody(t *testing.T) {
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
	var learned sync.WaitGroup
	learn := func(revision int64) {
		learned.Go(func() { replica.Install(confsync.NewState(revision, 1, nil)) })
	}
	learn(1)
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
		learn(revision)
	}
	for replica.State().Revision < 9 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	learned.Wait()
	assert.Equal(t, replica.Current().Revision, int64(9))
	assert.Equal(t, <-decoding, int64(9))
	assert.Equal(t, len(decoding), 0)
}
