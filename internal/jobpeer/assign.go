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
	// batchMemory is how long the word of a worker about its batch work is believed: twice the time between two.
	batchMemory = 2 * demand.IdleRefreshEvery
	// longestAssignedWait is how long the items of a worker may wait for it to be given a job as that is accepted. Beyond it
	// the job is left to whichever worker, of any zone, is idle first.
	longestAssignedWait = time.Second
)

// noteBatch takes over what a worker told of its batch work, as of a moment.
func (h *Holders) noteBatch(address string, batch demand.Batch, asOf time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.batches == nil {
		h.batches = map[string]asof.Fact[demand.Batch]{}
	}
	told := h.batches[address]
	told.Renew(batch, asOf)
	h.batches[address] = told
}

// Assignee returns the worker of the zone that would begin a job of some items first, if one would soon. The items are
// counted there from now on.
func (h *Holders) Assignee(items int) (jobrecord.Assignee, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.Now()
	best, found := "", false
	for _, worker := range h.workers.Value() {
		told := h.batches[worker.Address]
		batch := told.Value()
		stale := !told.Within(batchMemory, now) || batch.Node != worker.Node
		if worker.Zone != h.Zone || stale || batch.Lease == 0 || now.Before(h.avoided[worker.Address]) {
			continue
		}
		if batch.Wait(0) > longestAssignedWait {
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

// Assign tells a worker of a job that was accepted with a claim for it, and says whether the worker runs it.
func (h *Holders) Assign(ctx context.Context, assignee jobrecord.Assignee, assigned jobrecord.Assigned) bool {
	request := &AssignRequest{
		Job: assigned.Open.ID, Route: assigned.Open.Route, Zone: assigned.Open.Zone, Tokens: assigned.Open.Tokens,
		Tenant: assigned.Open.Tenant, Bytes: assigned.Open.Bytes, Opened: assigned.Open.Revision, Claimed: assigned.Claim.Revision, Lease: int64(assignee.Lease),
	}
	reply := &AssignReply{}
	if !h.ask(ctx, assignee.Address, methodAssign, request, reply, 0) || !reply.Taken {
		return false
	}
	h.remember(assigned.Open.ID, whereabouts{address: assignee.Address})
	return true
}
