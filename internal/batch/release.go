package batch

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// strandedLook is the time between looks for items that no owned runner can run.
	strandedLook = time.Second
	// startPatience bounds how long an item waits while every runner that could take it begins nothing.
	startPatience = 10 * time.Second
)

// usable reports whether items may be started on the runner, now or once its credits allow it.
func (w *Worker) usable(runner ident.Runner, now time.Time) bool {
	state, known := w.runners[runner]
	if !known || !state.owned || state.epoch == state.fencedEpoch {
		return false
	}
	view, listed := w.config.Table.Runner(runner, now)
	return listed && !view.Leaving && !view.Ejected
}

// anyHolds reports whether a usable runner holds the model.
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

// releaseStranded gives back the items that no usable runner holds the model of, and those that have waited for too long.
// Their leases would be renewed for ever while other nodes have runners for them. Items whose tokens a runner keeps that
// is of no use any more start anew.
//
// Invariant: only queued items are given back, which did not run or may run again.
func (w *Worker) releaseStranded(now time.Time) {
	w.noteServing(now)
	if now.Before(w.strandedAt) {
		return
	}
	w.strandedAt = now.Add(strandedLook)
	for _, queued := range w.book.queue {
		if queued.kept != nil && queued.request.Repeatable && !w.usable(queued.kept.runner, now) {
			queued.kept = nil
		}
	}
	w.releaseQueued(func(queued *item) bool {
		return !w.anyHolds(queued.request.Model, queued.request.Adapter, now)
	})
	if w.releaseQueued(func(queued *item) bool { return w.waitsInVain(queued, now) }) {
		// Others look first.
		w.feeder.resumeAt = now.Add(longestEmptyPause)
	}
}

// noteServing remembers which runners have a run that has begun.
func (w *Worker) noteServing(now time.Time) {
	for _, state := range w.runners {
		for running := range state.running {
			if !running.prefilling {
				state.servedAt = now
				break
			}
		}
	}
}

// waitsInVain reports whether the item has waited for startPatience, in which no runner that could take it served any.
func (w *Worker) waitsInVain(queued *item, now time.Time) bool {
	if now.Sub(queued.waitingSince) < startPatience {
		return false
	}
	serves := func(state *runnerState) bool { return now.Sub(state.servedAt) < startPatience }
	return !w.anyUsable(queued.request.Model, queued.request.Adapter, now, serves)
}

// releaseQueued gives back the chosen items of those that do not run, and reports whether there were any.
func (w *Worker) releaseQueued(chosen func(*item) bool) bool {
	taken := w.book.takeQueued(chosen)
	for held, indexes := range taken {
		w.release(held, indexes)
	}
	return len(taken) > 0
}

// release tells the store of items that are given back. It tries until the store has confirmed it or the lease is lost:
// other items may keep the lease alive for long. The items stay with the lease until then, but never start here again,
// since the store may have taken a release whose answer was lost.
func (w *Worker) release(held *heldLease, indexes []uint32) {
	w.background(func(ctx context.Context) {
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
	w.book.settle(held, len(indexes))
	if held.unfinished <= 0 {
		delete(w.commits, held)
	}
}
