package jobpeer

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/asof"
	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
)

const (
	// batchReportTTL is how long a worker's batch report stays valid: two report intervals.
	batchReportTTL = 2 * demand.IdleRefreshInterval
	// maxAssignedWait is the longest estimated wait of a worker's queued items at which it is still assigned a new job on
	// acceptance. If the estimate is longer, the job stays unassigned and the first idle worker of any zone claims it.
	maxAssignedWait = time.Second
)

// recordBatch records a worker's report about its batch work as of the given time.
func (h *WorkerClient) recordBatch(address string, batch demand.Batch, asOf time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.batches == nil {
		h.batches = map[string]asof.Fact[demand.Batch]{}
	}
	report := h.batches[address]
	report.Renew(batch, asOf)
	h.batches[address] = report
}

// Assignee returns the worker of this zone that is expected to start a job of the given number of items first. It returns
// false if no worker is expected to start within maxAssignedWait. The items count as waiting at the returned worker from
// now on.
func (h *WorkerClient) Assignee(items int) (jobrecord.Assignee, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.Now()
	best, found := "", false
	for _, worker := range h.workers.Value() {
		report := h.batches[worker.Address]
		batch := report.Value()
		stale := !report.Within(batchReportTTL, now) || batch.Node != worker.Node
		if worker.Zone != h.Zone || stale || batch.Lease == 0 || now.Before(h.skippedUntil[worker.Address]) {
			continue
		}
		if batch.Wait(0) > maxAssignedWait {
			continue
		}
		if !found || batch.Wait(items) < h.batches[best].Value().Wait(items) {
			best, found = worker.Address, true
		}
	}
	if !found {
		return jobrecord.Assignee{}, false
	}
	chosen := h.batches[best].Value()
	chosen.Waiting += items
	h.batches[best] = h.batches[best].With(chosen)
	return jobrecord.Assignee{Node: chosen.Node, Lease: kv.LeaseID(chosen.Lease), Address: best}, true
}

// Assign notifies a worker of a job that was accepted with a claim for that worker. It reports whether the worker runs the
// job.
func (h *WorkerClient) Assign(ctx context.Context, assignee jobrecord.Assignee, assigned jobrecord.Assigned) bool {
	request := &AssignRequest{
		Job: assigned.Open.ID, Route: assigned.Open.Route, Zone: assigned.Open.Zone, Tokens: assigned.Open.Tokens,
		Tenant: assigned.Open.Tenant, Bytes: assigned.Open.Bytes, Opened: assigned.Open.Revision,
		Claimed: assigned.Claim.Revision, Lease: int64(assignee.Lease),
	}
	reply := &AssignReply{}
	if !h.ask(ctx, assignee.Address, methodAssign, request, reply, 0) || !reply.Taken {
		return false
	}
	h.cacheLocation(assigned.Open.ID, jobLocation{address: assignee.Address})
	return true
}
