package jobworker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	stormJobs  = 9
	stormItems = 24
	// stormMemory is the memory of each worker's machine, in bytes.
	stormMemory = 300 << 20
	// stormOutage is longer than leases last, so that they lapse.
	stormOutage = 4500 * time.Millisecond
	// stormSlow is how long the store is slow after an outage.
	stormSlow = 3200 * time.Millisecond
	// stormEnd bounds how long all items take after the last outage.
	stormEnd = 60 * time.Second
	// readEvery is the time between two readings of all jobs.
	readEvery = 250 * time.Millisecond
	// settle is how soon after a result was read it is found at each worker that is sure.
	settle = time.Second
)

// storm is a group of workers whose stores have weather of their own, and what readers saw of their jobs.
type storm struct {
	*group
	workers []*jobworker.Worker
	stores  []*weatherStore
	budgets []*memorybudget.NodeBudget
	// seen are the results read of each job, by position; seenAt is when each was first read.
	seen   map[ident.Job][]work.Result
	seenAt map[ident.Job][]time.Time
}

// newStorm starts three workers with four places each. Runs take long enough that results keep coming through an outage.
func newStorm(t *testing.T, seed uint64) *storm {
	// Changes that are done late end before the test does.
	t.Cleanup(func() { time.Sleep(2 * maxDelay) })
	s := &storm{group: newGroup(t), seen: map[ident.Job][]work.Result{}, seenAt: map[ident.Job][]time.Time{}}
	nodes := []ident.Node{"n0", "n1", "n2"}
	var runners []work.Runner
	for _, node := range nodes {
		runner := runnerOwnedBy(t, node, nodes...)
		runner.Slots = 4
		runners = append(runners, runner)
	}
	for index, node := range nodes {
		s.budget = memorybudget.New[ident.Tenant, string](memorybudget.LimitsOf(stormMemory))
		store := newWeatherStore(kvtest.NewPaged(s.data), seed*8+uint64(index))
		caller := &fakeCaller{takes: 150 * time.Millisecond}
		s.callers[node] = caller
		worker := s.newWorker(node, store, caller, runners...)
		worker.Options = jobworker.DefaultOptions
		worker.Start(s.tombs[node])
		s.workers, s.stores, s.budgets = append(s.workers, worker), append(s.stores, store), append(s.budgets, s.budget)
	}
	return s
}

// pass lets time pass while readers check all jobs.
func (s *storm) pass(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(readEvery) {
		s.read()
	}
}

// read checks that results that were read stay at their positions, that no item stands at two, and that each worker that is sure of what
// it tells tells the same.
func (s *storm) read() {
	s.t.Helper()
	for job := range stormJobs {
		id := ident.Job(fmt.Sprint("j", job))
		results, err := s.records.AllResults(context.Background(), id)
		assert.NilError(s.t, err)
		before := s.seen[id]
		assert.Assert(s.t, len(results) >= len(before), "results of %s that were read are gone", id)
		items := map[ident.Request]bool{}
		for position, result := range results {
			assert.Assert(s.t, !items[result.ID], "item %s stands at two positions", result.ID)
			items[result.ID] = true
			if position < len(before) {
				assert.Equal(s.t, result, before[position])
			} else {
				s.seenAt[id] = append(s.seenAt[id], time.Now())
			}
		}
		s.seen[id] = results
		for _, worker := range s.workers {
			s.compare(worker, id)
		}
	}
}

// compare checks what a worker tells of a job from its memory.
func (s *storm) compare(worker *jobworker.Worker, id ident.Job) {
	s.t.Helper()
	known := s.seen[id]
	for _, from := range []int{0, len(known) / 2, max(len(known)-1, 0)} {
		held, sure := worker.RecordedResults(context.Background(), id, from, 0)
		if !sure {
			continue
		}
		assert.Equal(s.t, held.Total, stormItems)
		if from+len(held.Results) > len(known) {
			// They were recorded since the reading.
			later, err := s.records.AllResults(context.Background(), id)
			assert.NilError(s.t, err)
			known = later
		}
		for offset, result := range held.Results {
			assert.Assert(s.t, from+offset < len(known), "%s tells a result of %s that is not recorded", worker.Node, id)
			assert.Equal(s.t, result, known[from+offset])
		}
		if missing := from; len(held.Results) == 0 && missing < len(s.seenAt[id]) {
			age := time.Since(s.seenAt[id][missing])
			assert.Assert(s.t, age <= settle, "%s has nothing at position %d of %s, read %v ago", worker.Node, missing, id, age)
		}
	}
}

