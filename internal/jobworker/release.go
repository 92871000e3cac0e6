package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

// releaseResting gives up jobs that rest here, so that they do not lie while another worker could run them: this node
// owns no runner for them, or reaches none.
func (w *Worker) releaseResting(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.workers) < 2 || w.draining {
		return
	}
	busy := w.anyRunning()
	for _, job := range w.jobs {
		canRun := w.canRun(job.header.Route)
		if job.running > 0 || len(job.unlisted) > 0 || (canRun && busy) || now.Sub(job.progressed) < w.restFor(canRun) {
			continue
		}
		if known := w.open[job.header.ID]; known != nil {
			known.notBefore = now.Add(w.Options.ReleaseAfter)
		}
		w.drop(job)
		event.JobLeft.Log(w.Logger).Str("job", string(job.header.ID)).Str("why", "nothing of it could be run here").Send()
		claim := job.claim
		w.tomb.Go(func() error { w.release(claim); return nil })
	}
}

// anyRunning says whether any item runs: then this node reaches its runners, and a job that rests waits for its turn.
// The caller holds the mutex.
func (w *Worker) anyRunning() bool {
	for _, job := range w.jobs {
		if job.running > 0 {
			return true
		}
	}
	return false
}

// restFor is how long a job may rest: less where this node owns no runner for it.
func (w *Worker) restFor(canRun bool) time.Duration {
	if canRun {
		return w.Options.ReleaseAfter
	}
	return w.Options.ReleaseAfter / 4
}

// release gives a claim up. It tries until it knows the outcome: a claim that nobody serves lives as long as the lease.
func (w *Worker) release(claim jobrecord.Claim) {
	for {
		ctx, cancel := w.call()
		err := w.Records.Release(ctx, claim)
		cancel()
		if err == nil {
			return
		}
		w.logStore("releasing job "+string(claim.Job), err)
		if !w.pause(w.Options.RetryAfter) {
			return
		}
	}
}
