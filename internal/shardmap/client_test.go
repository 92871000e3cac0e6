package shardmap_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shardmap"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// source is a shardmap.Source whose routes are set by the test.
type source struct {
	mutex  sync.Mutex
	routes []shardmap.Route
}

func (s *source) set(routes ...shardmap.Route) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.routes = routes
}

func (s *source) Routes() ([]shardmap.Route, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.routes, s.routes != nil
}

// diskNode serves a source on loopback until the returned function is called or the test ends. It returns its address.
func diskNode(t testing.TB, from shardmap.Source, identity uint64) (string, func()) {
	server := transport.NewServer(transport.ServerOptions{})
	assert.NilError(t, shardmap.NewServer(from, identity).Register(server))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	stop := sync.OnceFunc(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Stop(ctx)
		assert.NilError(t, <-done)
	})
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

func reader(t testing.TB, addresses map[ident.Node]string, intervals shardmap.Intervals) *shardmap.Client {
	pool := transport.NewPool(transport.PoolOptions{
		Lookup: func(node ident.Node) (string, bool) { return addresses[node], addresses[node] != "" },
	})
	client := shardmap.NewClient(shardmap.Options{
		Self: "reader", Zone: "here", Dialer: pool, Intervals: intervals, Jitter: func() float64 { return 0 },
		Peers: func() []shardmap.Peer {
			var peers []shardmap.Peer
			for node := range addresses {
				peers = append(peers, shardmap.Peer{Node: node, Zone: "here"})
			}
			return peers
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- client.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
		assert.NilError(t, pool.Close())
	})
	return client
}

func waitForLeader(t testing.TB, client *shardmap.Client, want ident.Node) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		got, known := client.Leader(1)
		if known && got == want {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "leader %q, want %q", got, want)
		time.Sleep(5 * time.Millisecond)
	}
}

func route(revision int64, leader ident.Node, members ...ident.Node) shardmap.Route {
	return shardmap.Route{Shard: 1, Revision: revision, Members: members, Leader: leader}
}

// pollOnlyOnMiss sets a periodic poll interval longer than the test, so that only misses trigger polls.
var pollOnlyOnMiss = shardmap.Intervals{Poll: time.Hour, MissBackoff: time.Millisecond}

func TestMissFindsTheNewLeader(t *testing.T) {
	known := &source{}
	address, _ := diskNode(t, known, 1)
	client := reader(t, map[ident.Node]string{"disk": address}, pollOnlyOnMiss)
	known.set(route(1, "a", "a", "b"))
	waitForLeader(t, client, "a")
	known.set(route(1, "b", "a", "b"))
	client.Missed(1)
	waitForLeader(t, client, "b")
	known.set(route(2, "", "c", "d"))
	client.Missed(1)
	waitForLeader(t, client, "c")
}

func TestReaderSwitchesPeerAfterFailure(t *testing.T) {
	first, second := &source{}, &source{}
	addresses := map[ident.Node]string{}
	var stopFirst, stopSecond func()
	addresses["one"], stopFirst = diskNode(t, first, 1)
	addresses["two"], stopSecond = diskNode(t, second, 2)
	first.set(route(1, "a", "a", "b"))
	second.set(route(1, "a", "a", "b"))
	client := reader(t, addresses, pollOnlyOnMiss)
	waitForLeader(t, client, "a")
	stopFirst()
	second.set(route(2, "b", "b", "c"))
	client.Missed(1)
	waitForLeader(t, client, "b")
	stopSecond()
	client.Missed(1)
	waitForLeader(t, client, "b")
}