// hit gives a number of drawn workers a weather.
func (s *storm) hit(draw *rand.Rand, count int, next weather) []*weatherStore {
	var hit []*weatherStore
	for _, index := range draw.Perm(len(s.stores))[:count] {
		s.stores[index].set(next)
		hit = append(hit, s.stores[index])
	}
	return hit
}

func setAll(stores []*weatherStore, next weather) {
	for _, store := range stores {
		store.set(next)
	}
}

// finish waits until all items are listed, and checks that the memory for the jobs is free again.
func (s *storm) finish() {
	s.t.Helper()
	for end := time.Now().Add(stormEnd); time.Now().Before(end); s.pass(time.Second) {
		if s.listed() == stormJobs*stormItems {
			break
		}
	}
	assert.Equal(s.t, s.listed(), stormJobs*stormItems, "items that are listed")
	for job := range stormJobs {
		s.waitWhole(fmt.Sprint("j", job), stormItems)
	}
	for _, budget := range s.budgets {
		// Results cached for readers give way.
		budget.SetLimits(memorybudget.LimitsOf(0))
	}
	time.Sleep(time.Second)
	for _, budget := range s.budgets {
		held, _ := budget.Load()
		assert.Equal(s.t, held, int64(0), "memory reserved for jobs that ended")
	}
}

func (s *storm) listed() int {
	listed := 0
	for _, results := range s.seen {
		listed += len(results)
	}
	return listed
}

// playStorm submits jobs, and has outages in which leases lapse, followed by the given weather, at drawn workers.
func playStorm(t *testing.T, seed uint64, after weather) {
	simulated.Test(t, func(t *testing.T) {
		draw := rand.New(rand.NewPCG(seed, 2))
		s := newStorm(t, seed)
		s.pass(2 * time.Second)
		for job := range stormJobs {
			s.submit(fmt.Sprint("j", job), stormItems)
		}
		s.pass(time.Duration(draw.Int64N(int64(time.Second))))
		for range 3 {
			hit := s.hit(draw, 1+draw.IntN(len(s.stores)), down)
			s.pass(stormOutage + time.Duration(draw.Int64N(int64(time.Second))))
			setAll(hit, after)
			s.pass(stormSlow)
			setAll(hit, fair)
			s.pass(time.Duration(draw.Int64N(int64(time.Second))))
		}
		s.finish()
	})
}

// stormSeeds returns how many seeds are played: few by default, or as many as MALLOWLATCH_STORM_SEEDS says.
func stormSeeds(t *testing.T, few uint64) uint64 {
	wanted := os.Getenv("MALLOWLATCH_STORM_SEEDS")
	if wanted == "" {
		return few
	}
	seeds, err := strconv.ParseUint(wanted, 10, 64)
	assert.NilError(t, err)
	return seeds
}

// TestSlowStoreAfterAnOutageEndsNoWorker guards against workers that end with a panic, lose results that were read, or list an item twice,
// because two goroutines took the same job again after its lease lapsed while the store answered late.
func TestSlowStoreAfterAnOutageEndsNoWorker(t *testing.T) {
	for seed := range stormSeeds(t, 10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playStorm(t, seed, slow) })
	}
}

// TestDrawnAnswersOfTheStoreKeepResults guards against the same where changes are done late, without an answer, or answered late, in drawn
// orders.
func TestDrawnAnswersOfTheStoreKeepResults(t *testing.T) {
	for seed := range stormSeeds(t, 10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playStorm(t, 100+seed, rough) })
	}
}
