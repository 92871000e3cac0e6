package jobclient_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/jobstore"
)

// BenchmarkSmallJobBehindLarge measures how long small jobs of a tenant wait for their first lease after their
// submission, one after the other, while a job of 130,000 items of the same tenant is being indexed.
func BenchmarkSmallJobBehindLarge(b *testing.B) {
	const largeItems, smallItems, smallJobs = 130_000, 10, 5
	ctx := context.Background()
	upload := func(r *rig, items int) job.Spec {
		file, err := r.client.CreateFile(ctx, job.FileSpec{Tenant: tenant, Name: "in", Purpose: jobstore.PurposeBatch}, input(items))
		assert.NilError(b, err)
		return job.Spec{Tenant: tenant, IdempotencyKey: string(file.ID), InputFile: file.ID, Endpoint: inference.ChatCompletions, Window: time.Hour}
	}
	for b.Loop() {
		r := newRig(b, b.TempDir(), jobstore.DefaultSettings())
		large := upload(r, largeItems)
		var small []job.Spec
		for range smallJobs {
			small = append(small, upload(r, smallItems))
		}
		accepted, _, err := r.client.Submit(ctx, large)
		assert.NilError(b, err)
		var waits []time.Duration
		for _, spec := range small {
			waits = append(waits, r.firstLease(b, spec))
		}
		slices.Sort(waits)
		b.ReportMetric(float64(waits[len(waits)/2].Microseconds())/1000, "p50-ms")
		b.ReportMetric(float64(waits[len(waits)-1].Microseconds())/1000, "max-ms")
		found, err := r.client.Job(ctx, tenant, accepted.ID)
		assert.NilError(b, err)
		indexing := 0.0
		if found.Status == job.Validating {
			indexing = 1
		}
		b.ReportMetric(indexing, "still-indexing")
	}
}

// firstLease submits a job and returns how long it takes until items of it are leased.
func (r *rig) firstLease(b *testing.B, spec job.Spec) time.Duration {
	accepted, _, err := r.client.Submit(context.Background(), spec)
	assert.NilError(b, err)
	submitted := time.Now()
	for {
		lease, err := r.client.Lease(context.Background(), 0, accepted.ID, job.LeaseRequest{Worker: "worker", Services: []string{"stock"}, Max: 10})
		if err == nil && len(lease.Items) > 0 {
			return time.Since(submitted)
		}
		time.Sleep(time.Millisecond)
	}
}
