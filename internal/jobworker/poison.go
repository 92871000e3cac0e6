package jobworker

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// holdsBack reports whether an item must wait because runners crashed while they ran it, or requests with a part of its prompt. It is not given
// up for that, and its turn always comes: it may only have run beside the cause. Such items run at a pace, each apart from the others.
func (w *Worker) holdsBack(item *itemRun, service string, now time.Time) bool {
	if w.PoisonWatch.Idle() {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	next := w.nextRun(item, service)
	item.onTrial = !next.IsZero()
	if !item.onTrial {
		return false
	}
	if now.Before(next) {
		item.notBefore = next
		return true
	}
	return w.trialsRunning() >= w.trials.Allowed()
}

// nextRun returns when an item may run, given the crashes under it and under the parts of its prompt; zero if these do not limit it. The caller
// must hold the mutex.
func (w *Worker) nextRun(item *itemRun, service string) time.Time {
	if item.fingerprint == "" {
		item.fingerprint = w.Key.Of(w.requestOf(item))
	}
	var next time.Time
	if w.PoisonWatch.Refused(item.fingerprint) {
		next = poison.NextRun(w.PoisonWatch.Book.Crashes(item.fingerprint))
	}
	parts := poison.NextRun(w.PoisonWatch.Book.LastCrash(w.Key.OfParts(w.promptOf(item)), service))
	if parts.After(next) {
		return parts
	}
	return next
}

// trialsRunning counts the running items of this node under which runners crashed. The caller must hold the mutex.
func (w *Worker) trialsRunning() int {
	count := 0
	for _, job := range w.jobs {
		for _, item := range job.items {
			if item.running && item.onTrial {
				count++
			}
		}
	}
	return count
}

// hasTrial reports whether an item under which runners crashed runs at a runner. The caller must hold the mutex.
func (w *Worker) hasTrial(id ident.Incarnation) bool {
	for _, job := range w.jobs {
		for _, item := range job.items {
			if item.running && item.onTrial && item.runner == id {
				return true
			}
		}
	}
	return false
}

// recordTrial records how the run of an item under which runners crashed ended. The caller must hold the mutex.
func (w *Worker) recordTrial(ctx context.Context, item *itemRun, status int, err error) {
	switch {
	case !item.onTrial:
	case err == nil && status == http.StatusOK:
		w.trials.Completed()
	case mayHaveCrashed(ctx, err):
		w.trials.Crashed()
	}
}

// mayHaveCrashed reports whether a run ended as it does when its runner crashes. A run that this node cancelled is no evidence.
func mayHaveCrashed(ctx context.Context, err error) bool {
	return err != nil && !errors.Is(err, errRefused) && !errors.Is(err, errOtherWeights) && ctx.Err() == nil && failureOf(err) == runnertable.NoAnswer
}

// recordRunEnd records whether a runner survived an item or its output broke off. began says whether the runner had begun to answer.
func (w *Worker) recordRunEnd(ctx context.Context, flight *runnertable.Flight, request *work.Request, began bool, status int, err error) {
	switch {
	case w.PoisonWatch == nil:
	case err == nil && status == http.StatusOK:
		if !w.PoisonWatch.Idle() {
			w.PoisonWatch.RecordCompleted(w.Key.Of(request))
		}
	case mayHaveCrashed(ctx, err):
		suspects := []poison.Fingerprint{w.Key.Of(request)}
		if !began {
			suspects = append(suspects, w.Key.OfParts(request.Prefix)...)
		}
		w.PoisonWatch.RecordBroken(flight.Runner, suspects...)
	}
}
