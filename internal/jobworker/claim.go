package jobworker

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/heldbytes"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/work"
)

// takeOver compares the live state with what this node runs. A job that is open no more was finished or ended: nothing
// more of it is run.
func (w *Worker) takeOver() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.Now()
	w.follow(w.live.Workers)
	_, listed := w.live.Workers[w.Node]
	w.unlisted = !listed && w.live.Revision >= w.registered
	w.followRoom(now)
	for id, entry := range w.live.Open {
		known := w.open[id]
		if known == nil {
			known = &openJob{unclaimed: now}
			w.open[id] = known
		}
		known.entry = entry
		claimed := w.claimedElsewhere(id)
		if known.claimed && !claimed {
			known.unclaimed = now
			if w.outage.justEnded(w.Options.HolderGrace, w.Options.OutageAfter, now) {
				// Its holder renews its lease as soon as the store answers, and has what it made since.
				known.notBefore = now.Add(w.Options.HolderGrace)
			}
		}
		known.claimed = claimed
		known.own = w.live.Claimed[id] == w.Node && !claimed
	}
	for id, known := range w.open {
		if _, isOpen := w.live.Open[id]; isOpen || known.entry.Revision > w.live.Revision {
			// One that was assigned may be newer than what is followed.
			continue
		}
		delete(w.open, id)
		w.account.ledger.Unlist(id, now)
		if job := w.jobs[id]; job != nil {
			w.drop(job)
			event.JobLeft.Log(w.Logger).Str("job", string(id)).Str("why", "finished or ended").Send()
		}
	}
	w.claimDue(now)
}

// claimedElsewhere says whether a claim keeps this node from a job. A claim of its own of which it does not run the job
// comes from a call whose answer was lost, or from before a restart: it is claimed again, because nobody else can. The
// caller holds the mutex.
func (w *Worker) claimedElsewhere(id ident.Job) bool {
	holder, claimed := w.live.Claimed[id]
	return claimed && (holder != w.Node || w.jobs[id] != nil)
}

// claimDue claims the unclaimed jobs whose delay is over. While the renewals of the lease fail it claims none: a claim would fail as well,
// or hang on a lease that is about to lapse. The caller holds the mutex.
func (w *Worker) claimDue(now time.Time) {
	if !w.outage.failingSince.IsZero() {
		return
	}
	candidates := w.candidates(now)
	if len(candidates) == 0 {
		return
	}
	waiting, places := len(w.waiting(now)), w.places(now)
	noRoom := map[ident.Tenant]bool{}
	for _, candidate := range candidates {
		if noRoom[candidate.entry.Tenant] {
			continue
		}
		delay := claimDelay(waiting, places, w.duration, w.claimTurn(candidate), w.crowded(w.Options.ClaimStep))
		if candidate.own {
			delay = ownClaimDelay
		}
		if now.Sub(candidate.unclaimed) < delay {
			continue
		}
		err := w.startClaim(candidate)
		if err == nil {
			waiting += expectedItems
			continue
		}
		noRoom[candidate.entry.Tenant] = true
		if !errors.Is(err, heldbytes.ErrShare) && now.Sub(candidate.unclaimed) > delay+overtakenFor {
			return
		}
	}
}

// candidates returns the jobs that this node may claim now, the oldest first. The caller holds the mutex.
func (w *Worker) candidates(now time.Time) []*openJob {
	if w.lease == 0 || w.draining {
		return nil
	}
	var candidates []*openJob
	canRun := map[string]bool{}
	for _, candidate := range w.open {
		if candidate.claimed || candidate.claiming || w.jobs[candidate.entry.ID] != nil || now.Before(candidate.notBefore) {
			continue
		}
		// A claim of this node's own keeps all others from the job: it is taken up also where the job can't be run here, and
		// released with what rests.
		route := candidate.entry.Route
		if _, known := canRun[route]; !known && !candidate.own {
			canRun[route] = w.canRun(route)
		}
		if candidate.own || canRun[route] {
			candidates = append(candidates, candidate)
		}
	}
	slices.SortFunc(candidates, func(first, second *openJob) int {
		return cmp.Compare(first.entry.Revision, second.entry.Revision)
	})
	return candidates
}

