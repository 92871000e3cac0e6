package queuecapacity

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

const (
	// rankPrefix is the prefix of the keys by which workers are ranked as holders of a route's account. All nodes must rank workers
	// alike.
	rankPrefix = "room/"
	// unregisteredGrace is how long a worker remains an account holder after its registration disappeared: registrations expire in
	// an outage of the store and return some seconds after its end.
	unregisteredGrace = 10 * time.Second
	// minAccountHolders is the minimum number of holders of a route's account, if there are enough workers: with fewer, the loss
	// of one would leave no majority.
	minAccountHolders = 3
)

// Worker is a worker that may hold accounts.
type Worker struct {
	Node ident.Node
	Zone ident.Zone
	// Address is where other nodes call the worker.
	Address string
}

// Roster is a node's view of the workers that may hold accounts. The zero value is empty. It is not safe for concurrent use.
type Roster struct {
	workers map[ident.Node]*rosterEntry
}

type rosterEntry struct {
	Worker
	// unregisteredSince is when the registration disappeared; zero while the worker is registered.
	unregisteredSince time.Time
}

// Update updates the roster from the list of registered workers. It ignores an empty list, which comes from a node that knows no
// workers.
func (r *Roster) Update(registered []Worker, now time.Time) {
	if len(registered) == 0 {
		return
	}
	if r.workers == nil {
		r.workers = map[ident.Node]*rosterEntry{}
	}
	for _, known := range r.workers {
		if known.unregisteredSince.IsZero() {
			known.unregisteredSince = now
		}
	}
	for _, worker := range registered {
		r.workers[worker.Node] = &rosterEntry{Worker: worker}
	}
	for node, known := range r.workers {
		if !known.unregisteredSince.IsZero() && now.Sub(known.unregisteredSince) >= unregisteredGrace {
			delete(r.workers, node)
		}
	}
}

// AccountHolders returns the workers that hold the account of a route, given how many workers may fail at once: the first by rank of
// each zone, then others by rank.
func (r *Roster) AccountHolders(route string, tolerance int, now time.Time) []Worker {
	ranked := make([]Worker, 0, len(r.workers))
	for _, known := range r.workers {
		if known.unregisteredSince.IsZero() || now.Sub(known.unregisteredSince) < unregisteredGrace {
			ranked = append(ranked, known.Worker)
		}
	}
	slices.SortFunc(ranked, func(first, second Worker) int { return rendezvous.Compare(rankPrefix+route, first.Node, second.Node) })
	wanted := max(2*tolerance+1, minAccountHolders)
	var holders []Worker
	zones := map[ident.Zone]bool{}
	for _, worker := range ranked {
		if len(holders) < wanted && !zones[worker.Zone] {
			zones[worker.Zone] = true
			holders = append(holders, worker)
		}
	}
	for _, worker := range ranked {
		if len(holders) < wanted && !slices.Contains(holders, worker) {
			holders = append(holders, worker)
		}
	}
	return holders
}
