package jobworker

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/resultlog"
)

// reconcile applies the live state of the open jobs to what this node runs. A job that is no longer open has finished or
// ended, and nothing more of it is run.
func (w *Worker) reconcile() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.Now()
	w.reconciled, w.liveRevision = now, w.live.Revision
	w.setWorkers(w.live.Workers)
	_, listed := w.live.Workers[w.Node]
	w.registrationGone = !listed && w.live.Revision >= w.registered
	w.updateAccount(now)
	for id, entry := range w.live.Open {
		state := w.open[id]
		if state == nil {
			state = &openJob{unclaimed: now}
			w.open[id] = state
		}
		state.entry = entry
		claimed := w.claimedElsewhere(id)
		if state.claimed && !claimed {
			state.unclaimed = now
			if w.outage.recent(w.Options.HolderGrace, w.Options.OutageAfter, now) {
				// The holder renews its lease as soon as the store answers, and has the results made in the meantime.
				state.notBefore = now.Add(w.Options.HolderGrace)
			}
		}
		state.claimed, state.holder = claimed, w.live.Claimed[id]
		w.updateOwnClaim(state)
	}
	for id, state := range w.open {
		if _, isOpen := w.live.Open[id]; isOpen || state.entry.Revision > w.live.Revision {
			// An assigned job may be newer than the live state.
			continue
		}
		delete(w.open, id)
		if state.holder != "" {
			w.pastHolders.add(id, state.holder, now)
		}
		w.account.ledger.Unlist(id, now)
		if job := w.jobs[id]; job != nil {
			w.leaveEnded(job)
		}
	}
	w.doubtClaims()
	w.claimDueJobs(now)
}

// leaveEnded stops running a job that is no longer open. If the call that closes it is in flight, its answer decides first. The caller
// must hold the mutex.
func (w *Worker) leaveEnded(job *jobRun) {
	if job.log.Closing() {
		job.ended = true
		return
	}
	w.leave(job, "finished or ended")
}

// doubtClaims has the jobs claimed again whose claims the live state no longer has: a late release was done, or the lease lapsed while
// another node may have claimed the job. The caller must hold the mutex.
func (w *Worker) doubtClaims() {
	for id, job := range w.jobs {
		revision := job.log.Holding().Claim.Revision
		if w.live.Revision < revision || w.live.Claimed[id] == w.Node {
			continue
		}
		job.log.Doubt(revision)
		job.signal()
	}
}

// updateOwnClaim records whether the claim of a job is this node's although the job does not run here. The caller must hold
// the mutex.
func (w *Worker) updateOwnClaim(state *openJob) {
	id := state.entry.ID
	before := state.ownClaim
	state.ownClaim = w.live.Claimed[id] == w.Node && !state.claimed
	if state.ownClaim && !before && !w.holders[id] {
		event.ClaimUnserved.Log(w.Logger).Str("job", string(id)).Int64("lease", int64(w.lease)).Send()
	}
}

// logClaim logs a claim of this node.
func (w *Worker) logClaim(claim jobrecord.Claim, lease kv.LeaseID) {
	event.ClaimWritten.Log(w.Logger).Str("job", string(claim.Job)).Str("worker", string(w.Node)).Int64("lease", int64(lease)).
		Int64("revision", claim.Revision).Send()
}

// claimedElsewhere reports whether a claim keeps this node from a job. If the claim is this node's own but the job does
// not run here, the claim comes from a call whose answer was lost or from before a restart. The job is then claimed again,
// because no other node can. The caller must hold the mutex.
func (w *Worker) claimedElsewhere(id ident.Job) bool {
	holder, claimed := w.live.Claimed[id]
	return claimed && (holder != w.Node || w.jobs[id] != nil)
}

// claimDueJobs claims the unclaimed jobs whose delay is over. While renewals of the lease fail it claims none: a claim
// would fail as well, or depend on a lease that is about to expire. The caller must hold the mutex.
func (w *Worker) claimDueJobs(now time.Time) {
	if !w.outage.failingSince.IsZero() {
		return
	}
	candidates := w.candidates(now)
	if len(candidates) == 0 {
		return
	}
	waiting, ownedSlots, step := len(w.waiting(now)), w.ownedSlots(now), w.scaledByWorkers(w.Options.ClaimStep)
	overBudget := map[ident.Tenant]bool{}
	for _, candidate := range candidates {
		if overBudget[candidate.entry.Tenant] {
			continue
		}
		delay := candidate.leftToOthers + claimDelay(waiting, ownedSlots, w.duration, w.claimPosition(candidate), step)
		if candidate.ownClaim {
			delay = ownClaimDelay
		}
		if now.Sub(candidate.unclaimed) < delay {
			continue
		}
		err := w.startClaim(candidate)
		if err == nil {
			waiting += assumedItems
			continue
		}
		overBudget[candidate.entry.Tenant] = true
		if !errors.Is(err, memorybudget.ErrOwnerLimit) && now.Sub(candidate.unclaimed) > delay+overtakingPeriod {
			return
		}
	}
}

