package jobworker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/work"
)

// ownedRunners are the runners that this node owns, as of a state of the runners and of the workers.
type ownedRunners struct {
	table, workers uint64
	all            []work.Runner
	// fingerprint is the sum of the fingerprints of all.
	fingerprint uint32
	// ready holds the ready ones of each service, ordered by id.
	ready map[string][]work.Runner
}

// ownerOf returns the worker that assigns batch items to a runner. The caller must hold the mutex.
func (w *Worker) ownerOf(runner work.Runner) ident.Node {
	owner, _ := w.ownersOfRunners().Owner(runner)
	return owner.Node
}

// ownersOfRunners returns the owners among the registered workers. The caller must hold the mutex.
func (w *Worker) ownersOfRunners() *jobrecord.Owners {
	if w.owners == nil {
		w.owners = jobrecord.NewOwners(w.workers)
	}
	return w.owners
}

// owns reports whether this node assigns the batch slots of a runner. The caller must hold the mutex.
func (w *Worker) owns(runner work.Runner) bool { return w.ownerOf(runner) == w.Node }

// allOwned returns the runners of all services that this node owns. The caller must hold the mutex, and must not change the
// list.
func (w *Worker) allOwned() []work.Runner { return w.ownedNow().all }

// owned returns the runners of a service to which this node assigns batch items, ordered by id. The caller must hold the
// mutex, and must not change the list.
func (w *Worker) owned(service string) []work.Runner { return w.ownedNow().ready[service] }

// ownedNow returns the owned runners, and chooses them anew if the runners or the workers changed. The caller must hold the
// mutex.
func (w *Worker) ownedNow() *ownedRunners {
	owners := w.ownersOfRunners()
	table, workers := w.Runners.Generation(), owners.Generation()
	if w.ownedRunners != nil && w.ownedRunners.table == table && w.ownedRunners.workers == workers {
		return w.ownedRunners
	}
	w.ownedRunners = &ownedRunners{table: table, workers: workers, ready: map[string][]work.Runner{}}
	for _, zone := range w.Runners.Zones() {
		if !owners.MayOwn(w.Node, zone) {
			continue
		}
		runners := w.Runners.InZone(zone)
		owners.Trim(zone, len(runners))
		w.ownedRunners.add(runners, w.owns)
	}
	return w.ownedRunners
}

// add adds those of the given runners that are owned.
func (o *ownedRunners) add(runners []work.Runner, owns func(work.Runner) bool) {
	for _, runner := range runners {
		if !owns(runner) {
			continue
		}
		o.all = append(o.all, runner)
		o.fingerprint += demand.RunnerFingerprint(runner.ID)
		if runner.State == work.Ready {
			o.ready[runner.Service] = append(o.ready[runner.Service], runner)
		}
	}
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
