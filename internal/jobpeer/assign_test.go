package jobpeer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

// TestJobIsAssignedToTheWorkerThatStartsItFirst checks that Assignee chooses among the workers of the zone, counts the items it has
// assigned, and returns no worker if none is expected to start the job soon or is known to be alive.
func TestJobIsAssignedToTheWorkerThatStartsItFirst(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	h := &WorkerClient{Zone: "a", Now: func() time.Time { return now }}
	_, found := h.Assignee(10)
	assert.Assert(t, !found, "no worker is known")
	h.UpdateWorkers([]jobrecord.Worker{
		{Node: "w-1", Zone: "a", Address: "1"}, {Node: "w-2", Zone: "a", Address: "2"}, {Node: "far", Zone: "b", Address: "3"},
	}, h.Now())
	_, found = h.Assignee(10)
	assert.Assert(t, !found, "no worker has reported its batch work")
	report := func(address string, node ident.Node, lease int64, waiting int) {
		h.recordBatch(address, demand.Batch{Node: node, Lease: lease, Waiting: waiting, Slots: 20, RunMs: 2000}, h.Now())
	}
	report("1", "w-1", 11, 0)
	report("2", "w-2", 22, 2)
	report("3", "far", 33, 0)
	first, found := h.Assignee(8)
	assert.Assert(t, found)
	assert.DeepEqual(t, first, jobrecord.Assignee{Node: "w-1", Lease: 11, Address: "1"})
	second, found := h.Assignee(8)
	assert.Assert(t, found)
	assert.DeepEqual(t, second, jobrecord.Assignee{Node: "w-2", Lease: 22, Address: "2"})
	h.skip("1")
	third, _ := h.Assignee(1)
	assert.Equal(t, third.Node, ident.Node("w-2"), "a worker that does not answer must be skipped")
	_, found = h.Assignee(1)
	assert.Assert(t, !found, "11 items wait for 20 slots with runs of two seconds: more than a second")
	report("2", "w-2", 0, 0)
	_, found = h.Assignee(1)
	assert.Assert(t, !found, "a worker without a lease must not be assigned a job")
	report("2", "former", 22, 0)
	_, found = h.Assignee(1)
	assert.Assert(t, !found, "another node uses the address now")
	report("2", "w-2", 22, 0)
	now = now.Add(batchReportTTL + time.Millisecond)
	_, found = h.Assignee(1)
	assert.Assert(t, !found, "an outdated report is still used")
}
