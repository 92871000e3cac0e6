package jobworker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/work"
)

// owner returns the worker that gives batch items to a runner: one of the runner's zone, or of all where the zone has
// none. One owner at a time keeps two workers from filling the same places, and from both stepping aside for the same
// request. It is a convention and not a lock: while workers come and go two may act, which costs some restarts.
func owner(runner work.Runner, workers map[ident.Node]jobrecord.Worker) ident.Node {
	var near, any candidate
	for node, worker := range workers {
		rank := xxhash.Sum64String(string(node) + "/" + string(runner.ID))
		any = any.better(node, rank)
		if worker.Zone == runner.Zone {
			near = near.better(node, rank)
		}
	}
	if near.node != "" {
		return near.node
	}
	return any.node
}

// candidate is the worker with the highest rank so far.
type candidate struct {
	node ident.Node
	rank uint64
}

func (c candidate) better(node ident.Node, rank uint64) candidate {
	if c.node == "" || rank > c.rank || (rank == c.rank && node < c.node) {
		return candidate{node: node, rank: rank}
	}
	return c
}

const (
	// claimShare of the time the waiting items will take is how long a node leaves a new job to idler ones.
	claimShare = 0.25
	// longestClaimDelay bounds that.
	longestClaimDelay = 2 * time.Second
)

// claimDelay is how long a node leaves an unclaimed job to others: a busy one to idler ones, and one of another zone to
// those of the zone where the job was accepted, because bytes between zones have their price.
func claimDelay(waiting, places int, duration time.Duration, sameZone bool, foreign time.Duration) time.Duration {
	wait := duration * time.Duration(waiting) / time.Duration(max(places, 1))
	delay := min(time.Duration(claimShare*float64(wait)), longestClaimDelay)
	if !sameZone {
		delay += foreign
	}
	return delay
}
