package jobworker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/heldbytes"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/work"
)

// ErrNotAssignable means that this node does not run the job that was claimed for it: it is about to stop, or its lease is
// another one now.
const ErrNotAssignable = failure.Kind("job worker: the job is not run here")

// batch tells of this node's batch work. A node that takes no jobs tells of no lease. The caller holds the mutex.
func (w *Worker) batch(now time.Time) demand.Batch {
	told := demand.Batch{Node: w.Node, RunMs: w.duration.Milliseconds()}
	if w.draining || w.memory.isFull(now) || !now.Before(w.leaseUntil.Add(-leaseMargin)) {
		return told
	}
	told.Waiting, told.Places = w.found.waiting, w.found.places
	if told.Places > 0 {
		told.Lease = int64(w.lease)
	}
	return told
}

// batchLoad is what a round of giving out items found. It is told with each answer to a report of online work, of which
// there are hundreds a second, and counted once a round.
type batchLoad struct {
	// waiting are the items that no runner has, places those that the owned runners could run.
	waiting, places int
}

// batchPlaces returns how many items the owned runners of all batch routes could run now. The caller holds the mutex.
func (w *Worker) batchPlaces(now time.Time) int {
	places := 0
	for _, service := range w.batchServices() {
		places += w.placesOf(service, now)
	}
	return places
}

// batchServices returns the services that batch routes go to.
func (w *Worker) batchServices() []string {
	catalog := w.Routes.Catalog()
	if catalog == nil {
		return nil
	}
	var services []string
	for index := range catalog.Routes {
		route := &catalog.Routes[index]
		for _, part := range route.Split {
			if route.Kind == work.Batch {
				services = appendNew(services, part.Service)
			}
		}
	}
	return services
}

// Assign has this node run a job that was accepted with its claim. It returns ErrNotAssignable where it does not, so that
// the claim is to be given up.
func (w *Worker) Assign(assigned jobrecord.Assigned, lease kv.LeaseID) error {
	id := assigned.Open.ID
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.draining || w.lease == 0 || w.lease != lease || !w.tomb.Alive() {
		return ErrNotAssignable
	}
	known := w.open[id]
	if known == nil {
		known = &openJob{entry: assigned.Open, unclaimed: w.Now()}
		w.open[id] = known
	}
	if known.claiming || w.jobs[id] != nil {
		return nil
	}
	held, err := w.reserve(assigned.Open, w.Now())
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotAssignable, err)
	}
	known.claimed, known.claiming = true, true
	w.tomb.Go(func() error {
		w.runAssigned(assigned, known, held)
		return nil
	})
	return nil
}

// runAssigned reads the job and begins it. Where it cannot be read it is claimed again like any other.
func (w *Worker) runAssigned(assigned jobrecord.Assigned, known *openJob, held *heldbytes.Held) {
	ctx, cancel := w.call()
	defer cancel()
	err := w.begin(ctx, beginning{entry: assigned.Open, claim: assigned.Claim, fresh: true, held: held})
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known.claiming = false
	if err == nil {
		return
	}
	known.claimed, known.own = false, true
	if errors.Is(err, jobrecord.ErrNoSuchJob) {
		// Ended before it was begun.
		return
	}
	event.JobStoreFailed.Log(w.Logger).Str("doing", "reading an assigned job").Str("job", string(assigned.Open.ID)).Err(err).Send()
}

// beginning is a claimed job that is about to be run.
type beginning struct {
	entry jobrecord.Open
	claim jobrecord.Claim
	// fresh says that the job was never claimed before, so that it has no results.
	fresh bool
	// held is the room for it.
	held *heldbytes.Held
}

// begin reads a claimed job and runs it. What is held for it is released where it does not run.
func (w *Worker) begin(ctx context.Context, begun beginning) error {
	entry, fresh := begun.entry, begun.fresh
	loaded, results, err := w.load(ctx, entry, fresh)
	if err != nil {
		begun.held.Release()
		return err
	}
	job := newJobRun(begun.claim, loaded)
	job.entry, job.held = entry, begun.held
	job.measure(entry.Bytes)
	job.progressed = w.Now()
	job.list(results)
	resumed := 0
	if w.Now().Sub(job.submitted) > youngJob {
		resumed = job.resume(w.recall(entry.ID))
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.open[entry.ID]
	if known == nil {
		begun.held.Release()
		return nil
	}
	known.claimed = true
	w.jobs[entry.ID] = job
	event.JobClaimed.Log(w.Logger).Str("job", string(entry.ID)).Int("items", len(loaded.Header.Items)).Int("listed", len(results)).
		Int("resumed", resumed).Bool("assigned", fresh).Send()
	w.startWriter(job)
	return nil
}

func (w *Worker) load(ctx context.Context, entry jobrecord.Open, fresh bool) (*jobrecord.Job, []work.Result, error) {
	if fresh {
		loaded, err := w.Records.LoadFresh(ctx, entry.ID)
		return loaded, nil, err
	}
	return w.Records.Load(ctx, entry.ID)
}
