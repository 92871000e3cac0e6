package batch

import (
	"errors"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

const (
	// maxAttempts bounds the runs of an item that fail on the runner's side. With the waits between them an item outlasts
	// a fault of 16 s, and one that brings its runner down does so no more often than this.
	maxAttempts = 8
	// firstBackoff is the wait after a refusal; each failed run doubles it up to lastBackoff.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 5 * time.Second
	// busyPause is how long a runner that refused is left alone if it gave no advice.
	busyPause = 200 * time.Millisecond
)

// ended takes a run's end and decides what becomes of its item.
func (w *Worker) ended(done *execution, state *runnerState) {
	delete(state.running, done)
	w.tenants.add(done.item.job.Tenant, -1)
	endPrefill(state, done)
	now := w.config.Now()
	w.observe(done, state, now)
	if done.begun {
		done.item.waitingSince = now
	}
	if done.item.lease.lost {
		return
	}
	if done.err == nil {
		w.answered(done)
		return
	}
	if done.preempted {
		w.afterPreemption(done, now)
		return
	}
	w.afterFailure(done, now)
}

// observe tells the table and the runner's state what the run showed.
func (w *Worker) observe(done *execution, state *runnerState, now time.Time) {
	table := w.config.Table
	switch {
	case done.err == nil:
		table.ObserveSuccess(done.runner)
	case done.preempted:
		return
	case errors.Is(done.err, engine.ErrFenced):
		state.fencedEpoch = done.epoch
		w.metrics.fenced()
		event.BatchFenced.Log(w.config.Logger).Str("runner", string(done.runner)).Uint64("epoch", done.epoch).Send()
	case errors.Is(done.err, engine.ErrLeaving):
		table.ObserveLeaving(done.runner, true, now)
	case errors.Is(done.err, engine.ErrBusy):
		state.pausedUntil = now.Add(busyPause)
	case errors.Is(done.err, engine.ErrModelNotLoaded):
		table.ObserveNotLoaded(done.runner, done.item.request.Model, done.item.request.Adapter)
	case errors.Is(done.err, engine.ErrRejected):
		return
	default:
		state.pausedUntil = now.Add(busyPause)
		if table.ObserveFailure(done.runner, now) {
			event.RunnerEjected.Log(w.config.Logger).Str("runner", string(done.runner)).Err(done.err).Send()
		}
	}
}

// answered commits a whole answer.
func (w *Worker) answered(done *execution) {
	whole, err := done.whole.Answer()
	if err != nil {
		w.fail(done.item, failure.New(failure.CodeBackendFailed, "the runner's answer cannot be read").WithOutcome(outcome.Ran))
		return
	}
	w.metrics.completed(done.whole.Usage().CompletionTokens)
	w.result(done.item, job.Result{Index: done.item.job.Index, Status: whole.Status, Body: whole.Body})
}

// afterPreemption puts the item back. With its tokens kept it goes on where it stopped.
func (w *Worker) afterPreemption(done *execution, now time.Time) {
	if done.outcome != outcome.NotRun && !done.item.request.Repeatable {
		w.fail(done.item, unknownOutcome())
		return
	}
	done.item.kept = nil
	if done.keptTokens {
		done.item.kept = &keptAnswer{runner: done.runner, since: now, position: done.position, whole: done.whole}
	}
	w.book.requeue(done.item)
}

// afterFailure retries an item or ends it with an error.
//
// Invariant: a non-repeatable item whose run may have begun never runs again; its result says so.
func (w *Worker) afterFailure(done *execution, now time.Time) {
	if errors.Is(done.err, engine.ErrRejected) {
		w.fail(done.item, failure.New(failure.CodeInvalidRequest, "the model engine rejected the request").WithOutcome(done.outcome))
		return
	}
	if done.outcome == outcome.NotRun {
		w.refused(done, now)
		return
	}
	if !done.item.request.Repeatable {
		w.fail(done.item, unknownOutcome())
		return
	}
	done.item.kept = nil
	done.item.attempts++
	if done.item.attempts >= maxAttempts {
		w.fail(done.item, failure.New(failure.CodeBackendFailed, "the runner failed %d times", maxAttempts).WithOutcome(outcome.Ran))
		return
	}
	w.backOff(done.item, now)
}

// refused puts back an item that was not run. If the engine no longer holds its tokens, it starts anew.
func (w *Worker) refused(done *execution, now time.Time) {
	if errors.Is(done.err, engine.ErrGone) {
		done.item.kept = nil
	}
	w.backOff(done.item, now)
}

func unknownOutcome() *failure.Error {
	return failure.New(failure.CodeOutcomeUnknown, "the item was started and its outcome is not known; it will not run again").
		WithOutcome(outcome.Unknown)
}

// backoffAfter returns the wait after a number of failed runs.
func backoffAfter(attempts int) time.Duration {
	return min(firstBackoff<<attempts, lastBackoff)
}

// backOff puts an item back for a later run.
func (w *Worker) backOff(returned *item, now time.Time) {
	returned.notBefore = now.Add(backoffAfter(returned.attempts))
	w.book.requeue(returned)
}

// fail ends an item with an error.
func (w *Worker) fail(failed *item, cause *failure.Error) {
	w.metrics.failed()
	w.result(failed, failedResult(failed.job.Index, cause))
}
