package jobworker

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// leaseMargin is subtracted from the end of the lease for clock drift.
	leaseMargin = 300 * time.Millisecond
	// finishedTTL is how long the results of a finished job stay in memory, maxFinishedBytes bounds the size of their
	// text.
	finishedTTL      = 2 * time.Minute
	maxFinishedBytes = 24 << 20
)

// RecordedResults returns from memory how far a job is recorded: its tenant, its number of items and its results from a position on.
// If there are none, it waits for the next result, at most for the given time. It returns false if this node cannot be
// sure that it knows the newest state: it does not hold the claim, or its lease may have expired, so that another node may
// have recorded more. Results that were evicted from memory have to be read from the store, too.
func (w *Worker) RecordedResults(ctx context.Context, job ident.Job, from int, wait time.Duration) (held work.Held, sure bool) {
	end := w.Now().Add(wait)
	for {
		held, changed, sure := w.recordedNow(job, from)
		left := end.Sub(w.Now())
		if !sure || len(held.Results) > 0 || from >= held.Total || left <= 0 {
			return held, sure
		}
		if !waitClosed(ctx, changed, left) {
			held, _, sure = w.recordedNow(job, from)
			return held, sure
		}
	}
}

// recordedNow returns what is recorded now, and a channel that is closed when that changes.
func (w *Worker) recordedNow(id ident.Job, from int) (held work.Held, changed <-chan struct{}, sure bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if cached, found := w.finished.find(id); found {
		cached.Results = tail(cached.Results, from)
		return cached, nil, true
	}
	job := w.jobs[id]
	if job == nil || !w.Now().Before(w.leaseUntil.Add(-leaseMargin)) {
		return work.Held{}, nil, false
	}
	results, inMemory := job.log.From(from)
	// What is recorded never changes. That nothing more is recorded takes the claim, and the answers to all calls.
	if !inMemory || (len(results) == 0 && !job.log.Complete(w.lease)) {
		return work.Held{}, nil, false
	}
	return work.Held{Tenant: job.header.Tenant, Total: len(job.items), Results: results}, job.changed, true
}

func tail(results []work.Result, from int) []work.Result {
	return results[min(from, len(results)):]
}

// waitClosed waits until the channel is closed. It returns false if the time limit or ctx ends first.
func waitClosed(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// ItemBody returns from memory the body of an item without a recorded result, and the tenant of its job. It returns false
// if this node does not have the body, which does not mean that the item does not exist.
func (w *Worker) ItemBody(id ident.Job, item ident.Request) (body []byte, tenant ident.Tenant, found bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	job := w.jobs[id]
	if job == nil {
		return nil, "", false
	}
	for _, candidate := range job.items {
		if candidate.item.ID == item {
			return candidate.body, job.header.Tenant, candidate.body != nil
		}
	}
	return nil, "", false
}

// finishedJobs caches the results of finished jobs. They never change, so no lease is needed.
type finishedJobs struct {
	byID  map[ident.Job]work.Held
	order []finishedJob
	bytes int64
}

type finishedJob struct {
	id          ident.Job
	at          time.Time
	bytes       int64
	reservation *memorybudget.Held
}

func (f *finishedJobs) find(id ident.Job) (work.Held, bool) {
	held, found := f.byID[id]
	return held, found
}

// add caches the results of a finished job, which must all be in memory, if they fit in the node's budget.
func (f *finishedJobs) add(budget *memorybudget.NodeBudget, job *jobRun, now time.Time) {
	size := job.log.RecordedBytes()
	reservation, err := budget.Reserve(memorybudget.Kept, memorybudget.Whose{}, size)
	for err != nil && f.evictOldest() {
		reservation, err = budget.Reserve(memorybudget.Kept, memorybudget.Whose{}, size)
	}
	if err != nil {
		// The results can be read from the store.
		return
	}
	if f.byID == nil {
		f.byID = map[ident.Job]work.Held{}
	}
	id := job.header.ID
	results, _ := job.log.From(0)
	f.byID[id] = work.Held{Tenant: job.header.Tenant, Total: len(results), Results: results}
	f.order = append(f.order, finishedJob{id: id, at: now, bytes: size, reservation: reservation})
	f.bytes += size
	for len(f.order) > 0 && (f.bytes > maxFinishedBytes || now.Sub(f.order[0].at) > finishedTTL) {
		f.evictOldest()
	}
}

// evictOldest removes the results cached for the longest time, and returns false if there are none.
func (f *finishedJobs) evictOldest() bool {
	if len(f.order) == 0 {
		return false
	}
	oldest := f.order[0]
	f.order = f.order[1:]
	f.bytes -= oldest.bytes
	oldest.reservation.Release()
	delete(f.byID, oldest.id)
	return true
}
