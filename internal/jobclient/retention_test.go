package jobclient_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/jobstore"
)

// BenchmarkRetention measures what old jobs take on a disk, before and after their retention, and whether the space is
// used again by the jobs that follow. Files and results go with one deletion of a range each.
func BenchmarkRetention(b *testing.B) {
	const items, rounds = 40_000, 4
	for b.Loop() {
		var ahead atomic.Int64
		settings := jobstore.DefaultSettings()
		settings.Now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
		r := newRig(b, b.TempDir(), settings)
		for round := range rounds {
			r.runHeap(b, items)
			b.ReportMetric(r.diskMegabytes(), fmt.Sprintf("round%d-MB/disk", round))
			ahead.Add(int64(settings.JobRetention + settings.FileRetention + time.Hour))
			r.waitExpired(b)
			b.ReportMetric(r.diskMegabytes(), fmt.Sprintf("round%d-expired-MB/disk", round))
		}
	}
}

// runHeap runs one job to its end.
func (r *rig) runHeap(b *testing.B, items int) {
	ctx := context.Background()
	random := rand.New(rand.NewPCG(1, uint64(items)))
	file, err := r.client.CreateFile(ctx, job.FileSpec{Tenant: tenant, Name: "in", Purpose: jobstore.PurposeBatch}, input(items))
	assert.NilError(b, err)
	accepted, _, err := r.client.Submit(ctx, job.Spec{Tenant: tenant, IdempotencyKey: string(file.ID), InputFile: file.ID, Endpoint: inference.ChatCompletions, Window: time.Hour})
	assert.NilError(b, err)
	for r.unfinished(b, accepted.ID) {
		lease, err := r.client.Lease(ctx, 0, accepted.ID, job.LeaseRequest{Worker: "worker", Services: []string{"stock"}, Max: 256})
		if err != nil || len(lease.Items) == 0 {
			time.Sleep(time.Millisecond)
			continue
		}
		assert.NilError(b, r.client.Complete(ctx, lease, noise(random, lease.Items)))
	}
}

// noise answers items with bodies of the size of the other benchmarks that the store cannot compress much.
func noise(random *rand.Rand, items []job.Item) []job.Result {
	content := make([]byte, base64.StdEncoding.DecodedLen(answerBytes))
	results := make([]job.Result, len(items))
	for position, item := range items {
		for at := range content {
			content[at] = byte(random.Uint32())
		}
		body := json.RawMessage(`{"answer":"` + base64.StdEncoding.EncodeToString(content) + `"}`)
		results[position] = job.Result{Index: item.Index, Status: 200, Body: body}
	}
	return results
}

func (r *rig) unfinished(b *testing.B, id ident.Job) bool {
	found, err := r.client.Job(context.Background(), tenant, id)
	assert.NilError(b, err)
	return found.Ended.IsZero()
}

// waitExpired waits until the tenant has no job and no file left.
func (r *rig) waitExpired(b *testing.B) {
	for range 600 {
		jobs, _, err := r.client.Jobs(context.Background(), tenant, "", 1)
		files, _, fileErr := r.client.Files(context.Background(), tenant, "", 1)
		if err == nil && fileErr == nil && len(jobs)+len(files) == 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal("the job did not expire")
}

// diskMegabytes returns what a store takes, on average.
func (r *rig) diskMegabytes() float64 {
	sum := 0.0
	for number := range replicas {
		sum += float64(r.fleet.Store(number).Usage().DiskBytes)
	}
	return sum / replicas / 1e6
}
