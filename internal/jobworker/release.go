package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

// releaseIdleJobs releases jobs that make no progress here although another node may be able to run them: it owns runners for what is
// left, or this node reaches none of its own.
func (w *Worker) releaseIdleJobs(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.workers) < 2 || w.draining {
		return
	}
	busy := w.anyRunning()
	for _, job := range w.jobs {
		if job.running > 0 || len(job.log.Waiting()) > 0 || now.Sub(job.progressed) < shortIdleLimit(w.Options.ReleaseAfter) || job.onlyPaced(now) {
			continue
		}
		limit, mayRelease := idleLimit(w.capabilityFor(w.unfinishedServices(job)), busy, w.Options.ReleaseAfter)
		if !mayRelease || now.Sub(job.progressed) < limit {
			continue
		}
		w.backOff(job, now)
		job.releases = true
		w.leave(job, "no item could be run here")
	}
}

// maxBackoffSteps bounds how often the time for which a job is left to others doubles.
const maxBackoffSteps = 3

// backOff leaves a job to other nodes for a time, which doubles each time that nothing of the job was run here. The caller must hold the
// mutex.
func (w *Worker) backOff(job *jobRun, now time.Time) {
	known := w.open[job.header.ID]
	if known == nil {
		return
	}
	if job.progressed.After(job.started) {
		known.fruitless = 0
	}
	known.notBefore = now.Add(w.Options.ReleaseAfter << min(known.fruitless, maxBackoffSteps))
	known.fruitless++
}

// onlyPaced reports whether each item without a result waits for its turn because runners crashed under it: that is no lack of runners.
func (j *jobRun) onlyPaced(now time.Time) bool {
	paced := 0
	for _, item := range j.items {
		switch {
		case item.finished:
		case item.onTrial && now.Before(item.notBefore):
			paced++
		default:
			return false
		}
	}
	return paced > 0
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

// idleLimit returns how long a job may be idle at a node with a capability for what is left of it, and false if no other node could do
// better. A node that runs other items reaches its runners: the job waits for its turn.
func idleLimit(able capability, busy bool, after time.Duration) (limit time.Duration, mayRelease bool) {
	switch able {
	case noRunner:
		return 0, false
	case ownsMost:
		return after, !busy
	}
	return shortIdleLimit(after), true
}

// shortIdleLimit is how long a job may be idle at a node while another one owns more of the runners for what is left.
func shortIdleLimit(after time.Duration) time.Duration { return after / 4 }

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
