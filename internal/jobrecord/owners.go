package jobrecord

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Owners assigns each runner its owner: the worker that assigns batch items to it, chosen by rendezvous hashing among the workers of
// the runner's zone, or among all workers if the zone has none. A single owner prevents two workers from filling the same slots and
// from preempting batch runs for the same request. It is a convention and not a lock: while workers join or leave, two may act as
// owner, which costs some restarts of items.
//
// Owners are cached. The cache follows the workers: one that joins is
// compared with the owners of the runners of its zone only, and one that leaves costs a new choice for the runners that it
// owned. Memory grows with the runners asked for, whatever the number of workers. It is not safe for concurrent use.
type Owners struct {
	workers map[ident.Node]Worker
	zones   map[ident.Zone]*zoneOwners
	// generation rises with each change of the workers.
	generation uint64
	// ranks counts the ranks that were computed.
	ranks uint64
	// key is reused for the hashed text.
	key []byte
}

// zoneOwners are the workers of a zone, ordered by node, and the owners of its runners.
type zoneOwners struct {
	workers []Worker
	owners  map[ident.Incarnation]candidate
}

// NewOwners returns the owners among some workers.
func NewOwners(workers map[ident.Node]Worker) *Owners {
	owners := &Owners{zones: map[ident.Zone]*zoneOwners{}}
	owners.SetWorkers(workers)
	return owners
}

// Generation returns a number that rises with each change of the workers.
func (o *Owners) Generation() uint64 { return o.generation }

// SetWorkers replaces the workers.
func (o *Owners) SetWorkers(workers map[ident.Node]Worker) {
	if o.generation > 0 && maps.Equal(o.workers, workers) {
		return
	}
	o.workers = maps.Clone(workers)
	o.generation++
	byZone := map[ident.Zone][]Worker{}
	for node, worker := range workers {
		worker.Node = node
		byZone[worker.Zone] = append(byZone[worker.Zone], worker)
		o.zone(worker.Zone)
	}
	for name, zone := range o.zones {
		listed := byZone[name]
		slices.SortFunc(listed, func(first, second Worker) int { return cmp.Compare(first.Node, second.Node) })
		o.update(zone, listed)
	}
}

// update replaces the workers of a zone and corrects the cached owners of its runners.
func (o *Owners) update(zone *zoneOwners, workers []Worker) {
	before := zone.workers
	zone.workers = workers
	if len(before) == 0 || len(workers) == 0 {
		clear(zone.owners)
		return
	}
	joined, left := difference(workers, before), difference(before, workers)
	if len(joined) == 0 && len(left) == 0 {
		return
	}
	for id, owner := range zone.owners {
		if slices.Contains(left, owner.worker) {
			delete(zone.owners, id)
			continue
		}
		zone.owners[id] = o.best(owner, id, joined)
	}
}

// difference returns the workers of the first list that the second one lacks.
func difference(first, second []Worker) []Worker {
	var missing []Worker
	for _, worker := range first {
		if !slices.Contains(second, worker) {
			missing = append(missing, worker)
		}
	}
	return missing
}

// Owner returns the owner of a runner, or false if there is no worker.
func (o *Owners) Owner(runner work.Runner) (Worker, bool) {
	zone := o.zone(runner.Zone)
	owner, known := zone.owners[runner.ID]
	if !known {
		owner = o.choose(zone, runner.ID)
		zone.owners[runner.ID] = owner
	}
	return owner.worker, owner.worker.Node != ""
}

// choose returns the owner of a runner among the workers of its zone, or among all workers if the zone has none.
func (o *Owners) choose(zone *zoneOwners, id ident.Incarnation) candidate {
	if len(zone.workers) > 0 {
		return o.best(candidate{}, id, zone.workers)
	}
	var owner candidate
	for _, other := range o.zones {
		owner = o.best(owner, id, other.workers)
	}
	return owner
}

func (o *Owners) best(owner candidate, id ident.Incarnation, workers []Worker) candidate {
	for _, worker := range workers {
		o.ranks++
		o.key = append(append(append(o.key[:0], worker.Node...), '/'), id...)
		owner = owner.better(worker, xxhash.Sum64(o.key))
	}
	return owner
}

// MayOwn reports whether a worker may own runners of a zone: its own one, or one without workers.
func (o *Owners) MayOwn(node ident.Node, zone ident.Zone) bool {
	worker, registered := o.workers[node]
	return registered && (worker.Zone == zone || len(o.zone(zone).workers) == 0)
}

// Trim removes cached owners of runners that are gone, given the number of runners that a zone has now.
func (o *Owners) Trim(zone ident.Zone, runners int) {
	const slack = 64
	if known := o.zone(zone); len(known.owners) > 2*runners+slack {
		clear(known.owners)
	}
}

func (o *Owners) zone(name ident.Zone) *zoneOwners {
	zone := o.zones[name]
	if zone == nil {
		zone = &zoneOwners{owners: map[ident.Incarnation]candidate{}}
		o.zones[name] = zone
	}
	return zone
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
