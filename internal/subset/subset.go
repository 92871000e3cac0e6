// Package subset chooses the workers that a node works with: a bounded number in its own zone, and a bounded number spread over
// the other zones, whatever the size of the fleet. Each node chooses for itself, by rendezvous hashing over its own name, so that
// all workers are chosen about equally often and a worker that joins or leaves changes one choice of few nodes.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// MaxNear is the largest number of chosen workers of the node's own zone. A node's requests use a few slots of the
	// runners that six workers own, and the loss of one of them leaves five.
	MaxNear = 6
	// MaxFar is the largest number of chosen workers of all other zones together, except that each zone has minPerZone.
	MaxFar = 8
	// minPerZone is the number of chosen workers of each other zone that has as many: with one, its loss would look like that of
	// the zone.
	minPerZone = 2
)

// Worker is a worker that may be chosen.
type Worker struct {
	Node    ident.Node
	Zone    ident.Zone
	Address string
}

// Chosen are the workers that a node works with, best first.
type Chosen struct {
	Near, Far []Worker
	// All says that the choice includes every worker of the node's own zone.
	All bool
}

// Choose returns the workers that a node of a zone works with. avoided workers of its own zone are chosen last.
func Choose(node ident.Node, zone ident.Zone, workers []Worker, avoided map[ident.Node]bool) Chosen {
	byZone := map[ident.Zone][]Worker{}
	for _, worker := range workers {
		byZone[worker.Zone] = append(byZone[worker.Zone], worker)
	}
	for _, listed := range byZone {
		sortByRank(node, listed)
	}
	near := byZone[zone]
	delete(byZone, zone)
	slices.SortStableFunc(near, func(first, second Worker) int { return compareBool(avoided[first.Node], avoided[second.Node]) })
	return Chosen{Near: near[:min(len(near), MaxNear)], Far: spread(byZone), All: len(near) <= MaxNear}
}

// spread returns up to MaxFar workers, taking one of each zone in turn, and minPerZone of each zone.
func spread(byZone map[ident.Zone][]Worker) []Worker {
	var zones []ident.Zone
	for zone := range byZone {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	var spread []Worker
	for round := 0; ; round++ {
		added := false
		for _, zone := range zones {
			if round < len(byZone[zone]) && (len(spread) < MaxFar || round < minPerZone) {
				spread, added = append(spread, byZone[zone][round]), true
			}
		}
		if !added {
			return spread
		}
	}
}

// sortByRank orders workers by their rank for a node, highest first.
func sortByRank(node ident.Node, workers []Worker) {
	slices.SortFunc(workers, func(first, second Worker) int {
		return cmp.Or(cmp.Compare(rank(node, second.Node), rank(node, first.Node)), cmp.Compare(first.Node, second.Node))
	})
}

func rank(node, worker ident.Node) uint64 {
	return xxhash.Sum64String(string(node) + "/" + string(worker))
}

func compareBool(first, second bool) int {
	switch {
	case first == second:
		return 0
	case second:
		return -1
	}
	return 1
}

// Overloaded returns which near worker a node should give up for another, given the number of nodes that report to each chosen
// worker, and false if none. The most used worker is given up with a probability that is its excess over the mean, so that of all
// nodes about as many leave it as it has too many. random is drawn evenly from [0, 1).
func Overloaded(near []Worker, nodes map[ident.Node]int, random float64) (ident.Node, bool) {
	sum, most := 0, Worker{}
	for _, worker := range near {
		sum += nodes[worker.Node]
		if most.Node == "" || nodes[worker.Node] > nodes[most.Node] {
			most = worker
		}
	}
	if sum == 0 {
		return "", false
	}
	mean := float64(sum) / float64(len(near))
	excess := (float64(nodes[most.Node]) - mean) / float64(nodes[most.Node])
	return most.Node, excess > minExcess && random < excess
}

// minExcess is the least excess over the mean, as a part of a worker's nodes, for which a node gives the worker up.
const minExcess = 0.05
