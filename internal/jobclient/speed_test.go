package jobclient_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
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

// speed turns the measurements on; they are no part of the unit tests.
var speed = flag.Bool("speed", false, "measure items through three disk replicas")

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
}

// Shards implements jobclient.Directory.
func (r *rig) Shards() int { return 1 }

// Leader implements jobclient.Directory.
func (r *rig) Leader(id ident.Shard) (ident.Node, bool) { return r.fleet.Host(0).Leader(id) }

// Conn implements transport.Dialer. The client reaches each node over a call of drpc's messages in this process.
func (r *rig) Conn(_ context.Context, node ident.Node) (drpc.Conn, error) {
	server, known := r.servers[node]
	if !known {
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

func newRig(t *testing.T) *rig {
	made := &rig{servers: map[ident.Node]*jobstore.Server{}, metrics: prometheus.NewRegistry()}
	made.fleet = shardhosttest.New(shardhosttest.Options{
		Nodes: 3, Shards: 1, Folder: t.TempDir(), Logger: zerolog.Nop(),
		Machine: func(ident.Shard) shard.Machine { return jobstore.NewMachine() },
	})
	assert.NilError(t, made.fleet.StartAll())
	metrics := jobstore.NewMetrics(made.metrics)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for number := range 3 {
		server := jobstore.NewServer(0, made.fleet.Host(number).Replica(0), jobstore.DefaultSettings(), zerolog.Nop(), metrics)
		made.servers[made.fleet.Name(number)] = server
		running.Go(func() { _ = server.Run(ctx) })
	}
	made.client = jobclient.New(jobclient.Options{Self: "worker", Dialer: made, Directory: made, Logger: zerolog.Nop(), Attempts: 40})
	t.Cleanup(func() {
		cancel()
		running.Wait()
		assert.NilError(t, made.client.Close())
		assert.NilError(t, made.fleet.Close())
	})
	return made
}

// counter reads one of the job store's counters.
func (r *rig) counter(t *testing.T, name string) float64 {
	families, err := r.metrics.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		if family.GetName() == "mallowlatch_jobstore_"+name {
			return sum(family.GetMetric())
		}
	}
	return 0
}

func sum(metrics []*dto.Metric) (total float64) {
	for _, one := range metrics {
		total += one.GetCounter().GetValue()
	}
	return total
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

// TestSpeed measures accept, lease and complete of whole jobs through three replicas with disks: in chunks, and with
// one commit for each item. Run it by: go test -run TestSpeed -speed -v ./internal/jobclient/
func TestSpeed(t *testing.T) {
	if !*speed {
		t.Skip("measurement; run with -speed")
	}
	measured := newRig(t)
	for _, items := range []int{1_000, 10_000, 40_000, 130_000} {
		measured.measure(t, items, 256)
	}
	for _, items := range []int{500, 1_000, 2_000} {
		measured.measure(t, items, 1)
	}
}

const speedWorkers = 8

func (r *rig) measure(t *testing.T, items, chunk int) {
	ctx := context.Background()
	padding := fmt.Sprintf("%0*d", answerBytes, 0)
	begun := time.Now()
	file, err := r.client.CreateFile(ctx, job.FileSpec{Tenant: tenant, Name: "in", Purpose: jobstore.PurposeBatch}, input(items))
	assert.NilError(t, err)
	uploaded := time.Now()
	accepted, _, err := r.client.Submit(ctx, job.Spec{Tenant: tenant, IdempotencyKey: fmt.Sprint(items, chunk), InputFile: file.ID, Endpoint: inference.ChatCompletions, Window: time.Hour})
	assert.NilError(t, err)
	submitted := time.Now()
	commands, commandBytes, calls := r.counter(t, "commands_total"), r.counter(t, "command_bytes_total"), r.calls.Load()
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
				assert.Check(t, r.client.Complete(ctx, lease, results))
				finished.Add(int64(len(results)))
			}
		})
	}
	group.Wait()
	ended := time.Now()
	found, err := r.client.Job(ctx, tenant, accepted.ID)
	assert.NilError(t, err)
	assert.Equal(t, found.Status, job.Completed)
	count := float64(items)
	t.Logf("items=%d chunk=%d upload=%.0f items/s accept=%v run=%.0f items/s commands/1000=%.1f command bytes/item=%.0f calls/1000=%.1f (without empty leases) lease mean=%v peak heap=%d MB",
		items, chunk, count/uploaded.Sub(begun).Seconds(), submitted.Sub(uploaded).Round(time.Microsecond), count/ended.Sub(submitted).Seconds(),
		1000*(r.counter(t, "commands_total")-commands)/count, (r.counter(t, "command_bytes_total")-commandBytes)/count,
		1000*float64(r.calls.Load()-calls-empty.Load())/count, time.Duration(float64(leasing.Load())/max(1, count/float64(chunk))).Round(time.Microsecond), heap())
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse >> 20
}
