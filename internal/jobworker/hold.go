package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/resultlog"
	"mallowlatch.example/mallowlatch/internal/work"
)

// maxReclaims is how many jobs a worker claims again at the same time. After an outage all workers do so for all their jobs, and the
// store bounds the rate of all together.
const maxReclaims = 4

// startHolder starts the goroutine of a job that makes all calls of the store about it: it claims the job, reads it, records its results,
// and releases the claim. No second one may be started before it has ended. The caller must hold the mutex.
func (w *Worker) startHolder(id ident.Job, hold func()) {
	if w.holders == nil {
		w.holders = map[ident.Job]bool{}
	}
	w.holders[id] = true
	w.tomb.Go(func() error {
		hold()
		w.mutex.Lock()
		defer w.mutex.Unlock()
		delete(w.holders, id)
		return nil
	})
}

// hold records the results of a job that runs here, until it no longer does. It returns as well when the worker stops.
func (w *Worker) hold(job *jobRun) {
	for w.awaitResults(job) {
		if left := w.flush(job); left {
			w.releaseLeft(job)
			return
		}
	}
}

// awaitResults waits until a job has something to record, and enough of it or for long enough. It returns false when the worker stops.
func (w *Worker) awaitResults(job *jobRun) bool {
	select {
	case <-w.tomb.Dying():
		return false
	case <-job.wake:
	}
	timer := time.NewTimer(w.Options.RecordDelay)
	defer timer.Stop()
	for !w.shouldFlush(job) {
		select {
		case <-w.tomb.Dying():
			return false
		case <-timer.C:
			return true
		case <-job.wake:
		}
	}
	return true
}

// shouldFlush reports whether a job's holder is to act at once: no more results can come or fit, the job is almost due, must be claimed
// again, or is left.
func (w *Worker) shouldFlush(job *jobRun) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	waiting := len(job.log.Waiting())
	if job.dropped || w.draining || waiting == 0 || waiting >= w.Records.MaximumAppended(job.header) || job.log.MustReclaim(w.lease) {
		return true
	}
	if job.log.Recorded()+waiting == len(job.items) {
		return true
	}
	untilDue := w.due(job.items[0]).Sub(w.Now())
	return untilDue.Abs() < 2*w.Options.RecordDelay
}

// flush makes the calls that are due for a job, one after the other. It returns true if this node no longer runs the job.
func (w *Worker) flush(job *jobRun) bool {
	for {
		call, due, left := w.nextCall(job)
		if left || !due {
			return left
		}
		err := w.perform(job, call)
		if err != nil && !w.waitForStore() {
			return false
		}
	}
}

// nextCall begins the next call about a job, if one is due. left means that this node no longer runs the job.
func (w *Worker) nextCall(job *jobRun) (call resultlog.Call, due, left bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case job.dropped:
	case job.log.Lost():
		w.leave(job, "claimed by another node")
	case job.ended:
		w.leave(job, "finished or ended")
	default:
		call, due = job.log.Next(w.lease, w.Records.MaximumAppended(job.header))
	}
	return call, due, job.dropped
}

// perform makes a call of a job and applies its answer.
func (w *Worker) perform(job *jobRun, call resultlog.Call) error {
	if call.Kind == resultlog.Reclaim {
		return w.reclaim(job, call)
	}
	return w.record(job, call)
}

// record writes results.
func (w *Worker) record(job *jobRun, call resultlog.Call) error {
	ctx, cancel := w.callContext()
	defer cancel()
	w.mutex.Lock()
	remaining := job.remainingTokens(call.Results)
	w.mutex.Unlock()
	err := w.Records.Append(ctx, call.Claim, job.header, call.Position, call.Results, remaining, call.Finishes)
	if err != nil {
		w.logStore("recording results of job "+string(job.header.ID), err)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	closed := job.log.Appended(err)
	if err != nil || job.dropped {
		return err
	}
	job.progressed = w.Now()
	job.signalChanged()
	if closed {
		w.closeJob(job)
	}
	return nil
}

// closeJob leaves a job whose last result is recorded. The caller must hold the mutex.
func (w *Worker) closeJob(job *jobRun) {
	w.leave(job, "all results are recorded")
	if job.log.Whole() {
		w.finished.add(w.Budget, job, w.Now())
	}
	delete(w.open, job.header.ID)
	w.account.ledger.Unlist(job.header.ID, w.Now())
}

// reclaim claims a job again and reads the results recorded in the meantime.
func (w *Worker) reclaim(job *jobRun, call resultlog.Call) error {
	w.reclaims <- struct{}{}
	defer func() { <-w.reclaims }()
	claim, results, err := w.claimAgain(job, call)
	if err != nil {
		w.logStore("claiming job "+string(job.header.ID)+" again", err)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	reclaimed := job.log.Reclaimed(claim, results, err)
	if !reclaimed || job.dropped {
		return err
	}
	job.markFinished(results)
	job.signalChanged()
	return nil
}

func (w *Worker) claimAgain(job *jobRun, call resultlog.Call) (jobrecord.Claim, []work.Result, error) {
	ctx, cancel := w.callContext()
	defer cancel()
	claim, err := w.Records.Claim(ctx, job.entry, w.Node, call.Lease)
	if err != nil {
		return jobrecord.Claim{}, nil, err
	}
	w.logClaim(claim, call.Lease)
	reading, end := w.callContext()
	defer end()
	results, err := w.Records.AllResults(reading, job.header.ID)
	return claim, results, err
}

// leave stops running a job. The caller must hold the mutex.
func (w *Worker) leave(job *jobRun, why string) {
	if job.dropped {
		return
	}
	job.dropped = true
	for _, item := range job.items {
		if item.cancel != nil {
			item.cancel()
		}
	}
	delete(w.jobs, job.header.ID)
	job.reservation.Release()
	job.signal()
	job.signalChanged()
	event.JobLeft.Log(w.Logger).Str("job", string(job.header.ID)).Str("why", why).Int("items", len(job.items)).
		Int("recorded", job.log.Recorded()).Int("waiting", len(job.log.Waiting())).Send()
}

// releaseLeft releases the claim of a job that was left for other workers.
func (w *Worker) releaseLeft(job *jobRun) {
	w.mutex.Lock()
	releases, claim := job.releases, job.log.Holding().Claim
	w.mutex.Unlock()
	if releases {
		w.release(claim)
	}
}
