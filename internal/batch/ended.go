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
	// maxAttempts bounds the runs of an item that fail on the runner's side. Including the backoff between them, an item
	// survives a fault of 16 s, and an item that crashes its runner does so at most this many times.
	maxAttempts = 8
	// firstBackoff is the delay after a refusal; each failed run doubles it up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// refusalPause is how long no items are started on a runner that was busy or failed.
	refusalPause = 200 * time.Millisecond
)

// runEnded handles the end of a run: its item is completed, queued again or failed.
func (w *Worker) runEnded(done *execution, state *runnerState) {
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
		w.runSucceeded(done)
		return
	}
	if done.preempted {
		w.afterPreemption(done, now)
		return
	}
	w.afterFailure(done, now)
}

// observe updates the runner table and the runner's state from the outcome of a run.
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
		state.pausedUntil = now.Add(refusalPause)
	case errors.Is(done.err, engine.ErrModelNotLoaded):
		table.ObserveNotLoaded(done.runner, done.item.request.Model, done.item.request.Adapter)
	case errors.Is(done.err, engine.ErrRejected):
		return
	default:
		state.pausedUntil = now.Add(refusalPause)
		if table.ObserveFailure(done.runner, now) {
			event.RunnerEjected.Log(w.config.Logger).Str("runner", string(done.runner)).Err(done.err).Send()
		}
	}
}

// runSucceeded adds the complete answer of a run to the results to commit.
func (w *Worker) runSucceeded(done *execution) {
	complete, err := done.aggregate.Answer()
	if err != nil {
		w.fail(done.item, failure.New(failure.CodeBackendFailed, "the runner's answer cannot be read").WithOutcome(outcome.Ran))
		return
	}
	w.metrics.completed(done.aggregate.Usage().CompletionTokens)
	w.addResult(done.item, job.Result{Index: done.item.job.Index, Status: complete.Status, Body: complete.Body})
}

// afterPreemption queues a preempted item again, to be resumed from its partial answer if the engine retained its tokens.
// A non-repeatable item that may have run fails with an unknown outcome.
func (w *Worker) afterPreemption(done *execution, now time.Time) {
	if done.outcome != outcome.NotRun && !done.item.request.Repeatable {
		w.fail(done.item, unknownOutcome())
		return
	}
	done.item.partial = nil
	if done.retainedTokens {
		done.item.partial = &partialAnswer{runner: done.runner, since: now, position: done.position, aggregate: done.aggregate}
	}
	w.registry.requeue(done.item)
}

// afterFailure queues an item for a retry or fails it.
//
// Invariant: a non-repeatable item whose run may have begun never runs again; its result states this.
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
	done.item.partial = nil
	done.item.attempts++
	if done.item.attempts >= maxAttempts {
		w.fail(done.item, failure.New(failure.CodeBackendFailed, "the runner failed %d times", maxAttempts).WithOutcome(outcome.Ran))
		return
	}
	w.backOff(done.item, now)
}

// refused queues an item that was not run for a retry. If the engine no longer has its tokens, the item restarts from the
// beginning.
func (w *Worker) refused(done *execution, now time.Time) {
	if errors.Is(done.err, engine.ErrGone) {
		done.item.partial = nil
	}
	w.backOff(done.item, now)
}

func unknownOutcome() *failure.Error {
	return failure.New(failure.CodeOutcomeUnknown, "the item was started and its outcome is not known; it will not run again").
		WithOutcome(outcome.Unknown)
}

// backoffAfter returns the delay before the next run after the given number of failed runs.
func backoffAfter(attempts int) time.Duration {
	return min(firstBackoff<<attempts, maxBackoff)
}

// backOff queues an item again, to be run after its backoff.
func (w *Worker) backOff(returned *item, now time.Time) {
	returned.notBefore = now.Add(backoffAfter(returned.attempts))
	w.registry.requeue(returned)
}

// fail completes an item with an error result.
func (w *Worker) fail(failed *item, cause *failure.Error) {
	w.metrics.failed()
	w.addResult(failed, failedResult(failed.job.Index, cause))
}
