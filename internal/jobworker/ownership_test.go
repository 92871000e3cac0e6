package jobworker

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/work"
)

// TestClaimPositionsAreDistinct draws workers and jobs: no two workers have the same position for a job, so that no two
// equally busy workers claim it at once, and the workers in its zone come first.
func TestClaimPositionsAreDistinct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := map[ident.Node]jobrecord.Worker{}
		for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching("w-[a-z0-9]{1,4}"), 1, 8, rapid.ID[string]).Draw(t, "names") {
			zone := rapid.SampledFrom([]ident.Zone{"a", "b"}).Draw(t, "zone")
			workers[ident.Node(name)] = jobrecord.Worker{Node: ident.Node(name), Zone: zone}
		}
		job := ident.Job(rapid.String().Draw(t, "job"))
		sameZone := 0
		for _, worker := range workers {
			if worker.Zone == "a" {
				sameZone++
			}
		}
		seen := map[int]bool{}
		for node, worker := range workers {
			position := claimPosition(node, workers, job, "a")
			assert.Assert(t, !seen[position], "position %d twice", position)
			seen[position] = true
			assert.Equal(t, worker.Zone == "a", position < sameZone)
		}
	})
}

func TestIdleWorkersClaimBeforeBusyOnes(t *testing.T) {
	const step = 600 * time.Millisecond
	assert.Equal(t, claimDelay(0, 10, 5*time.Second, 0, step), time.Duration(0))
	idleSecond, busyFirst := claimDelay(0, 10, 5*time.Second, 1, step), claimDelay(20, 10, 5*time.Second, 0, step)
	assert.Assert(t, idleSecond < busyFirst)
	assert.Assert(t, claimDelay(1000, 1, time.Minute, 100, step) <= maxClaimDelay+maxClaimPosition*step)
}

// noReaders answers no calls.
type noReaders struct{ Readers }

func TestOneWorkerReadsForTheOthers(t *testing.T) {
	never := func(string) bool { return false }
	w := &Worker{Node: "w-1", Readers: noReaders{}, Now: time.Now}
	_, other := w.Reader(never)
	assert.Assert(t, !other, "no worker is known")
	w.workers = map[ident.Node]jobrecord.Worker{
		"w-1": {Node: "w-1", Address: "first"}, "w-2": {Node: "w-2", Address: "second"}, "w-3": {Node: "w-3", Address: "third"}, "w-4": {Node: "w-4", Address: "fourth"},
	}
	_, other = w.Reader(never)
	assert.Assert(t, !other, "the first worker reads for itself")
	for _, node := range []ident.Node{"w-2", "w-3", "w-4"} {
		w.Node = node
		address, other := w.Reader(never)
		assert.Assert(t, other)
		assert.Equal(t, address, "first")
	}
	address, other := w.Reader(func(address string) bool { return address == "first" })
	assert.Assert(t, other)
	assert.Equal(t, address, "second", "the next reader is asked while the first does not answer")
	_, other = w.Reader(func(string) bool { return true })
	assert.Assert(t, !other, "a worker without an answer reads for itself")
	w.Node = "w-2"
	_, other = w.Reader(func(address string) bool { return address == "first" })
	assert.Assert(t, !other, "the next reader reads for the others")
}

// TestWorkerThatStartsAsksSeedsForAMoment has a worker that knows no other ask the seeds in its settings, unless it is one
// of them.
func TestWorkerThatStartsAsksSeedsForAMoment(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	w := &Worker{
		Node: "w-9", Address: "own", Readers: noReaders{}, Seeds: []string{"a", "b", "c"}, SeedPeriod: time.Second, started: now,
		Now: func() time.Time { return now },
	}
	addresses := map[string]bool{}
	for range 3 {
		address, other := w.Reader(func(string) bool { return true })
		assert.Assert(t, other)
		addresses[address] = true
	}
	assert.Equal(t, len(addresses), 3)
	w.Address = "b"
	_, other := w.Reader(func(string) bool { return false })
	assert.Assert(t, !other, "a seed reads for itself")
	w.Address, now = "own", now.Add(1100*time.Millisecond)
	_, other = w.Reader(func(string) bool { return false })
	assert.Assert(t, !other, "seeds that do not answer are asked for a limited time only")
}

func TestManyWorkersCallLessOftenEach(t *testing.T) {
	assert.Equal(t, pollScale(0), 1.0)
	assert.Equal(t, pollScale(unscaledWorkers), 1.0)
	assert.Equal(t, pollScale(2*unscaledWorkers), 2.0)
	assert.Equal(t, pollScale(1000), float64(maxPollScale))
	// The end of a job is seen by every worker well within the three seconds after which nothing of it may run any more.
	pause := time.Duration(maxPollScale * float64(DefaultOptions.WatchPause))
	assert.Assert(t, pause+DefaultOptions.CallTimeout < 2500*time.Millisecond)
}

// TestOwnersFollowTheWorkers has a worker come and go: no previous owner remains cached.
func TestOwnersFollowTheWorkers(t *testing.T) {
	w := &Worker{Node: "w-1"}
	one := map[ident.Node]jobrecord.Worker{"w-1": {Node: "w-1", Zone: "a"}}
	two := map[ident.Node]jobrecord.Worker{"w-1": {Node: "w-1", Zone: "a"}, "w-2": {Node: "w-2", Zone: "b"}}
	runner := work.Runner{ID: "r", Zone: "b"}
	w.setWorkers(one)
	assert.Equal(t, w.ownerOf(runner), ident.Node("w-1"))
	w.setWorkers(two)
	assert.Equal(t, w.ownerOf(runner), ident.Node("w-2"))
	w.setWorkers(maps.Clone(two))
	assert.Equal(t, w.ownerOf(runner), ident.Node("w-2"))
	w.setWorkers(one)
	assert.Equal(t, w.ownerOf(runner), ident.Node("w-1"))
}
