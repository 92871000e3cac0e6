package jobworker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

// zonedWorkers returns the workers of a fleet of five zones.
func zonedWorkers(count int) map[ident.Node]jobrecord.Worker {
	workers := map[ident.Node]jobrecord.Worker{}
	for index := range count {
		node := ident.Node(fmt.Sprintf("w-%03d", index))
		workers[node] = jobrecord.Worker{Node: node, Zone: ident.Zone(fmt.Sprint("z-", index%5)), Address: string(node)}
	}
	return workers
}

// TestFactsCrossIntoAZoneABoundedNumberOfTimes counts the workers that ask a worker of another zone, and the largest number that
// ask one worker, in fleets of several sizes.
func TestFactsCrossIntoAZoneABoundedNumberOfTimes(t *testing.T) {
	for _, count := range []int{50, 150, 300} {
		workers := zonedWorkers(count)
		crossing, asking := map[ident.Zone]int{}, map[ident.Node]int{}
		for node, worker := range workers {
			asked := readersFor(node, worker.Zone, workers)[0]
			if asked == node {
				continue
			}
			asking[asked]++
			if workers[asked].Zone != worker.Zone {
				crossing[worker.Zone]++
			}
		}
		for zone, times := range crossing {
			assert.Assert(t, times <= 2, "%d workers: %d times into zone %s", count, times, zone)
		}
		for node, times := range asking {
			assert.Assert(t, times <= count/5+5+MaxReaders, "%d workers: %d ask %s", count, times, node)
		}
	}
}

// TestRelayIsPassedOverWhileItDoesNotAnswer has the relay of a zone and the readers of the fleet fail one after the other.
func TestRelayIsPassedOverWhileItDoesNotAnswer(t *testing.T) {
	w := &Worker{Node: "w-099", Zone: "z-4", Now: time.Now, Readers: noReaders{}}
	w.setWorkers(zonedWorkers(150))
	var failed []string
	avoided := func(address string) bool { return slices.Contains(failed, address) }
	for _, expected := range []string{"w-004", "w-000", "w-001"} {
		address, other := w.Reader(avoided)
		assert.Assert(t, other)
		assert.Equal(t, address, expected)
		failed = append(failed, address)
	}
	_, other := w.Reader(avoided)
	assert.Assert(t, !other, "a worker reads for itself if nobody answers")
}

// TestRelayAsksTheReaders checks that no worker is asked by the one that it asks.
func TestRelayAsksTheReaders(t *testing.T) {
	for _, count := range []int{1, 2, 7, 39, 40, 41, 150} {
		workers := zonedWorkers(count)
		for node, worker := range workers {
			seen := []ident.Node{node}
			for asked := readersFor(node, worker.Zone, workers)[0]; asked != seen[len(seen)-1]; {
				assert.Assert(t, !slices.Contains(seen, asked), "%v", seen)
				seen = append(seen, asked)
				asked = readersFor(asked, workers[asked].Zone, workers)[0]
			}
			assert.Assert(t, len(seen) <= 3, "%v", seen)
		}
	}
}
