package confsync_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/confsync/confsyncpb"
)

func selfSigned(b *testing.B) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(b, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(b, err)
	return tls.Certificate{Certificate: [][]byte{encoded}, PrivateKey: key}
}

// BenchmarkExchange measures one exchange between copies at the same revision over an established TLS connection. Both ends run
// in this process. It reports CPU time and bytes on the wire in both directions, without TCP and IP headers.
func BenchmarkExchange(b *testing.B) {
	replica, err := confsync.NewReplica(confsync.Options{Self: confsync.Peer{Node: "node-001", Zone: "palermo"}})
	assert.NilError(b, err)
	replica.Install(confsync.NewState(100_000, 1<<60, nil))
	mux := drpcmux.New()
	assert.NilError(b, replica.Register(mux))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	near, far := net.Pipe()
	var wire atomic.Int64
	server := tls.Server(far, &tls.Config{Certificates: []tls.Certificate{selfSigned(b)}})
	go func() { _ = drpcserver.New(mux).ServeOne(ctx, server) }()
	secured := tls.Client(&countingConn{Conn: near, bytes: &wire}, &tls.Config{InsecureSkipVerify: true})
	client := confsyncpb.NewDRPCSyncClient(drpcconn.New(secured))
	digest := &confsyncpb.Digest{Node: "node-002", Zone: "palermo", Revision: 100_000, Chain: 1 << 60}
	exchange := func() {
		_, err := client.Exchange(ctx, digest)
		assert.NilError(b, err)
	}
	exchange()
	wire.Store(0)
	b.ReportAllocs()
	for b.Loop() {
		exchange()
	}
	b.ReportMetric(float64(wire.Load())/float64(b.N), "wire-B/op")
}

// BenchmarkLearn measures applying one change to a copy of the given size, without decoding the catalog. It includes creating
// the core and installing the base state.
func BenchmarkLearn(b *testing.B) {
	for _, size := range []int{700, 2200, 6600} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			writer, _, local, _ := newWriter(1)
			var resources []confsync.Resource
			for i := range size {
				resources = append(resources, confsync.Resource{Kind: "tenants", Name: fmt.Sprint(i), Value: make([]byte, 200)})
			}
			change, err := writer.Apply(context.Background(), put("m", "1"))
			assert.NilError(b, err)
			change.Revision = 2
			change.Chain = nextOf(local.State().Chain, change.ID)
			base := confsync.NewState(1, local.State().Chain, resources)
			b.ReportAllocs()
			for b.Loop() {
				core := newCore("n")
				core.Install(time.Unix(0, 0), base)
				assert.Assert(b, core.Learn(time.Unix(0, 0), []confsync.Change{change}))
			}
		})
	}
}

// nextOf extends the chain digest with a change identifier, as a writer does.
func nextOf(chain uint64, id string) uint64 {
	digest := xxhash.NewWithSeed(chain)
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// BenchmarkCopyMemory reports the heap used by a copy per resource with a 200-byte value, including the value.
func BenchmarkCopyMemory(b *testing.B) {
	for _, size := range []int{700, 2200, 6600} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var held uint64
			for b.Loop() {
				before := liveHeap()
				resources := make([]confsync.Resource, 0, size)
				for i := range size {
					resources = append(resources, confsync.Resource{
						Kind: "tenants", Name: fmt.Sprint("tenant-", i), Value: make([]byte, 200),
					})
				}
				state := confsync.NewState(1, 0, resources)
				resources = nil
				held = liveHeap() - before
				runtime.KeepAlive(state)
				runtime.KeepAlive(resources)
			}
			b.ReportMetric(float64(held)/float64(size), "heap-B/resource")
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
