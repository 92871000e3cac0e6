package jobrecord

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// TestCachedOwnersAreThoseOfTheWorkers has workers join, leave, move to another zone and change their address at random: each
// runner has the owner that a choice among the present workers gives.
func TestCachedOwnersAreThoseOfTheWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SampledFrom([]ident.Zone{"a", "b", "c"})
		var runners []work.Runner
		for index := range 20 {
			runners = append(runners, work.Runner{ID: ident.Incarnation(fmt.Sprint("r-", index)), Zone: zones.Draw(t, "zone")})
		}
		workers := map[ident.Node]Worker{}
		owners := NewOwners(workers)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			node := ident.Node(fmt.Sprint("w-", rapid.IntRange(0, 6).Draw(t, "worker")))
			if rapid.Bool().Draw(t, "leaves") {
				delete(workers, node)
			} else {
				workers[node] = Worker{Node: node, Zone: zones.Draw(t, "zone"), Address: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address")}
			}
			owners.SetWorkers(workers)
			for _, runner := range runners {
				if rapid.Bool().Draw(t, "asked") {
					owner, found := owners.Owner(runner)
					assert.Equal(t, owner.Node, expectedOwner(runner, workers))
					assert.Equal(t, owner, workers[owner.Node])
					assert.Equal(t, found, len(workers) > 0)
					assert.Assert(t, !found || owners.MayOwn(owner.Node, runner.Zone))
				}
			}
		}
	})
}

// expectedOwner chooses the owner of a runner among all workers.
func expectedOwner(runner work.Runner, workers map[ident.Node]Worker) ident.Node {
	var sameZone, overall candidate
	for node, worker := range workers {
		worker.Node = node
		rank := xxhash.Sum64String(string(node) + "/" + string(runner.ID))
		overall = overall.better(worker, rank)
		if worker.Zone == runner.Zone {
			sameZone = sameZone.better(worker, rank)
		}
	}
	if sameZone.worker.Node != "" {
		return sameZone.worker.Node
	}
	return overall.worker.Node
}

// TestWorkerThatJoinsIsComparedWithItsZoneOnly counts the ranks that one more worker costs in fleets of several sizes whose
// zones are alike.
func TestWorkerThatJoinsIsComparedWithItsZoneOnly(t *testing.T) {
	const runnersPerZone, workersPerZone = 60, 4
	for _, zones := range []int{2, 20, 60} {
		workers := map[ident.Node]Worker{}
		var runners []work.Runner
		for zone := range zones {
			name := ident.Zone(fmt.Sprint("z-", zone))
			for index := range workersPerZone {
				node := ident.Node(fmt.Sprint("w-", zone, "-", index))
				workers[node] = Worker{Node: node, Zone: name}
			}
			for index := range runnersPerZone {
				runners = append(runners, work.Runner{ID: ident.Incarnation(fmt.Sprint("r-", zone, "-", index)), Zone: name})
			}
		}
		owners := NewOwners(workers)
		chooseAll(owners, runners)
		before := owners.ranks
		workers["new"] = Worker{Node: "new", Zone: "z-0"}
		owners.SetWorkers(workers)
		chooseAll(owners, runners)
		assert.Equal(t, owners.ranks-before, uint64(runnersPerZone), "%d zones", zones)
		before = owners.ranks
		owned := ownedBy(owners, runners, "new")
		delete(workers, "new")
		owners.SetWorkers(workers)
		chooseAll(owners, runners)
		assert.Equal(t, owners.ranks-before, uint64(owned*workersPerZone), "%d zones", zones)
	}
}

func chooseAll(owners *Owners, runners []work.Runner) { ownedBy(owners, runners, "") }

func ownedBy(owners *Owners, runners []work.Runner, node ident.Node) int {
	owned := 0
	for _, runner := range runners {
		if owner, _ := owners.Owner(runner); owner.Node == node {
			owned++
		}
	}
	return owned
}

func TestOwnersOfRunnersThatAreGoneAreTrimmed(t *testing.T) {
	owners := NewOwners(map[ident.Node]Worker{"w": {Node: "w", Zone: "a"}})
	for index := range 1000 {
		owners.Owner(work.Runner{ID: ident.Incarnation(fmt.Sprint("r-", index)), Zone: "a"})
		owners.Trim("a", 10)
	}
	assert.Assert(t, len(owners.zones["a"].owners) < 100)
}
