package jobworker

import (
	"errors"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// keepLease holds a lease of the node. When it lapsed, the claims went with it and are taken anew.
func (w *Worker) keepLease() error {
	for {
		pause := w.Options.LeaseTTL / 3
		if err := w.renewLease(); err != nil {
			w.logStore("renewing the lease", err)
			pause = w.Options.RetryAfter
		}
		if !w.pause(pause) {
			return nil
		}
	}
}

func (w *Worker) renewLease() error {
	w.mutex.Lock()
	lease := w.lease
	w.mutex.Unlock()
	ctx, cancel := w.call()
	defer cancel()
	if lease != 0 {
		_, err := w.Store.KeepAlive(ctx, lease)
		if !errors.Is(err, kv.ErrLeaseNotFound) {
			return err
		}
		event.LeaseLapsed.Log(w.Logger).Int64("lease", int64(lease)).Send()
	}
	granted, err := w.Store.Grant(ctx, w.Options.LeaseTTL)
	w.mutex.Lock()
	w.lease = granted
	held := w.heldJobs()
	w.mutex.Unlock()
	if err != nil {
		return err
	}
	for _, job := range held {
		w.reclaim(job)
	}
	return nil
}

func (w *Worker) heldJobs() []*jobRun {
	held := make([]*jobRun, 0, len(w.jobs))
	for _, job := range w.jobs {
		held = append(held, job)
	}
	return held
}

// watchOpen follows the open jobs of all nodes. It lists them anew after a failure.
func (w *Worker) watchOpen() error {
	revision := int64(0)
	for {
		next, err := w.nextOpen(revision)
		pause := w.Options.WatchPause
		if err != nil {
			w.logStore("watching the open jobs", err)
			next, pause = 0, w.Options.RetryAfter
		}
		revision = next
		if !w.pause(pause) {
			return nil
		}
	}
}

func (w *Worker) nextOpen(revision int64) (int64, error) {
	ctx, cancel := w.call()
	if revision != 0 {
		cancel()
		ctx, cancel = w.callWithin(w.Options.WatchWait + w.Options.CallTimeout)
	}
	defer cancel()
	if revision == 0 {
		open, read, err := w.Records.ListOpen(ctx)
		if err != nil {
			return 0, err
		}
		w.replaceOpen(open)
		return read, nil
	}
	changes, next, err := w.Records.NextOpen(ctx, revision, w.Options.WatchWait)
	if err != nil {
		return 0, err
	}
	for _, change := range changes {
		w.noteOpen(change)
	}
	return next, nil
}

// replaceOpen takes over a whole list.
func (w *Worker) replaceOpen(open []jobrecord.Open) {
	listed := make(map[ident.Job]bool, len(open))
	for _, entry := range open {
		listed[entry.ID] = true
		w.noteOpen(jobrecord.OpenChange{Open: entry})
	}
	w.mutex.Lock()
	var gone []ident.Job
	for id := range w.open {
		if !listed[id] {
			gone = append(gone, id)
		}
	}
	w.mutex.Unlock()
	for _, id := range gone {
		w.noteOpen(jobrecord.OpenChange{Open: jobrecord.Open{ID: id}, Gone: true})
	}
}

// noteOpen takes over one change. A job that is open no more was finished or ended: nothing more of it is run.
func (w *Worker) noteOpen(change jobrecord.OpenChange) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	id := change.Open.ID
	if change.Gone {
		delete(w.open, id)
		if job := w.jobs[id]; job != nil {
			w.drop(job)
			event.JobLeft.Log(w.Logger).Str("job", string(id)).Str("why", "finished or ended").Send()
		}
		return
	}
	if known := w.open[id]; known != nil {
		known.entry = change.Open
		return
	}
	w.open[id] = &openJob{entry: change.Open, seen: w.Now()}
	if change.Open.Zone == w.Zone {
		w.startClaim(w.open[id])
	}
}

