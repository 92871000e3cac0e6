package jobclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/jobstore"
)

// TestJobSurvivesLossOfDisks runs a job through real shard hosts while the leader and its disk are lost, twice.
// Every third item is not repeatable: none may run twice, and each item has one result at the end. Workers let every
// eighth lease go without a word after they ran it, as if they died.
func TestJobSurvivesLossOfDisks(t *testing.T) {
	t.Parallel()
	const items, chunk, everyOnce = 1200, 16, 3
	settings := jobstore.DefaultSettings()
	settings.LeaseTTL = 2 * time.Second
	r := newRig(t, "", settings)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var content strings.Builder
	for number := range items {
		content.WriteString(line(fmt.Sprint("item-", number), fmt.Sprintf(`,"repeatable":%v`, number%everyOnce != 0)))
	}
	file, err := r.client.CreateFile(ctx, job.FileSpec{Tenant: tenant, Purpose: jobstore.PurposeBatch}, strings.NewReader(content.String()))
	assert.NilError(t, err)
	accepted, _, err := r.client.Submit(ctx, job.Spec{Tenant: tenant, InputFile: file.ID, Endpoint: inference.ChatCompletions, Window: time.Hour})
	assert.NilError(t, err)
	runs := make([]atomic.Int32, items)
	var completed atomic.Int64
	var workers sync.WaitGroup
	found := job.Job{}
	stop := make(chan struct{})
	for number := range 4 {
		workers.Go(func() { r.work(ctx, ident.Node(fmt.Sprint("w", number)), accepted.ID, chunk, runs, &completed, stop) })
	}
	for _, after := range []int64{items / 4, items / 2} {
		r.loseLeadersDisk(t, ctx, func() bool { return completed.Load() >= after })
	}
	for found.Ended.IsZero() {
		time.Sleep(50 * time.Millisecond)
		if found, err = r.client.Job(ctx, tenant, accepted.ID); err != nil {
			assert.NilError(t, ctx.Err(), "the job did not end: %v", err)
		}
	}
	close(stop)
	workers.Wait()
	doubled := 0
	for number := range items {
		if number%everyOnce == 0 && runs[number].Load() > 1 {
			doubled++
		}
	}
	results := map[string]int{}
	for _, id := range []ident.File{found.OutputFile, found.ErrorFile} {
		r.count(t, ctx, id, results)
	}
	t.Logf("%+v, non-repeatable run twice: %d, items with a result: %d", found.Counts, doubled, len(results))
	assert.Equal(t, doubled, 0)
	assert.Equal(t, len(results), items)
	for customID, count := range results {
		assert.Equal(t, count, 1, customID)
	}
}

// work leases and completes until it is stopped. A result that cannot be committed now is committed later.
func (r *rig) work(ctx context.Context, name ident.Node, of ident.Job, chunk int, runs []atomic.Int32, completed *atomic.Int64, stop chan struct{}) {
	const dies = 8
	for turn := 1; ; turn++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		sent := time.Now()
		lease, err := r.client.Lease(ctx, 0, of, job.LeaseRequest{Worker: name, Services: []string{"stock"}, Max: chunk})
		if err != nil {
			continue
		}
		var results []job.Result
		for _, item := range lease.Items {
			if time.Since(sent) >= lease.TTL {
				break
			}
			runs[item.Index].Add(1)
			results = append(results, job.Result{Index: item.Index, Status: 200, Body: json.RawMessage(`{}`)})
		}
		if turn%dies == 0 {
			continue
		}
		for len(results) > 0 && ctx.Err() == nil && r.client.Complete(ctx, lease, results) != nil {
			time.Sleep(5 * time.Millisecond)
		}
		completed.Add(int64(len(results)))
	}
}

// loseLeadersDisk waits for its moment, stops the leader, gives it an empty disk, and starts it again.
func (r *rig) loseLeadersDisk(t *testing.T, ctx context.Context, due func() bool) {
	leader, known := r.Leader(0)
	for !due() || !known {
		assert.NilError(t, ctx.Err(), "no progress before a disk is lost")
		time.Sleep(5 * time.Millisecond)
		leader, known = r.Leader(0)
	}
	for number := range replicas {
		if r.fleet.Name(number) == leader {
			assert.NilError(t, r.fleet.Wipe(number))
			assert.NilError(t, r.fleet.Start(number))
			r.serve(number)
		}
	}
}

func (r *rig) count(t *testing.T, ctx context.Context, id ident.File, results map[string]int) {
	if id == "" {
		return
	}
	content, err := r.client.Content(ctx, tenant, id)
	assert.NilError(t, err)
	decoder := json.NewDecoder(content)
	for {
		var decoded struct {
			CustomID string `json:"custom_id"`
		}
		err := decoder.Decode(&decoded)
		if errors.Is(err, io.EOF) {
			return
		}
		assert.NilError(t, err)
		results[decoded.CustomID]++
	}
}
