package jobworker_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/work"
)

// leaseOf waits until a worker reports its lease and slots.
func leaseOf(t *testing.T, worker *jobworker.Worker) kv.LeaseID {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		batch := worker.Demand(&demand.Report{Node: "front", Sequence: time.Now().UnixNano()}).Batch
		if batch.Lease != 0 && batch.Slots > 0 {
			return kv.LeaseID(batch.Lease)
		}
	}
	t.Fatal("the worker reported no lease")
	return 0
}

func assignedSubmission(id ident.Job) *jobrecord.Submission {
	return &jobrecord.Submission{ID: id, Route: "r", Host: "h", Zone: "z", Items: []work.Item{
		{ID: ident.Request(id + "-0"), Path: "/p/x", Tokens: 10, Body: []byte("b")},
	}}
}

// TestAssignedJobIsRunAtOnce assigns a job that the worker does not follow yet. No other worker is there to run it, and
// nobody claims it a second time.
func TestAssignedJobIsRunAtOnce(t *testing.T) {
	g := newGroup(t)
	mirrors := &localMirrors{workers: map[string]*jobworker.Worker{}}
	g.start("n0", kvtest.NewPaged(g.data), &stuckCaller{until: eventsEach}, mirrors, oneRunner("i-1"))
	worker := mirrors.workers["n0"]
	lease := leaseOf(t, worker)
	for _, id := range []ident.Job{"a", "b", "c"} {
		assigned, err := g.records.AcceptFor(context.Background(), assignedSubmission(id), nil, jobrecord.Assignee{Node: "n0", Lease: lease})
		assert.NilError(t, err)
		assert.NilError(t, worker.Assign(*assigned, lease))
		assert.NilError(t, worker.Assign(*assigned, lease), "a repeated assignment is harmless")
	}
	for _, id := range []string{"a", "b", "c"} {
		g.waitWhole(id, 1)
	}
}

// TestAssignedJobIsRunWithoutNotification has the call of Assign lost: the worker finds a claim of its own and runs the
// job.
func TestAssignedJobIsRunWithoutNotification(t *testing.T) {
	g := newGroup(t)
	mirrors := &localMirrors{workers: map[string]*jobworker.Worker{}}
	g.start("n0", kvtest.NewPaged(g.data), &stuckCaller{until: eventsEach}, mirrors, oneRunner("i-1"))
	lease := leaseOf(t, mirrors.workers["n0"])
	_, err := g.records.AcceptFor(context.Background(), assignedSubmission("a"), nil, jobrecord.Assignee{Node: "n0", Lease: lease})
	assert.NilError(t, err)
	g.waitWhole("a", 1)
}

// TestJobOfAnotherLeaseIsNotTaken assigns a job that was claimed under an expired lease, and one while the worker stops;
// both are refused.
func TestJobOfAnotherLeaseIsNotTaken(t *testing.T) {
	g := newGroup(t)
	mirrors := &localMirrors{workers: map[string]*jobworker.Worker{}}
	g.start("n0", kvtest.NewPaged(g.data), &stuckCaller{until: eventsEach}, mirrors, oneRunner("i-1"))
	worker := mirrors.workers["n0"]
	lease := leaseOf(t, worker)
	assigned := jobrecord.Assigned{Open: jobrecord.Open{ID: "a", Route: "r", Revision: 1 << 40}}
	assert.ErrorIs(t, worker.Assign(assigned, lease+1), jobworker.ErrNotAssignable)
	worker.Drain(0)
	assert.ErrorIs(t, worker.Assign(assigned, lease), jobworker.ErrNotAssignable)
	assert.Equal(t, worker.Demand(&demand.Report{Node: "front"}).Batch.Lease, int64(0))
}

// TestClaimOfAWorkerWithoutRunnersIsGivenUp has a job accepted with a claim for a worker that is never notified, as when
// the store's answer is lost, and that no longer owns a runner. While it renews its lease nobody else can claim the job,
// so it must release the claim.
//
// In the soak test such jobs stayed idle for half a minute after the last fault, beside workers that ran others.
func TestClaimOfAWorkerWithoutRunnersIsGivenUp(t *testing.T) {
	g := newGroup(t)
	mirrors := &localMirrors{workers: map[string]*jobworker.Worker{}}
	lease := leaseOf(t, g.start("n0", kvtest.NewPaged(g.data), &fakeCaller{}, mirrors, oneRunner("i-1")))
	g.tables["n0"].Replace(nil, time.Now(), true)
	_, err := g.records.AcceptFor(context.Background(), assignedSubmission("a"), nil, jobrecord.Assignee{Node: "n0", Lease: lease})
	assert.NilError(t, err)
	g.start("n1", kvtest.NewPaged(g.data), &fakeCaller{}, mirrors, runnerOwnedBy(t, "n1", "n0", "n1"))
	g.waitWhole("a", 1)
}