// startClaim claims a job in the background. The caller holds the mutex.
func (w *Worker) startClaim(candidate *openJob) {
	if w.lease == 0 || w.draining || candidate.claiming || w.jobs[candidate.entry.ID] != nil {
		return
	}
	candidate.claiming = true
	lease := w.lease
	w.tomb.Go(func() error {
		if err := w.claim(candidate.entry, lease); err != nil {
			w.logStore("claiming job "+string(candidate.entry.ID), err)
		}
		w.mutex.Lock()
		candidate.claiming = false
		w.mutex.Unlock()
		return nil
	})
}

// claim takes a job over from the beginning or from where another node stopped.
func (w *Worker) claim(entry jobrecord.Open, lease kv.LeaseID) error {
	ctx, cancel := w.call()
	defer cancel()
	claim, err := w.Records.Claim(ctx, entry, w.Node, lease)
	if errors.Is(err, jobrecord.ErrClaimLost) {
		return nil
	}
	if err != nil {
		return err
	}
	loaded, results, err := w.Records.Load(ctx, entry.ID)
	if err != nil {
		return fmt.Errorf("loading: %w", err)
	}
	job := newJobRun(claim, loaded)
	job.entry = entry
	job.list(results)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.open[entry.ID] == nil {
		return nil
	}
	w.jobs[entry.ID] = job
	event.JobClaimed.Log(w.Logger).Str("job", string(entry.ID)).Int("items", len(loaded.Header.Items)).Int("listed", len(results)).Send()
	w.startWriter(job)
	return nil
}

// reclaim takes a job again whose claim went, or drops it when another node has it.
func (w *Worker) reclaim(job *jobRun) {
	w.mutex.Lock()
	lease := w.lease
	w.mutex.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := w.call()
	defer cancel()
	claim, err := w.Records.Claim(ctx, job.entry, w.Node, lease)
	if err == nil {
		err = w.catchUp(job, claim)
	}
	switch {
	case errors.Is(err, jobrecord.ErrClaimLost), errors.Is(err, jobrecord.ErrNoSuchJob):
		w.mutex.Lock()
		w.drop(job)
		w.mutex.Unlock()
		event.JobLeft.Log(w.Logger).Str("job", string(job.header.ID)).Str("why", "claimed elsewhere").Send()
	case err != nil:
		w.logStore("claiming job again", err)
	}
}

// catchUp takes over what was listed meanwhile, under the new claim.
func (w *Worker) catchUp(job *jobRun, claim jobrecord.Claim) error {
	ctx, cancel := w.call()
	defer cancel()
	results, err := w.Records.AllResults(ctx, job.header.ID)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	job.claim = claim
	job.list(results)
	return nil
}

// sweepOrphans claims open jobs that no node holds.
func (w *Worker) sweepOrphans() error {
	for w.pause(w.Options.OrphanSweep) {
		if !w.hasForeign() {
			continue
		}
		ctx, cancel := w.call()
		claimed, err := w.Records.Claimed(ctx)
		cancel()
		if err != nil {
			w.logStore("listing claims", err)
			continue
		}
		w.claimOrphans(claimed)
	}
	return nil
}

// hasForeign says whether a job has been open for a while that this node does not run.
func (w *Worker) hasForeign() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for id, candidate := range w.open {
		if w.jobs[id] == nil && w.Now().Sub(candidate.seen) > w.foreignDelay(candidate) {
			return true
		}
	}
	return false
}

func (w *Worker) foreignDelay(candidate *openJob) time.Duration {
	if candidate.entry.Zone == w.Zone {
		return w.Options.ForeignDelay / 2
	}
	return w.Options.ForeignDelay
}

func (w *Worker) claimOrphans(claimed map[ident.Job]bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for id, candidate := range w.open {
		if !claimed[id] && w.Now().Sub(candidate.seen) > w.foreignDelay(candidate) {
			w.startClaim(candidate)
		}
	}
}

func (w *Worker) logStore(doing string, err error) {
	event.JobStoreFailed.Log(w.Logger).Str("doing", doing).Err(err).Send()
}
