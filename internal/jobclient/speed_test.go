package jobclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/jobclient"
	"mallowlatch.example/mallowlatch/internal/jobstore"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shardhost/shardhosttest"
	"mallowlatch.example/mallowlatch/internal/transport"
)

const (
	bodyBytes   = 600
	answerBytes = 800
)

// rig is three shard hosts with disks in a folder, their job servers, and a client on a node of its own.
type rig struct {
	fleet   *shardhosttest.Fleet
	servers map[ident.Node]*jobstore.Server
	client  *jobclient.Client
	metrics *prometheus.Registry
	calls   atomic.Int64

	settings   jobstore.Settings
	jobMetrics *jobstore.Metrics
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup
	mutex      sync.Mutex
}

// Shards implements jobclient.Directory.
func (r *rig) Shards() int { return 1 }

// Leader implements jobclient.Directory.
func (r *rig) Leader(id ident.Shard) (ident.Node, bool) {
	for number := range replicas {
		if host := r.fleet.Host(number); host != nil {
			return host.Leader(id)
		}
	}
	return "", false
}

// Conn implements transport.Dialer. The client reaches each node over a call of drpc's messages in this process.
func (r *rig) Conn(_ context.Context, node ident.Node) (drpc.Conn, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	server := r.servers[node]
	if server == nil {
		return nil, transport.ErrUnknownNode
	}
	return &countingConn{rig: r, server: server}, nil
}

// countingConn counts calls and encodes them as a network would.
type countingConn struct {
	drpc.Conn
	rig    *rig
	server *jobstore.Server
}

// Invoke implements drpc.Conn.
func (c *countingConn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	c.rig.calls.Add(1)
	request, err := encoding.Marshal(in)
	if err != nil {
		return err
	}
	received := newRequest(rpc)
	if err := encoding.Unmarshal(request, received); err != nil {
		return err
	}
	registry := jobstore.NewRegistry()
	registry.Add(c.server)
	answer, err := receivers[rpc](registry, ctx, received, nil)
	if err != nil {
		return err
	}
	reply, err := encoding.Marshal(answer)
	if err != nil {
		return err
	}
	return encoding.Unmarshal(reply, out)
}

// newRig starts the hosts. Disks are in a folder, or in memory if it is empty.
func newRig(b testing.TB, folder string, settings jobstore.Settings) *rig {
	made := &rig{servers: map[ident.Node]*jobstore.Server{}, metrics: prometheus.NewRegistry(), settings: settings}
	made.jobMetrics = jobstore.NewMetrics(made.metrics)
	made.ctx, made.cancel = context.WithCancel(context.Background())
	made.fleet = shardhosttest.New(shardhosttest.Options{
		Nodes: replicas, Shards: 1, Folder: folder, Logger: zerolog.Nop(),
		Machine: func(ident.Shard) shard.Machine { return jobstore.NewMachine() },
	})
	assert.NilError(b, made.fleet.StartAll())
	for number := range replicas {
		made.serve(number)
	}
	made.client = jobclient.New(jobclient.Options{Self: "worker", Dialer: made, Directory: made, Logger: zerolog.Nop(), Attempts: 40})
	b.Cleanup(func() {
		made.cancel()
		made.running.Wait()
		assert.NilError(b, made.client.Close())
		assert.NilError(b, made.fleet.Close())
	})
	return made
}

// serve runs the job server of a node that has started.
func (r *rig) serve(number int) {
	server := jobstore.NewServer(0, r.fleet.Host(number).Replica(0), r.settings, zerolog.Nop(), r.jobMetrics)
	r.mutex.Lock()
	r.servers[r.fleet.Name(number)] = server
	r.mutex.Unlock()
	r.running.Go(func() { _ = server.Run(r.ctx) })
}

