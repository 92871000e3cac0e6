package shardmap_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shardmap"
	pb "mallowlatch.example/mallowlatch/internal/shardmap/shardmappb"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// BenchmarkRead measures the bytes of one request and its reply, including drpc framing but not TCP and TLS overhead.
func BenchmarkRead(b *testing.B) {
	for _, shards := range []int{8, 33, 264} {
		for _, changed := range []int{0, 1, shards} {
			b.Run(fmt.Sprintf("shards=%d/changed=%d", shards, changed), func(b *testing.B) {
				benchmarkRead(b, shards, changed)
			})
		}
	}
}

func benchmarkRead(b *testing.B, shards, changed int) {
	routes := make([]shardmap.Route, shards)
	for index := range routes {
		routes[index] = shardmap.Route{
			Shard: ident.Shard(index), Revision: 1 << 20, Leader: "palermo-node-1",
			Members: []ident.Node{"palermo-node-1", "catania-node-1", "agrigento-node-1"},
		}
	}
	known := &source{}
	known.set(routes...)
	address, _ := diskNode(b, known, 1<<60)
	registry := prometheus.NewRegistry()
	pool := transport.NewPool(transport.PoolOptions{
		Lookup:  func(ident.Node) (string, bool) { return address, true },
		Metrics: transport.NewMetrics(registry),
	})
	defer func() { assert.NilError(b, pool.Close()) }()
	connection, err := pool.Conn(context.Background(), "disk")
	assert.NilError(b, err)
	client := pb.NewDRPCShardMapClient(connection)
	reply, err := client.Read(context.Background(), &pb.ReadRequest{})
	assert.NilError(b, err)
	before := transferred(b, registry)
	b.ResetTimer()
	for range b.N {
		for index := range changed {
			routes[index].Revision++
		}
		reply, err = client.Read(context.Background(), &pb.ReadRequest{Known: reply.GetVersion()})
		assert.NilError(b, err)
		assert.Equal(b, len(reply.GetRoutes()), changed)
	}
	b.ReportMetric((transferred(b, registry)-before)/float64(b.N), "bytes/op")
}

// transferred returns the sum of the bytes sent and received.
func transferred(b *testing.B, registry *prometheus.Registry) float64 {
	families, err := registry.Gather()
	assert.NilError(b, err)
	sum := 0.0
	for _, family := range families {
		switch family.GetName() {
		case "mallowlatch_transport_received_bytes", "mallowlatch_transport_sent_bytes":
			for _, metric := range family.GetMetric() {
				sum += metric.GetCounter().GetValue()
			}
		}
	}
	return sum
}
