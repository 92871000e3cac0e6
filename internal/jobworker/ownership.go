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

// ownerOf returns the worker that assigns batch items to a runner. The caller must hold the mutex.
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

// setWorkers stores the registered workers. The caller must hold the mutex.
func (w *Worker) setWorkers(workers map[ident.Node]jobrecord.Worker) {
	if maps.Equal(w.workers, workers) {
		return
	}
	w.workers = maps.Clone(workers)
	w.owners, w.ownedAt = nil, time.Time{}
	w.removeLenders(workers)
}

// Registered returns the workers in this node's view.
func (w *Worker) Registered() []jobrecord.Worker {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Collect(maps.Values(w.workers))
}

// ZoneOf returns the zone of the registered worker at an address. It returns false for an unknown address.
func (w *Worker) ZoneOf(address string) (ident.Zone, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, worker := range w.workers {
		if worker.Address == address {
			return worker.Zone, true
		}
	}
	return "", false
}

const (
	// claimDelayFraction of the time that the waiting items will take is how long a node leaves a new job to less busy
	// ones.
	claimDelayFraction = 0.25
	// maxClaimDelay bounds that delay.
	maxClaimDelay = 2 * time.Second
	// maxClaimPosition bounds the position in a job's order of workers.
	maxClaimPosition = 3
)

const (
	// unscaledWorkers is the number of workers up to which each polls the open jobs as often as the options say; more
	// workers poll less often, so that the total number of calls does not grow with them.
	unscaledWorkers = 4
	// maxPollScale bounds the scaling, because the end of a job must be seen in time.
	maxPollScale = 3
)

// pollScale returns the factor by which each of a number of workers pauses longer between two polls of the open jobs, and
// leaves jobs longer to each other.
func pollScale(workers int) float64 {
	return min(max(float64(workers)/unscaledWorkers, 1), maxPollScale)
}

// scaledByWorkers stretches a duration by the number of workers. The caller must hold the mutex.
func (w *Worker) scaledByWorkers(duration time.Duration) time.Duration {
	return time.Duration(pollScale(len(w.workers)) * float64(duration))
}

// claimDelay returns how long a node leaves an unclaimed job to others: a busy node to less busy ones, and each node to
// those before it in the job's order, so that they do not all call the store for the same job. step is the delay between
// two positions.
func claimDelay(waiting, places int, duration time.Duration, position int, step time.Duration) time.Duration {
	wait := duration * time.Duration(waiting) / time.Duration(max(places, 1))
	delay := min(time.Duration(claimDelayFraction*float64(wait)), maxClaimDelay)
	return delay + time.Duration(min(position, maxClaimPosition))*step
}

// claimPosition returns the position of a worker in a job's order of workers. Workers in the zone where the job was
// accepted come first, because traffic between zones costs money; among them each job has a different order (rendezvous
// hashing), which spreads the jobs.
func claimPosition(node ident.Node, workers map[ident.Node]jobrecord.Worker, job ident.Job, zone ident.Zone) int {
	own := claimRank(node, job)
	isSameZone := workers[node].Zone == zone
	position := 0
	for other, worker := range workers {
		otherIsSameZone := worker.Zone == zone
		if other != node && (otherIsSameZone && !isSameZone || otherIsSameZone == isSameZone && claimRank(other, job) > own) {
			position++
		}
	}
	return position
}

func claimRank(node ident.Node, job ident.Job) uint64 {
	return xxhash.Sum64String(string(node) + "/" + string(job))
}
