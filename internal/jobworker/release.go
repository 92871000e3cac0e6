package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/batchcapacity"
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
		services := w.unfinishedServices(job)
		able := w.capabilityFor(services)
		waitsItsTurn := busy || able == ownsMost && !w.othersMayRun(services)
		limit, mayRelease := idleLimit(able, waitsItsTurn, w.Options.ReleaseAfter)
		if !mayRelease || now.Sub(job.progressed) < limit {
			continue
		}
		w.backOff(job, services, now)
		job.releases = true
		w.leave(job, "no item could be run here")
	}
}

// maxBackoffSteps bounds how often the time for which a job is left to others doubles.
const maxBackoffSteps = 3

// backOff leaves a job with unfinished items of some services to other nodes for a time, which doubles each time that nothing of the job
// was run here. The caller must hold the mutex.
func (w *Worker) backOff(job *jobRun, services []string, now time.Time) {
	known := w.open[job.header.ID]
	if known == nil {
		return
	}
	if job.progressed.After(job.started) {
		known.fruitless = 0
	}
	known.leftUntil = now.Add(w.Options.ReleaseAfter << min(known.fruitless, maxBackoffSteps))
	known.lackedSlots = w.idleSlots(services, now) == 0
	known.fruitless++
}

// leavesToOthers reports whether a job is still left to other nodes. hasIdleSlots is whether this node has slots for it that its own items
// leave idle.
func (j *openJob) leavesToOthers(hasIdleSlots bool, now time.Time) bool {
	return now.Before(j.leftUntil) && !(j.lackedSlots && hasIdleSlots)
}

// idleSlots returns how many slots of this node's runners of some services nothing is known to take or to need, by what nodes report and
// without the runners' own reports: they are not read while no job of the services is here. The caller must hold the mutex.
func (w *Worker) idleSlots(services []string, now time.Time) int {
	idle := 0
	for _, service := range services {
		slots, taken, expected := 0, 0, false
		for _, runner := range w.owned(service) {
			if w.unresponsive(runner.ID) {
				continue
			}
			slots += runner.Slots
			taken += min(w.onlineAt(runner.ID, now)+w.batchRunsAt(runner.ID, now)+w.orphanRuns.runsAt(runner.ID, now), runner.Slots)
			expected = expected || w.gaugeOf(runner.ID).gauge.ExpectsOnline(now)
		}
		if expected {
			taken += batchcapacity.OwnerReserve(slots)
		}
		idle += max(slots-taken, 0)
	}
	return idle
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
// better. waitsItsTurn means that the node reaches its runners, as it runs other items, or that no other one owns any.
func idleLimit(able capability, waitsItsTurn bool, after time.Duration) (limit time.Duration, mayRelease bool) {
	switch able {
	case noRunner:
		return 0, false
	case ownsMost:
		return after, !waitsItsTurn
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
