package jobworker

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/heldbytes"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// leaseMargin is kept before the end of the lease for clocks that do not run alike.
	leaseMargin = 300 * time.Millisecond
	// finishedKept is how long the results of a finished job are kept in memory, finishedBytes bounds their text.
	finishedKept  = 2 * time.Minute
	finishedBytes = 24 << 20
)

// Held answers from memory how far a job is recorded: whose it is, its number of items and its results from a position on. With none
// it waits for the next, at most for the wait. It returns false where this node cannot be sure that it knows the newest
// state: it does not hold the claim, or its lease may have lapsed, so that another node may have recorded more. Results that it let go are
// read from the store, too.
func (w *Worker) Held(ctx context.Context, job ident.Job, from int, wait time.Duration) (held work.Held, sure bool) {
	end := w.Now().Add(wait)
	for {
		held, changed, sure := w.heldNow(job, from)
		left := end.Sub(w.Now())
		if !sure || len(held.Results) > 0 || from >= held.Total || left <= 0 {
			return held, sure
		}
		if !waitFor(ctx, changed, left) {
			held, _, sure = w.heldNow(job, from)
			return held, sure
		}
	}
}

// heldNow returns what is recorded now, and what is closed when that changes.
func (w *Worker) heldNow(id ident.Job, from int) (held work.Held, changed <-chan struct{}, sure bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if kept, found := w.finished.find(id); found {
		kept.Results = tail(kept.Results, from)
		return kept, nil, true
	}
	job := w.jobs[id]
	if job == nil || from < job.readable || !w.Now().Before(w.leaseUntil.Add(-leaseMargin)) {
		return work.Held{}, nil, false
	}
	return work.Held{Tenant: job.header.Tenant, Total: len(job.items), Results: tail(job.recorded, from-job.readable)}, job.changed, true
}

func tail(results []work.Result, from int) []work.Result {
	return results[min(from, len(results)):]
}

// waitFor waits for the channel's end. It returns false when the time or ctx ended first.
func waitFor(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
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

// HeldBody answers the body of an item without a recorded result, and whose job it is, from memory. It returns false where this node
// does not have it; that says nothing about the item.
func (w *Worker) HeldBody(id ident.Job, item ident.Request) (body []byte, tenant ident.Tenant, found bool) {
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

// finishedJobs keeps the results of finished jobs for a while. They never change, so that no lease is needed.
type finishedJobs struct {
	byID  map[ident.Job]work.Held
	order []finishedJob
	bytes int64
}

type finishedJob struct {
	id    ident.Job
	at    time.Time
	bytes int64
	held  *heldbytes.Held
}

func (f *finishedJobs) find(id ident.Job) (work.Held, bool) {
	held, found := f.byID[id]
	return held, found
}

// keep takes over the results of a job that is finished, if the node's budget has room for them.
func (f *finishedJobs) keep(budget *heldbytes.OfNode, job *jobRun, now time.Time) {
	size := job.recordedBytes
	held, err := budget.Reserve(heldbytes.Kept, heldbytes.Whose{}, size)
	for err != nil && f.dropOldest() {
		held, err = budget.Reserve(heldbytes.Kept, heldbytes.Whose{}, size)
	}
	if err != nil {
		// The store has them.
		return
	}
	if f.byID == nil {
		f.byID = map[ident.Job]work.Held{}
	}
	id := job.header.ID
	f.byID[id] = work.Held{Tenant: job.header.Tenant, Total: len(job.recorded), Results: job.recorded}
	f.order = append(f.order, finishedJob{id: id, at: now, bytes: size, held: held})
	f.bytes += size
	for len(f.order) > 0 && (f.bytes > finishedBytes || now.Sub(f.order[0].at) > finishedKept) {
		f.dropOldest()
	}
}

// dropOldest lets the results go that were kept the longest, and returns false where there are none.
func (f *finishedJobs) dropOldest() bool {
	if len(f.order) == 0 {
		return false
	}
	oldest := f.order[0]
	f.order = f.order[1:]
	f.bytes -= oldest.bytes
	oldest.held.Release()
	delete(f.byID, oldest.id)
	return true
}
