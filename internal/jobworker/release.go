package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

// releaseIdleJobs releases jobs that make no progress here, because this node owns no runner for them or reaches none, so
// that another worker can run them.
func (w *Worker) releaseIdleJobs(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.workers) < 2 || w.draining {
		return
	}
	busy := w.anyRunning()
	for _, job := range w.jobs {
		canRun := w.canRun(job.header.Route)
		if job.running > 0 || len(job.log.Waiting()) > 0 || (canRun && busy) || now.Sub(job.progressed) < w.idleLimit(canRun) {
			continue
		}
		if known := w.open[job.header.ID]; known != nil {
			known.notBefore = now.Add(w.Options.ReleaseAfter)
		}
		job.releases = true
		w.leave(job, "no item could be run here")
	}
}

// anyRunning reports whether any item runs. If so, this node reaches its runners, and an idle job waits for its turn. The
// caller must hold the mutex.
func (w *Worker) anyRunning() bool {
	for _, job := range w.jobs {
		if job.running > 0 {
			return true
		}
	}
	return false
}

// idleLimit returns how long a job may be idle, which is shorter if this node owns no runner for it.
func (w *Worker) idleLimit(canRun bool) time.Duration {
	if canRun {
		return w.Options.ReleaseAfter
	}
	return w.Options.ReleaseAfter / 4
}

// release releases a claim. It retries until the outcome is known: a claim without a running job lasts as long as the
// lease.
func (w *Worker) release(claim jobrecord.Claim) {
	for {
		ctx, cancel := w.callContext()
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
