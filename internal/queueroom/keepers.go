package queueroom

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

const (
	// duty is what workers are ranked by for the account of a route: all nodes must rank alike.
	duty = "room/"
	// vanishedFor is how long a worker that is not registered any more counts among the keepers: registrations lapse in an outage of the
	// store, and are back some seconds after its end.
	vanishedFor = 10 * time.Second
	// fewestKeepers is the least number of a route's keepers, where there are as many workers: with fewer the loss of one would end the account.
	fewestKeepers = 3
)

// Worker is one that may keep accounts.
type Worker struct {
	Node ident.Node
	Zone ident.Zone
	// Address is where other nodes call it.
	Address string
}

// Roster is the workers that may keep accounts, as a node knows them. The zero Roster is empty. It is not safe for concurrent use.
type Roster struct {
	workers map[ident.Node]*rostered
}

type rostered struct {
	Worker
	// vanished is since when the worker is not registered; zero while it is.
	vanished time.Time
}

// Note takes over the list of registered workers. An empty one says nothing: it is that of a node that knows none.
func (r *Roster) Note(registered []Worker, now time.Time) {
	if len(registered) == 0 {
		return
	}
	if r.workers == nil {
		r.workers = map[ident.Node]*rostered{}
	}
	for _, known := range r.workers {
		if known.vanished.IsZero() {
			known.vanished = now
		}
	}
	for _, worker := range registered {
		r.workers[worker.Node] = &rostered{Worker: worker}
	}
	for node, known := range r.workers {
		if !known.vanished.IsZero() && now.Sub(known.vanished) >= vanishedFor {
			delete(r.workers, node)
		}
	}
}

// Keepers returns the workers that keep the account of a route, given how many may be lost at once: the first by rank of each zone, then
// the others.
func (r *Roster) Keepers(route string, tolerance int, now time.Time) []Worker {
	ranked := make([]Worker, 0, len(r.workers))
	for _, known := range r.workers {
		if known.vanished.IsZero() || now.Sub(known.vanished) < vanishedFor {
			ranked = append(ranked, known.Worker)
		}
	}
	slices.SortFunc(ranked, func(first, second Worker) int { return rendezvous.Compare(duty+route, first.Node, second.Node) })
	wanted := max(2*tolerance+1, fewestKeepers)
	var keepers []Worker
	zones := map[ident.Zone]bool{}
	for _, worker := range ranked {
		if len(keepers) < wanted && !zones[worker.Zone] {
			zones[worker.Zone] = true
			keepers = append(keepers, worker)
		}
	}
	for _, worker := range ranked {
		if len(keepers) < wanted && !slices.Contains(keepers, worker) {
			keepers = append(keepers, worker)
		}
	}
	return keepers
}