// ownClaimDelay is how long a claim of this node that it does not serve is left alone: whoever accepted the job with the
// claim is about to tell of it.
const ownClaimDelay = 250 * time.Millisecond

// claimTurn is this node's position among the workers for a job. The caller holds the mutex.
func (w *Worker) claimTurn(candidate *openJob) int {
	return claimTurn(w.Node, w.workers, candidate.entry.ID, candidate.entry.Zone)
}

// expectedItems is what a job that is being claimed is thought to add before it is read.
const expectedItems = 10

// startClaim claims a candidate in the background. The error wraps heldbytes.ErrOver where there is no room for the job. The caller
// holds the mutex.
func (w *Worker) startClaim(candidate *openJob) error {
	held, noRoom := w.reserve(candidate.entry, w.Now())
	if noRoom != nil && !candidate.own {
		return noRoom
	}
	candidate.claiming = true
	// The claim goes on without the mutex, while what is followed replaces the entry: it gets a copy.
	entry, lease := candidate.entry, w.lease
	w.tomb.Go(func() error {
		if err := w.claimOrGiveBack(entry, lease, held, noRoom); err != nil {
			w.logStore("claiming job "+string(entry.ID), err)
		}
		w.mutex.Lock()
		candidate.claiming = false
		candidate.notBefore = w.Now().Add(w.Options.RetryAfter)
		w.mutex.Unlock()
		return nil
	})
	return noRoom
}

// claimOrGiveBack takes a job over, or gives up the claim that this node has of it where there is no room.
func (w *Worker) claimOrGiveBack(entry jobrecord.Open, lease kv.LeaseID, held *heldbytes.Held, noRoom error) error {
	if noRoom != nil {
		return w.giveBack(entry, lease)
	}
	return w.claim(entry, lease, held)
}

// giveBack gives up a claim of this node that it has no room to serve, so that another one may take the job.
func (w *Worker) giveBack(entry jobrecord.Open, lease kv.LeaseID) error {
	ctx, cancel := w.call()
	defer cancel()
	claim, err := w.Records.Claim(ctx, entry, w.Node, lease)
	if errors.Is(err, jobrecord.ErrClaimLost) {
		return nil
	}
	if err != nil {
		return err
	}
	event.JobLeft.Log(w.Logger).Str("job", string(entry.ID)).Str("why", "there is no room for it").Send()
	w.release(claim)
	return nil
}

// canRun says whether this node owns a runner for the route's items. Without any it must not hold their job. A route
// that is gone needs no runner: its items are given up. The caller holds the mutex.
func (w *Worker) canRun(name string) bool {
	catalog := w.Routes.Catalog()
	if catalog == nil {
		return false
	}
	for index := range catalog.Routes {
		route := &catalog.Routes[index]
		if route.Name == name && !w.ownsFor(route) {
			return false
		}
	}
	return true
}

// ownsFor says whether this node owns a runner of each part of a route. The caller holds the mutex.
func (w *Worker) ownsFor(route *work.Route) bool {
	for _, part := range route.Split {
		if len(w.owned(part.Service)) == 0 {
			return false
		}
	}
	return true
}

// claim takes a job over from the beginning or from where another node stopped. What is held for it is released where that fails.
func (w *Worker) claim(entry jobrecord.Open, lease kv.LeaseID, held *heldbytes.Held) error {
	ctx, cancel := w.call()
	defer cancel()
	claim, err := w.Records.Claim(ctx, entry, w.Node, lease)
	if errors.Is(err, jobrecord.ErrClaimLost) {
		held.Release()
		return nil
	}
	if err != nil {
		held.Release()
		return err
	}
	if err := w.begin(ctx, beginning{entry: entry, claim: claim, held: held}); err != nil {
		return fmt.Errorf("loading: %w", err)
	}
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

func (w *Worker) logStore(doing string, err error) {
	event.JobStoreFailed.Log(w.Logger).Str("doing", doing).Err(err).Send()
}
