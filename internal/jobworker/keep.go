package jobworker

import (
	"errors"
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/heldbytes"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/queueroom"
)

// keepRetryAfter is when a caller may come back to a worker that does not keep its job.
const keepRetryAfter = 500 * time.Millisecond

// keptShare of a route's bound may wait for workers to keep jobs: what this node knows of the queue is some hundred
// milliseconds old, and other workers keep jobs at the same moment.
const keptShare = 0.85

// Keep puts a job on this node's disk until the store takes it. bound is what may wait on the route (zero has no bound, or the job's room
// is reserved), copies the number of workers that keep each job. A nil error means that the job is durable here; any other is a
// *failure.Error, with the outcome NotRun where the job is not kept here.
func (w *Worker) Keep(entry *handoff.Entry, bound, copies int) error {
	if w.Keeps(entry.Job) {
		return nil
	}
	waiting, refused := w.refuseToKeep(entry, bound, copies)
	if refused != nil {
		return refused
	}
	held, err := w.Budget.Reserve(heldbytes.Submission, heldbytes.Whose{Tenant: entry.Tenant}, entry.Bytes())
	if err != nil {
		return failure.New(failure.CodeOverloaded, "this worker holds as much as it can").WithCause(err).
			WithRetryAfter(heldbytes.ReturnAfter(rand.Float64()))
	}
	defer held.Release()
	if err := w.Handoff.Put(entry); err != nil {
		failed := failure.New(failure.CodeShardUnavailable, "the job could not be written here").WithCause(err)
		if errors.Is(err, handoff.ErrDisk) {
			return failed.WithOutcome(outcome.Unknown)
		}
		return failed.WithRetryAfter(keepRetryAfter)
	}
	w.LearnRoom(&queueroom.News{Kept: []queueroom.Kept{keptJob(entry.Job, entry.Queue(), entry.Tokens())}})
	event.JobKept.Log(w.Logger).Str("job", string(entry.Job)).Int("items", len(entry.Items)).Int("turn", entry.Turn).
		Int("tokens", entry.Tokens()).Int("waiting", waiting).Send()
	return nil
}

// refuseToKeep returns the tokens that wait beside a job, as far as this node knows, and why it does not take the job, or nil.
func (w *Worker) refuseToKeep(entry *handoff.Entry, bound, copies int) (int, error) {
	if w.Handoff == nil {
		return 0, failure.New(failure.CodeShardUnavailable, "this worker has no disk")
	}
	kept := w.Handoff.Tokens(entry.Queue())
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.draining {
		return 0, failure.New(failure.CodeShardUnavailable, "this worker is about to stop").WithRetryAfter(keepRetryAfter)
	}
	if bound > 0 && !w.knowsWaiting() {
		return 0, failure.New(failure.CodeShardUnavailable, "this worker does not know which jobs wait").WithRetryAfter(keepRetryAfter)
	}
	waiting := max(w.waitingTokens(entry.Queue())+keptByAll(kept, len(w.workers), copies), w.waitsFor(entry.Queue()))
	if bound > 0 && float64(waiting+entry.Tokens()) > keptShare*float64(bound) {
		return waiting, failure.New(failure.CodeJobQuota, "%d tokens wait on the route and the job has %d, at most %d may wait", waiting, entry.Tokens(), bound).
			WithRetryAfter(keepRetryAfter)
	}
	return waiting, nil
}

// keptByAll estimates the tokens of the jobs that all workers keep from those kept here: each job is kept by some of
// them, drawn anew for each job.
func keptByAll(kept, workers, copies int) int {
	if copies <= 0 || workers <= copies {
		return kept
	}
	return kept * workers / copies
}

// waitingTokens returns the tokens of the open jobs of a queue, as this node last saw them. Of the jobs of other nodes all
// items count. The caller holds the mutex.
func (w *Worker) waitingTokens(queue jobrecord.Queue) int {
	tokens := 0
	for id, known := range w.open {
		switch job := w.jobs[id]; {
		case !queue.Has(known.entry.Route, known.entry.Tenant):
		case job != nil:
			tokens += job.remaining(nil)
		default:
			tokens += known.entry.Tokens
		}
	}
	return tokens
}

// doubtFor is how long after an outage of the store, and after this node was started again, other workers may not be
// registered again that keep jobs on their disks: they renew within a second of its return, start within two, and hand their jobs over in as
// long.
const doubtFor = 5 * time.Second

// DoubtsWorkers says whether the workers that are registered may not be all that keep jobs.
func (w *Worker) DoubtsWorkers() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.Now()
	// A node that is started again may have missed an outage; one with a new disk has nothing to go by, and asks for no doubt:
	// otherwise a new site would be sure of nothing.
	missed := w.Handoff != nil && w.Handoff.Reopened() && now.Sub(w.started) < doubtFor
	return missed || w.outage.justEnded(doubtFor, w.Options.OutageAfter, now)
}

func (w *Worker) keepsJobs() bool { return w.Handoff != nil && len(w.Handoff.Entries()) > 0 }

// Keeps says whether a job is on this node's disk and not known to be in the store.
func (w *Worker) Keeps(job ident.Job) bool {
	return w.Handoff != nil && w.Handoff.Has(job)
}

// Accepted says whether this node knows that the store has a job: its open entry was read, or the job was assigned here once it was
// accepted. False says nothing.
func (w *Worker) Accepted(job ident.Job) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, finished := w.finished.find(job)
	return w.open[job] != nil || finished
}
