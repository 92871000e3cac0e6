package membership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/membership/membershippb"
	"mallowlatch.example/mallowlatch/internal/transport"
)

type running struct {
	service *membership.Service
	server  *transport.Server
	pool    *transport.Pool
	address string
}

func start(t *testing.T, index int, seeds []string) *running {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	config := membership.DefaultConfig()
	config.ProbePeriod = 200 * time.Millisecond
	config.DirectTimeout = 100 * time.Millisecond
	config.SuspicionTimeout = 600 * time.Millisecond
	config.BridgePeriod = 200 * time.Millisecond
	config.ReconnectPeriod = 200 * time.Millisecond
	node := &running{address: listener.Addr().String(), server: transport.NewServer(transport.ServerOptions{})}
	node.service = membership.NewService(membership.Options{
		Config: config,
		Self: membership.Self{
			Node:        ident.Node(fmt.Sprintf("n%d", index)),
			Zone:        ident.Zone(fmt.Sprintf("z%d", index%2)),
			PeerAddress: node.address,
			Started:     time.Now(),
		},
		Seeds:  seeds,
		Random: rand.New(rand.NewPCG(1, uint64(index))),
		Logger: zerolog.Nop(),
	})
	node.pool = transport.NewPool(transport.PoolOptions{Lookup: node.service.Address})
	assert.NilError(t, membershippb.DRPCRegisterMembership(node.server, node.service))
	go func() { _ = node.server.Serve(listener) }()
	node.service.Start(node.pool)
	return node
}

func (r *running) stop(ctx context.Context) {
	_ = r.service.Stop(ctx)
	_ = r.server.Stop(ctx)
	_ = r.pool.Close()
}

func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(20 * time.Millisecond)
	}
}

// Calls served before the service has started, or while it stops, must neither fail nor panic.
func TestCallsAroundStartAndStop(t *testing.T) {
	for range 200 {
		now := time.Now()
		service := membership.NewService(membership.Options{
			Self:   membership.Self{Node: "a", Zone: "z", PeerAddress: "127.0.0.1:1", Started: now},
			Random: rand.New(rand.NewPCG(1, 1)),
			Logger: zerolog.Nop(),
		})
		peer := membership.Self{Node: "b", Zone: "z", PeerAddress: "127.0.0.1:2", Started: now}
		core := membership.NewCore(membership.DefaultConfig(), peer, []string{"127.0.0.1:1"}, rand.New(rand.NewPCG(2, 2)), now)
		// A relayed ping and its indirect acknowledgement are sent by separate calls, so each request makes the service send.
		ask := core.Tick(now.Add(time.Second))[0].Message.Encode()
		ask.Kind, ask.Target = uint32(membership.KindPingRequest), "b"
		ask.Members = []*membershippb.Member{{Node: "b", Zone: "z", PeerAddress: "127.0.0.1:2", Incarnation: 1}}
		call := func() {
			_, err := service.Exchange(context.Background(), ask)
			assert.Check(t, err)
		}
		call()
		service.Start(transport.NewPool(transport.PoolOptions{Lookup: service.Address}))
		var callers sync.WaitGroup
		callers.Go(func() {
			for range 20 {
				call()
			}
		})
		assert.NilError(t, service.Stop(context.Background()))
		callers.Wait()
	}
}

func TestServicesFindOneAnotherOverTheTransport(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var nodes []*running
	var seeds []string
	for index := range 4 {
		nodes = append(nodes, start(t, index, seeds))
		seeds = []string{nodes[0].address}
	}
	changed, unsubscribe := nodes[0].service.Subscribe()
	defer unsubscribe()
	for _, node := range nodes {
		eventually(func() bool { return len(node.service.View().Live("")) == len(nodes) })
	}
	<-changed
	nodes[3].service.SetAttributes(membership.Attributes{HasDisk: true, DiskIncarnation: 7, ConfigRevision: 9})
	want := membership.Attributes{HasDisk: true, DiskIncarnation: 7, ConfigRevision: 9}
	for _, node := range nodes {
		eventually(func() bool {
			member, _ := node.service.View().Member("n3")
			return member.Attributes == want
		})
	}
	assert.NilError(t, nodes[3].service.Leave(ctx))
	assert.Check(t, !nodes[0].service.Alive("n3"))
	nodes[3].stop(ctx)
	eventually(func() bool {
		member, _ := nodes[0].service.View().Member("n3")
		return member.State == membership.Dead
	})
	for _, node := range nodes[:3] {
		node.stop(ctx)
	}
}