// counter reads one of the job store's counters.
func (r *rig) counter(b *testing.B, name string) float64 {
	families, err := r.metrics.Gather()
	assert.NilError(b, err)
	for _, family := range families {
		if family.GetName() == "mallowlatch_jobstore_"+name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// input streams lines without holding them.
func input(items int) io.Reader {
	reader, writer := io.Pipe()
	padding := fmt.Sprintf("%0*d", bodyBytes, 0)
	go func() {
		for number := range items {
			if _, err := fmt.Fprintf(writer, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"stock","prompt":"%s"}}`+"\n", number, padding); err != nil {
				return
			}
		}
		_ = writer.Close()
	}()
	return reader
}

// BenchmarkJobs measures accept, lease and complete of whole jobs through three replicas with disks: in chunks, and
// with one commit for each item. Run it by: go test -run XXX -bench Jobs -benchtime 1x ./internal/jobclient/
func BenchmarkJobs(b *testing.B) {
	measured := newRig(b, b.TempDir(), jobstore.DefaultSettings())
	for _, size := range []struct{ items, chunk int }{
		{1_000, 256}, {10_000, 256}, {40_000, 256}, {130_000, 256},
		{500, 1}, {1_000, 1}, {2_000, 1},
	} {
		b.Run(fmt.Sprintf("items=%d/chunk=%d", size.items, size.chunk), func(b *testing.B) {
			for b.Loop() {
				measured.measure(b, size.items, size.chunk)
			}
		})
	}
}

// BenchmarkIdleTick measures the periodic work of a leader without jobs.
func BenchmarkIdleTick(b *testing.B) {
	measured := newRig(b, "", jobstore.DefaultSettings())
	_, err := measured.client.CreateFile(context.Background(), job.FileSpec{Tenant: tenant, Purpose: jobstore.PurposeBatch}, input(1))
	assert.NilError(b, err)
	leader, _ := measured.Leader(0)
	for b.Loop() {
		assert.NilError(b, measured.servers[leader].Tick(context.Background()))
	}
}

const speedWorkers = 8

func (r *rig) measure(b *testing.B, items, chunk int) {
	ctx := context.Background()
	padding := fmt.Sprintf("%0*d", answerBytes, 0)
	begun := time.Now()
	file, err := r.client.CreateFile(ctx, job.FileSpec{Tenant: tenant, Name: "in", Purpose: jobstore.PurposeBatch}, input(items))
	assert.NilError(b, err)
	uploaded := time.Now()
	accepted, _, err := r.client.Submit(ctx, job.Spec{Tenant: tenant, IdempotencyKey: string(file.ID), InputFile: file.ID, Endpoint: inference.ChatCompletions, Window: time.Hour})
	assert.NilError(b, err)
	submitted := time.Now()
	commands, commandBytes, calls := r.counter(b, "commands_total"), r.counter(b, "command_bytes_total"), r.calls.Load()
	writtenBefore, syncsBefore := r.written()
	var finished atomic.Int64
	var group sync.WaitGroup
	var leasing, empty atomic.Int64
	for range speedWorkers {
		group.Go(func() {
			for finished.Load() < int64(items) {
				asked := time.Now()
				lease, err := r.client.Lease(ctx, 0, accepted.ID, job.LeaseRequest{Worker: "worker", Services: []string{"stock"}, Max: chunk})
				if err != nil || len(lease.Items) == 0 {
					empty.Add(1)
					time.Sleep(time.Millisecond)
					continue
				}
				leasing.Add(int64(time.Since(asked)))
				results := make([]job.Result, len(lease.Items))
				for position, item := range lease.Items {
					results[position] = job.Result{Index: item.Index, Status: 200, Body: json.RawMessage(`{"answer":"` + padding + `"}`)}
				}
				assert.Check(b, r.client.Complete(ctx, lease, results))
				finished.Add(int64(len(results)))
			}
		})
	}
	group.Wait()
	ended := time.Now()
	found, err := r.client.Job(ctx, tenant, accepted.ID)
	assert.NilError(b, err)
	assert.Equal(b, found.Status, job.Completed)
	count := float64(items)
	b.ReportMetric(count/uploaded.Sub(begun).Seconds(), "uploaded-items/s")
	b.ReportMetric(float64(submitted.Sub(uploaded).Microseconds()), "accept-µs")
	b.ReportMetric(count/ended.Sub(submitted).Seconds(), "items/s")
	b.ReportMetric(1000*(r.counter(b, "commands_total")-commands)/count, "commands/1000")
	b.ReportMetric((r.counter(b, "command_bytes_total")-commandBytes)/count, "command-B/item")
	b.ReportMetric(1000*float64(r.calls.Load()-calls-empty.Load())/count, "calls/1000")
	b.ReportMetric(float64(leasing.Load())/1000/max(1, count/float64(chunk)), "lease-µs")
	b.ReportMetric(float64(heap()), "heap-MB")
	written, syncs := r.written()
	b.ReportMetric(float64(written-writtenBefore)/count/replicas, "log-B/item/disk")
	b.ReportMetric(1000*float64(syncs-syncsBefore)/count/replicas, "syncs/1000/disk")
}

// replicas is the number of disks of the rig.
const replicas = 3

// written sums the bytes and syncs of the write-ahead logs of the three disks.
func (r *rig) written() (bytes uint64, syncs int64) {
	for number := range replicas {
		usage := r.fleet.Store(number).Usage()
		bytes += usage.WrittenBytes
		syncs += usage.Syncs
	}
	return bytes, syncs
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse >> 20
}
