package jobworker

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/work"
)

// ownerOf returns the worker that gives batch items to a runner. The caller holds the mutex.
func (w *Worker) ownerOf(runner work.Runner) ident.Node {
	owner, known := w.owners[runner.ID]
	if known {
		return owner
	}
	if w.owners == nil {
		w.owners = map[ident.Incarnation]ident.Node{}
	}
	owner = jobrecord.OwnerOf(runner, w.workers)
	w.owners[runner.ID] = owner
	return owner
}

// follow takes over the workers that are registered. The caller holds the mutex.
func (w *Worker) follow(workers map[ident.Node]jobrecord.Worker) {
	if maps.Equal(w.workers, workers) {
		return
	}
	w.workers = maps.Clone(workers)
	w.owners, w.ownedAt = nil, time.Time{}
	w.forgetLenders(workers)
}

// Registered returns the workers as this node last saw them.
func (w *Worker) Registered() []jobrecord.Worker {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Collect(maps.Values(w.workers))
}

const (
	// claimShare of the time the waiting items will take is how long a node leaves a new job to idler ones.
	claimShare = 0.25
	// longestClaimDelay bounds that.
	longestClaimDelay = 2 * time.Second
	// lastClaimTurn bounds the turns of a job's workers.
	lastClaimTurn = 3
)

const (
	// fewWorkers follow the open jobs as often as the options say; more of them follow less often, so that the calls of all
	// together do not rise with their number.
	fewWorkers = 4
	// mostCrowding bounds how much less often: the end of a job must be seen in time.
	mostCrowding = 3
)

// crowding is the factor by which a number of workers pauses longer between two looks at the open jobs, and leaves jobs
// longer to each other.
func crowding(workers int) float64 {
	return min(max(float64(workers)/fewWorkers, 1), mostCrowding)
}

// crowded stretches a duration by the number of workers. The caller holds the mutex.
func (w *Worker) crowded(duration time.Duration) time.Duration {
	return time.Duration(crowding(len(w.workers)) * float64(duration))
}

// claimDelay is how long a node leaves an unclaimed job to others: a busy one to idler ones, and one whose turn is later
// to those before it, so that they do not all call the store for the same job. step parts two turns.
func claimDelay(waiting, places int, duration time.Duration, turn int, step time.Duration) time.Duration {
	wait := duration * time.Duration(waiting) / time.Duration(max(places, 1))
	delay := min(time.Duration(claimShare*float64(wait)), longestClaimDelay)
	return delay + time.Duration(min(turn, lastClaimTurn))*step
}

// claimTurn is the position of a worker in a job's order of workers: those of the zone where the job was accepted come
// first, because bytes between zones have their price; among them each job has an order of its own (rendezvous
// hashing), so that the jobs spread.
func claimTurn(node ident.Node, workers map[ident.Node]jobrecord.Worker, job ident.Job, zone ident.Zone) int {
	own := claimRank(node, job)
	isNear := workers[node].Zone == zone
	turn := 0
	for other, worker := range workers {
		near := worker.Zone == zone
		if other != node && (near && !isNear || near == isNear && claimRank(other, job) > own) {
			turn++
		}
	}
	return turn
}

func claimRank(node ident.Node, job ident.Job) uint64 {
	return xxhash.Sum64String(string(node) + "/" + string(job))
}