// candidates returns the jobs that this node may claim now, oldest first. Of the jobs that were left to others for want of slots it returns
// one at a time, so that no more of them are claimed than there are slots. The caller must hold the mutex.
func (w *Worker) candidates(now time.Time) []*openJob {
	if w.lease == 0 || w.draining {
		return nil
	}
	var candidates []*openJob
	var comesBack *openJob
	round := claimRound{}
	for _, candidate := range w.open {
		if candidate.claimed || w.holders[candidate.entry.ID] || now.Before(candidate.notBefore) {
			continue
		}
		route := w.claimRoute(candidate.entry.Route, round, now)
		switch {
		case candidate.leavesToOthers(route.hasIdleSlots, now):
			continue
		case candidate.ownClaim:
			// A claim of this node keeps all other nodes from the job. It is taken up even if the job cannot run here; the job
			// is then released with the idle ones.
		case !route.mayClaim:
			continue
		case candidate.leavesToOthers(false, now):
			if comesBack == nil || candidate.entry.Revision < comesBack.entry.Revision {
				comesBack = candidate
			}
			continue
		}
		candidate.leftToOthers = route.delay
		candidates = append(candidates, candidate)
	}
	if comesBack != nil {
		candidates = append(candidates, comesBack)
	}
	slices.SortFunc(candidates, func(first, second *openJob) int {
		return cmp.Compare(first.entry.Revision, second.entry.Revision)
	})
	return candidates
}

// claimRoute is what a route's jobs have in common in one round of claims.
type claimRoute struct {
	// delay is how long this node leaves unclaimed jobs to nodes that can run them better. mayClaim is false if it claims none.
	delay    time.Duration
	mayClaim bool
	// hasIdleSlots means that this node has idle slots of the route's services which the items that wait here for them do not need.
	hasIdleSlots bool
}

// claimRound holds the routes that were looked up in one round.
type claimRound map[string]claimRoute

// claimRoute looks a route up. The caller must hold the mutex.
func (w *Worker) claimRoute(name string, round claimRound, now time.Time) claimRoute {
	route, found := round[name]
	if found {
		return route
	}
	if services, known := w.routeServices(name); known {
		route.delay, route.mayClaim = claimDelayFor(w.capabilityFor(services), w.scaledByWorkers(w.Options.ClaimStep), w.Options.ReleaseAfter)
		waiting := 0
		for _, service := range services {
			waiting += w.found.waitingFor[service]
		}
		route.hasIdleSlots = route.mayClaim && w.idleSlots(services, now) > waiting
	}
	round[name] = route
	return route
}

// ownClaimDelay is how long a claim of this node without a running job is left alone, because the node that accepted the
// job with the claim is about to assign it.
const ownClaimDelay = 250 * time.Millisecond

// claimPosition returns this node's position in a job's order of workers. The caller must hold the mutex.
func (w *Worker) claimPosition(candidate *openJob) int {
	return claimPosition(w.Node, w.workers, candidate.entry.ID, candidate.entry.Zone)
}

// assumedItems is the number of items that a job being claimed is assumed to add before it is read.
const assumedItems = 10

// startClaim claims a candidate in the background. The error wraps memorybudget.ErrBudgetExceeded if there is no memory for the job.
// The caller must hold the mutex.
func (w *Worker) startClaim(candidate *openJob) error {
	reservation, overBudget := w.reserve(candidate.entry, w.Now())
	if overBudget != nil && !candidate.ownClaim {
		return overBudget
	}
	// The claim continues without the mutex while live updates replace the entry, so it gets a copy.
	entry, lease := candidate.entry, w.lease
	w.startHolder(entry.ID, func() {
		if overBudget != nil {
			w.recordClaimTry(candidate, w.releaseUnserved(entry, lease))
			return
		}
		job, err := w.claim(entry, lease, reservation)
		w.recordClaimTry(candidate, err)
		if job != nil {
			w.hold(job)
		}
	})
	return overBudget
}

// recordClaimTry records that a job was tried to be claimed. If it does not run here, it is not tried again at once.
func (w *Worker) recordClaimTry(candidate *openJob, err error) {
	if err != nil {
		w.logStore("claiming job "+string(candidate.entry.ID), err)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	candidate.notBefore = w.Now().Add(w.Options.RetryAfter)
}

// releaseUnserved releases a claim of this node that it has no memory to serve, so that another node may take the job.
func (w *Worker) releaseUnserved(entry jobrecord.Open, lease kv.LeaseID) error {
	ctx, cancel := w.callContext()
	defer cancel()
	claim, err := w.Records.Claim(ctx, entry, w.Node, lease)
	if errors.Is(err, jobrecord.ErrClaimLost) {
		return nil
	}
	if err != nil {
		return err
	}
	event.JobLeft.Log(w.Logger).Str("job", string(entry.ID)).Str("why", "not enough memory for the job").Send()
	w.release(claim)
	return nil
}

// claim takes a job over from the beginning or from where another node stopped. It returns nil if the job does not run here; the memory
// reservation is then released.
func (w *Worker) claim(entry jobrecord.Open, lease kv.LeaseID, reservation *memorybudget.Held) (*jobRun, error) {
	ctx, cancel := w.callContext()
	defer cancel()
	claim, err := w.Records.Claim(ctx, entry, w.Node, lease)
	if errors.Is(err, jobrecord.ErrClaimLost) {
		reservation.Release()
		return nil, nil
	}
	if err != nil {
		reservation.Release()
		return nil, err
	}
	w.logClaim(claim, lease)
	job, err := w.startJob(ctx, claimedJob{
		entry: entry, holding: resultlog.Holding{Claim: claim, Lease: lease}, reservation: reservation,
	})
	if err != nil {
		return nil, fmt.Errorf("loading job: %w", err)
	}
	return job, nil
}

func (w *Worker) logStore(doing string, err error) {
	event.JobStoreFailed.Log(w.Logger).Str("doing", doing).Err(err).Send()
}
