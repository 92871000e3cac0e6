package jobworker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/resultlog"
	"mallowlatch.example/mallowlatch/internal/work"
)

// ErrNotAssignable means that this node does not run the job that was claimed for it: the node is stopping, or now has
// another lease.
const ErrNotAssignable = failure.Kind("job worker: the job is not run here")

// batchReport returns this node's batch load as it is reported to other nodes. A node that takes no jobs reports no lease.
// The caller must hold the mutex.
func (w *Worker) batchReport(now time.Time) demand.Batch {
	report := demand.Batch{Node: w.Node, RunMs: w.duration.Milliseconds()}
	if w.draining || w.memory.full(now) || !now.Before(w.leaseUntil.Add(-leaseMargin)) {
		return report
	}
	report.Waiting, report.Slots = w.found.waiting, w.found.slots
	if report.Slots > 0 {
		report.Lease = int64(w.lease)
	}
	return report
}

// batchLoad is the batch work found by one dispatch round. It is counted once a round, because it is sent with each answer
// to a report of online work, of which there are hundreds a second.
type batchLoad struct {
	// waiting counts the items that no runner has, slots those that the owned runners could run.
	waiting, slots int
	// waitingFor counts the waiting items by service.
	waitingFor map[string]int
}

// batchSlots returns how many items the owned runners of all batch routes could run now. The caller must hold the mutex.
func (w *Worker) batchSlots(now time.Time) int {
	slots := 0
	for _, service := range w.batchServices() {
		slots += w.serviceSlots(service, now)
	}
	return slots
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

// Assign makes this node run a job that was accepted with its claim. It returns ErrNotAssignable if the node does not run
// the job; the claim must then be released.
func (w *Worker) Assign(assigned jobrecord.Assigned, lease kv.LeaseID) error {
	id := assigned.Open.ID
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.draining || w.lease == 0 || w.lease != lease || !w.tomb.Alive() || w.isOutdated(assigned) {
		return ErrNotAssignable
	}
	state := w.open[id]
	if state == nil {
		state = &openJob{entry: assigned.Open, unclaimed: w.Now()}
		w.open[id] = state
	}
	if w.holders[id] {
		return nil
	}
	reservation, err := w.reserve(assigned.Open, w.Now())
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotAssignable, err)
	}
	state.claimed = true
	pending := claimedJob{
		entry: assigned.Open, holding: resultlog.Holding{Claim: assigned.Claim, Lease: lease}, isNew: true, reservation: reservation,
	}
	w.startHolder(id, func() {
		if job := w.startAssigned(pending, state); job != nil {
			w.hold(job)
		}
	})
	return nil
}

// isOutdated reports whether the claim of an assigned job is known to be gone: the assignment came late. The caller must hold the mutex.
func (w *Worker) isOutdated(assigned jobrecord.Assigned) bool {
	if w.liveRevision < assigned.Claim.Revision {
		return false
	}
	state := w.open[assigned.Open.ID]
	return state == nil || state.holder != w.Node
}

// startAssigned reads an assigned job and starts it. It returns nil if that fails; the job is then claimed again like any other.
func (w *Worker) startAssigned(pending claimedJob, state *openJob) *jobRun {
	ctx, cancel := w.callContext()
	defer cancel()
	job, err := w.startJob(ctx, pending)
	if err == nil {
		return job
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	state.claimed, state.ownClaim = false, true
	if errors.Is(err, jobrecord.ErrNoSuchJob) {
		// The job ended before it was started.
		return nil
	}
	event.JobStoreFailed.Log(w.Logger).Str("doing", "reading an assigned job").Str("job", string(pending.entry.ID)).Err(err).Send()
	return nil
}

// claimedJob is a job that this node has claimed and is about to run.
type claimedJob struct {
	entry   jobrecord.Open
	holding resultlog.Holding
	// isNew is set for a job that was never claimed before and therefore has no results.
	isNew bool
	// reservation is the memory reserved for the job.
	reservation *memorybudget.Held
}

// startJob reads a claimed job and runs it. It returns nil if the job does not run; its memory reservation is then released.
func (w *Worker) startJob(ctx context.Context, pending claimedJob) (*jobRun, error) {
	entry, isNew := pending.entry, pending.isNew
	loaded, results, err := w.loadJob(ctx, entry, isNew)
	if err != nil {
		pending.reservation.Release()
		return nil, err
	}
	job := newJobRun(pending.holding, loaded, results)
	job.entry, job.reservation = entry, pending.reservation
	job.setSizes(entry.Bytes)
	job.started = w.Now()
	job.progressed = job.started
	resumed := 0
	if w.Now().Sub(job.submitted) > minMirroredAge {
		resumed = job.resume(w.fetchMirrored(entry.ID))
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	state := w.open[entry.ID]
	if state == nil {
		pending.reservation.Release()
		return nil, nil
	}
	state.claimed = true
	w.jobs[entry.ID] = job
	job.signal()
	event.JobClaimed.Log(w.Logger).Str("job", string(entry.ID)).Int("items", len(loaded.Header.Items)).Int("listed", len(results)).
		Int("resumed", resumed).Bool("assigned", isNew).Send()
	return job, nil
}

func (w *Worker) loadJob(ctx context.Context, entry jobrecord.Open, isNew bool) (*jobrecord.Job, []work.Result, error) {
	if isNew {
		loaded, err := w.Records.LoadFresh(ctx, entry.ID)
		return loaded, nil, err
	}
	return w.Records.Load(ctx, entry.ID)
}
