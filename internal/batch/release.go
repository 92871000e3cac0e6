package batch

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// strandedCheckInterval is the interval between checks for items that no owned runner can run.
	strandedCheckInterval = time.Second
	// maxStartWait bounds how long an item waits while no runner that could run it is serving batch items.
	maxStartWait = 10 * time.Second
)

// usable reports whether items may be started on the runner, now or when its credits allow it.
func (w *Worker) usable(runner ident.Runner, now time.Time) bool {
	state, known := w.runners[runner]
	if !known || !state.owned || state.epoch == state.fencedEpoch {
		return false
	}
	view, listed := w.config.Table.Runner(runner, now)
	return listed && !view.Leaving && !view.Ejected
}

// anyHolds reports whether a usable runner has the model loaded.
func (w *Worker) anyHolds(model, adapter string, now time.Time) bool {
	return w.anyUsable(model, adapter, now, func(*runnerState) bool { return true })
}

func (w *Worker) anyUsable(model, adapter string, now time.Time, chosen func(*runnerState) bool) bool {
	for runner, state := range w.runners {
		if !chosen(state) || !w.usable(runner, now) {
			continue
		}
		if view, known := w.config.Table.Runner(runner, now); known && view.HasModel(model, adapter) {
			return true
		}
	}
	return false
}

// releaseStranded releases the items whose model no usable runner has loaded, and those that have waited too long.
// Otherwise their leases would be renewed indefinitely while other nodes have runners for them. Items whose tokens are
// retained by a runner that is no longer usable restart from the beginning.
//
// Invariant: only queued items are released; these were not run or may run again.
func (w *Worker) releaseStranded(now time.Time) {
	w.recordServing(now)
	if now.Before(w.strandedAt) {
		return
	}
	w.strandedAt = now.Add(strandedCheckInterval)
	for _, queued := range w.registry.queue {
		if queued.partial != nil && queued.request.Repeatable && !w.usable(queued.partial.runner, now) {
			queued.partial = nil
		}
	}
	w.releaseQueued(func(queued *item) bool {
		return !w.anyHolds(queued.request.Model, queued.request.Adapter, now)
	})
	if w.releaseQueued(func(queued *item) bool { return w.waitedTooLong(queued, now) }) {
		// Gives other workers time to lease the released items first.
		w.feeder.resumeAt = now.Add(maxEmptyPause)
	}
}

// recordServing records the time at which each runner last had a run past its prefill.
func (w *Worker) recordServing(now time.Time) {
	for _, state := range w.runners {
		for running := range state.running {
			if !running.prefilling {
				state.servedAt = now
				break
			}
		}
	}
}

// waitedTooLong reports whether the item has waited for maxStartWait and no runner that could run it served any item in
// that time.
func (w *Worker) waitedTooLong(queued *item, now time.Time) bool {
	if now.Sub(queued.waitingSince) < maxStartWait {
		return false
	}
	serves := func(state *runnerState) bool { return now.Sub(state.servedAt) < maxStartWait }
	return !w.anyUsable(queued.request.Model, queued.request.Adapter, now, serves)
}

// releaseQueued releases the chosen queued items and reports whether there were any.
func (w *Worker) releaseQueued(chosen func(*item) bool) bool {
	taken := w.registry.takeQueued(chosen)
	for held, indexes := range taken {
		w.release(held, indexes)
	}
	return len(taken) > 0
}

// release returns items to the job store. It retries until the store confirms or the lease is lost, since other items may
// keep the lease alive for a long time. The items count as unfinished until then but never start here again, because the
// store may have applied a release whose response was lost.
func (w *Worker) release(held *heldLease, indexes []uint32) {
	w.callStore(func(ctx context.Context) {
		err := w.config.Work.Release(ctx, held.lease, indexes)
		w.post(func() { w.released(held, indexes, err) })
	})
}

func (w *Worker) released(held *heldLease, indexes []uint32, err error) {
	if held.lost {
		return
	}
	if err != nil {
		w.metrics.storeFailed()
		time.AfterFunc(commitRetry, func() { w.post(func() { w.release(held, indexes) }) })
		return
	}
	w.registry.markFinished(held, len(indexes))
	if held.unfinished <= 0 {
		delete(w.commits, held)
	}
}
