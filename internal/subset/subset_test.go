package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

func workersOf(zones, perZone int) []Worker {
	var workers []Worker
	for zone := range zones {
		for index := range perZone {
			workers = append(workers, Worker{Node: ident.Node(fmt.Sprint("w-", zone, "-", index)), Zone: ident.Zone(fmt.Sprint("z-", zone))})
		}
	}
	return workers
}

// TestChoiceIsBoundedWhateverTheFleet chooses in fleets of several sizes.
func TestChoiceIsBoundedWhateverTheFleet(t *testing.T) {
	for _, perZone := range []int{1, 2, 30, 60} {
		chosen := Choose("front", "z-0", workersOf(5, perZone), nil)
		assert.Equal(t, len(chosen.Near), min(perZone, MaxNear))
		assert.Equal(t, len(chosen.Far), min(4*perZone, MaxFar))
		assert.Equal(t, chosen.All, perZone <= MaxNear)
		zones := map[ident.Zone]int{}
		for _, worker := range chosen.Far {
			assert.Assert(t, worker.Zone != "z-0")
			zones[worker.Zone]++
		}
		assert.Equal(t, len(zones), 4, "each other zone is represented")
	}
}

// TestEachOtherZoneHasTwoChosenWorkers chooses in fleets of more zones than workers would be chosen.
func TestEachOtherZoneHasTwoChosenWorkers(t *testing.T) {
	chosen := Choose("front", "z-0", workersOf(11, 30), nil)
	zones := map[ident.Zone]int{}
	for _, worker := range chosen.Far {
		zones[worker.Zone]++
	}
	assert.Equal(t, len(zones), 10)
	for zone, count := range zones {
		assert.Equal(t, count, minPerZone, "zone %s", zone)
	}
}

// TestChoiceChangesLittleWithTheWorkers removes workers one by one: only a choice that was removed is replaced.
func TestChoiceChangesLittleWithTheWorkers(t *testing.T) {
	workers := workersOf(1, 30)
	for len(workers) > MaxNear {
		before := Choose("front", "z-0", slices.Clone(workers), nil).Near
		removed := workers[0]
		workers = workers[1:]
		after := Choose("front", "z-0", slices.Clone(workers), nil).Near
		for _, worker := range before {
			assert.Assert(t, worker == removed || slices.Contains(after, worker))
		}
	}
}

func TestAvoidedWorkersAreChosenLast(t *testing.T) {
	workers := workersOf(1, MaxNear+1)
	first := Choose("front", "z-0", slices.Clone(workers), nil).Near[0]
	chosen := Choose("front", "z-0", slices.Clone(workers), map[ident.Node]bool{first.Node: true}).Near
	assert.Assert(t, !slices.Contains(chosen, first))
	few := Choose("front", "z-0", workersOf(1, 2), map[ident.Node]bool{first.Node: true}).Near
	assert.Equal(t, len(few), 2)
}

// balancedFleet simulates the fronts of one zone that review their choices.
type balancedFleet struct {
	workers []Worker
	avoided []map[ident.Node]bool
	random  *rand.Rand
}

func (f *balancedFleet) choose(front int) []Worker {
	return Choose(ident.Node(fmt.Sprint("f-", front)), "z-0", slices.Clone(f.workers), f.avoided[front]).Near
}

func (f *balancedFleet) nodes() map[ident.Node]int {
	nodes := map[ident.Node]int{}
	for front := range f.avoided {
		for _, worker := range f.choose(front) {
			nodes[worker.Node]++
		}
	}
	return nodes
}

// review has each front review its choice once, by the numbers of nodes at the start of the round.
func (f *balancedFleet) review() {
	nodes := f.nodes()
	for front := range f.avoided {
		given, overloaded := Overloaded(f.choose(front), nodes, f.random.Float64())
		if !overloaded {
			continue
		}
		if len(f.avoided[front]) >= MaxNear {
			f.avoided[front] = map[ident.Node]bool{}
		}
		f.avoided[front][given] = true
	}
}

// largestShare returns the largest number of nodes at a worker as a multiple of its even share.
func (f *balancedFleet) largestShare() float64 {
	most := 0
	for _, count := range f.nodes() {
		most = max(most, count)
	}
	return float64(most) * float64(len(f.workers)) / float64(len(f.avoided)*min(MaxNear, len(f.workers)))
}

// TestWorkersHaveEvenNumbersOfNodes has the fronts of a zone, of fleets of 30, 300, 900 and 2,000 machines, review their choices
// over a minute, lose a tenth of the workers and review again: no worker has more than 1.25 times its share of nodes.
func TestWorkersHaveEvenNumbersOfNodes(t *testing.T) {
	for _, fleet := range []struct{ fronts, workers int }{{6, 2}, {60, 10}, {167, 30}, {340, 60}} {
		for seed := range uint64(5) {
			f := &balancedFleet{workers: workersOf(1, fleet.workers), random: rand.New(rand.NewPCG(seed, 1))}
			for range fleet.fronts {
				f.avoided = append(f.avoided, map[ident.Node]bool{})
			}
			for range 12 {
				f.review()
			}
			assert.Check(t, f.largestShare() <= 1.25, "%d fronts, seed %d: %.2f", fleet.fronts, seed, f.largestShare())
			f.workers = f.workers[fleet.workers/10:]
			for range 12 {
				f.review()
			}
			assert.Check(t, f.largestShare() <= 1.25, "%d fronts after a loss, seed %d: %.2f", fleet.fronts, seed, f.largestShare())
		}
	}
}
