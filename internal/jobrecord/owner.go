package jobrecord

import (
	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Owner returns the worker that assigns batch items to a runner, chosen by rendezvous hashing among the workers of the runner's zone, or
// among all workers if the zone has none. A single owner prevents two workers from filling the same slots and from preempting batch runs
// for the same request. It is a convention and not a lock: while workers join or leave, two may act as owner, which costs some restarts
// of items. It returns false if there is no worker.
func Owner(runner work.Runner, workers []Worker) (Worker, bool) {
	var sameZone, overall candidate
	for _, worker := range workers {
		rank := xxhash.Sum64String(string(worker.Node) + "/" + string(runner.ID))
		overall = overall.better(worker, rank)
		if worker.Zone == runner.Zone {
			sameZone = sameZone.better(worker, rank)
		}
	}
	if sameZone.worker.Node != "" {
		return sameZone.worker, true
	}
	return overall.worker, overall.worker.Node != ""
}

// OwnerOf is like Owner for workers by node. It returns an empty node if there is no worker.
func OwnerOf(runner work.Runner, workers map[ident.Node]Worker) ident.Node {
	listed := make([]Worker, 0, len(workers))
	for node, worker := range workers {
		worker.Node = node
		listed = append(listed, worker)
	}
	found, _ := Owner(runner, listed)
	return found.Node
}

// candidate is the worker with the highest rank so far.
type candidate struct {
	worker Worker
	rank   uint64
}

// better returns the candidate with the higher rank; of equal ranks, the one with the lower node name.
func (c candidate) better(worker Worker, rank uint64) candidate {
	if c.worker.Node == "" || rank > c.rank || (rank == c.rank && worker.Node < c.worker.Node) {
		return candidate{worker: worker, rank: rank}
	}
	return c
}
