package jobworker

import (
	"errors"
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/queuecapacity"
)

// handoffRetryAfter is when a client may retry at a worker that did not store its job.
const handoffRetryAfter = 500 * time.Millisecond

// handoffBoundFraction of a route's bound may be waiting for workers to store further jobs: this node's view of the queue
// is some hundred milliseconds old, and other workers store jobs at the same moment.
const handoffBoundFraction = 0.85

// StoreHandoff writes a job to this node's disk until the store accepts it. bound limits the tokens that may wait on the route
// (zero means no bound, or that the job's capacity is reserved), copies is the number of workers that store each job. A
// nil error means that the job is durable here; any other error is a *failure.Error, with the outcome NotRun if the job is
// not stored here.
func (w *Worker) StoreHandoff(entry *handoff.Entry, bound, copies int) error {
	if w.HasHandoff(entry.Job) {
		return nil
	}
	waiting, refused := w.checkHandoff(entry, bound, copies)
	if refused != nil {
		return refused
	}
	reservation, err := w.Budget.Reserve(memorybudget.Submission, memorybudget.Whose{Tenant: entry.Tenant}, entry.Bytes())
	if err != nil {
		return failure.New(failure.CodeOverloaded, "this worker holds as much as it can").WithCause(err).
			WithRetryAfter(memorybudget.RetryAfter(rand.Float64()))
	}
	defer reservation.Release()
	if err := w.Handoff.Put(entry); err != nil {
		failed := failure.New(failure.CodeShardUnavailable, "the job could not be written here").WithCause(err)
		if errors.Is(err, handoff.ErrDisk) {
			return failed.WithOutcome(outcome.Unknown)
		}
		return failed.WithRetryAfter(handoffRetryAfter)
	}
	w.RecordAccountReport(&queuecapacity.Report{Kept: []queuecapacity.DiskJob{handoffJob(entry.Job, entry.Queue(), entry.Tokens())}})
	event.JobStoredLocally.Log(w.Logger).Str("job", string(entry.Job)).Int("items", len(entry.Items)).Int("turn", entry.Turn).
		Int("tokens", entry.Tokens()).Int("waiting", waiting).Send()
	return nil
}

// checkHandoff returns the tokens that wait beside a job, in this node's view, and the reason why the node does not accept
// the job, or nil.
func (w *Worker) checkHandoff(entry *handoff.Entry, bound, copies int) (int, error) {
	if w.Handoff == nil {
		return 0, failure.New(failure.CodeShardUnavailable, "this worker has no disk")
	}
	handedOff := w.Handoff.Tokens(entry.Queue())
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.draining {
		return 0, failure.New(failure.CodeShardUnavailable, "this worker is about to stop").WithRetryAfter(handoffRetryAfter)
	}
	if bound > 0 && !w.canCountWaiting() {
		return 0, failure.New(failure.CodeShardUnavailable, "this worker does not know which jobs wait").WithRetryAfter(handoffRetryAfter)
	}
	waiting := max(w.waitingTokens(entry.Queue())+estimateHandedOff(handedOff, len(w.workers), copies), w.queuedTokens(entry.Queue()))
	if bound > 0 && float64(waiting+entry.Tokens()) > handoffBoundFraction*float64(bound) {
		return waiting, failure.New(failure.CodeJobQuota, "%d tokens wait on the route and the job has %d, at most %d may wait",
			waiting, entry.Tokens(), bound).WithRetryAfter(handoffRetryAfter)
	}
	return waiting, nil
}

// estimateHandedOff estimates the tokens of the jobs stored by all workers from those stored here: each job is stored by
// some workers, selected per job.
func estimateHandedOff(handedOff, workers, copies int) int {
	if copies <= 0 || workers <= copies {
		return handedOff
	}
	return handedOff * workers / copies
}

// waitingTokens returns the tokens of the open jobs of a queue in this node's view. For jobs of other nodes all items
// count. The caller must hold the mutex.
func (w *Worker) waitingTokens(queue jobrecord.Queue) int {
	tokens := 0
	for id, state := range w.open {
		switch job := w.jobs[id]; {
		case !queue.Contains(state.entry.Route, state.entry.Tenant):
		case job != nil:
			tokens += job.remainingTokens(nil)
		default:
			tokens += state.entry.Tokens
		}
	}
	return tokens
}

// doubtPeriod is how long after an outage of the store, and after a restart of this node, workers with jobs on their disks
// may be missing from the registered ones: they renew within a second of the store's return, start within two, and hand
// their jobs over within two more.
const doubtPeriod = 5 * time.Second

// MayMissWorkers reports whether workers with stored jobs may be missing from the registered ones.
func (w *Worker) MayMissWorkers() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.mayMissWorkers(w.Now())
}

// mayMissWorkers is MayMissWorkers at a time. The caller must hold the mutex.
func (w *Worker) mayMissWorkers(now time.Time) bool {
	// A restarted node may have missed an outage. A node with a new disk cannot tell and does not doubt: otherwise a new
	// site would never be sure of anything.
	mayHaveMissed := w.Handoff != nil && w.Handoff.Reopened() && now.Sub(w.started) < doubtPeriod
	return mayHaveMissed || w.outage.recent(doubtPeriod, w.Options.OutageAfter, now)
}

func (w *Worker) hasPendingHandoffs() bool { return w.Handoff != nil && len(w.Handoff.Entries()) > 0 }

// HasHandoff reports whether a job is on this node's disk and not known to be in the store.
func (w *Worker) HasHandoff(job ident.Job) bool {
	return w.Handoff != nil && w.Handoff.Has(job)
}

// Accepted reports whether this node knows that the store has a job: its open entry was read, or the job was assigned here
// after it was accepted. False does not mean that the store lacks the job.
func (w *Worker) Accepted(job ident.Job) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, finished := w.finished.find(job)
	return w.open[job] != nil || finished
}
