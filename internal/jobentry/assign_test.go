package jobentry_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

// claims returns the workers of the claims of the open jobs.
func claims(t *testing.T, records *jobrecord.Records) map[ident.Job]ident.Node {
	t.Helper()
	live, err := records.ReadLive(context.Background())
	assert.NilError(t, err)
	return live.Claimed
}

// TestJobGoesToAnIdleWorkerAtOnce has the job assigned to the worker that would start it first, and claimed for it.
func TestJobGoesToAnIdleWorkerAtOnce(t *testing.T) {
	workers := &fakeWorkers{}
	intake, store := newIntake(workers)
	lease, err := store.Grant(context.Background(), time.Minute)
	assert.NilError(t, err)
	workers.assignee = jobrecord.Assignee{Node: "w", Lease: lease}
	assert.NilError(t, submit(intake, "a", 10))
	assignments := func() int {
		workers.mutex.Lock()
		defer workers.mutex.Unlock()
		return len(workers.assigned)
	}
	for range 1000 {
		if assignments() == 1 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, assignments(), 1)
	assert.DeepEqual(t, claims(t, intake.Records), map[ident.Job]ident.Node{"a": "w"})
	assert.NilError(t, submit(intake, "a", 10))
	assert.Equal(t, assignments(), 1, "a job that was sent again is not given out again")
}

// TestClaimOfAWorkerThatDoesNotRunTheJobIsGivenUp leaves the job to the other workers.
func TestClaimOfAWorkerThatDoesNotRunTheJobIsGivenUp(t *testing.T) {
	workers := &fakeWorkers{refusesJobs: true}
	intake, store := newIntake(workers)
	lease, _ := store.Grant(context.Background(), time.Minute)
	workers.assignee = jobrecord.Assignee{Node: "w", Lease: lease}
	assert.NilError(t, submit(intake, "a", 10))
	for range 1000 {
		if len(claims(t, intake.Records)) == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the claim is still held for a worker that does not run the job")
}

// TestJobIsTakenThoughTheWorkersLeaseIsOver writes the job without a claim.
func TestJobIsTakenThoughTheWorkersLeaseIsOver(t *testing.T) {
	workers := &fakeWorkers{assignee: jobrecord.Assignee{Node: "w", Lease: 4711}}
	intake, _ := newIntake(workers)
	assert.NilError(t, submit(intake, "a", 10))
	exists, err := intake.Records.Exists(context.Background(), "a")
	assert.NilError(t, err)
	assert.Assert(t, exists)
	assert.Equal(t, len(claims(t, intake.Records)), 0)
	assert.Equal(t, len(workers.assigned), 0)
}
