package jobpeer_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/simulated"
)

// TestStoreAndDiskJobsShareOneBound guards against queueing more tokens than a route allows because the store and
// the workers' disks accept jobs at the same time without a common count. A burst of twice the capacity arrives within about a
// second while each store call takes seven times as long as usual, so that a job is accepted by whichever path answers first.
func TestStoreAndDiskJobsShareOneBound(t *testing.T) {
	faults := map[string]func(*intake){
		"none":                     func(*intake) {},
		"a worker is unresponsive": func(s *intake) { s.workers[3].setUnresponsive(true) },
		"the worker that reads the jobs is unresponsive": func(s *intake) { s.workers[0].setUnresponsive(true) },
	}
	for name, inject := range faults {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				simulated.Test(t, func(t *testing.T) { simulateBurst(t, smallIntake, seed, inject) })
			})
		}
	}
}

// simulateBurst simulates a burst of twice the capacity on a site with a slow store and one more fault.
func simulateBurst(t *testing.T, size intakeSize, seed uint64, inject func(*intake)) {
	s := newIntake(t, size, seed)
	for _, store := range s.stores() {
		store.setDelay(7 * storeCall)
	}
	inject(s)
	s.burst(46, 70_000, 1200*time.Millisecond, 3*time.Second)
	s.checkBound(t)
	assert.Assert(t, s.maxQueued > intakeBound-70_000, "a job that fits was not accepted")
}

// TestSharedBoundHoldsAtSixtyWorkers repeats the burst on a large site: the number of tokens in flight but not yet counted
// must not grow with the site.
func TestSharedBoundHoldsAtSixtyWorkers(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		simulateBurst(t, largeIntake, 0, func(s *intake) { s.workers[0].setUnresponsive(true) })
	})
}

// TestJobsAreAcceptedBesideWorkersOfAnEarlierBuild guards against refusing jobs during a rolling upgrade. Workers of an earlier build
// lack the call and hold no account. Whether all or some workers run that build, jobs must be accepted by the store, and on
// disks while the store is unavailable.
func TestJobsAreAcceptedBesideWorkersOfAnEarlierBuild(t *testing.T) {
	for earlierWorkers := range smallIntake.workers + 1 {
		t.Run(fmt.Sprint(earlierWorkers), func(t *testing.T) {
			simulated.Test(t, func(t *testing.T) {
				s := newIntake(t, smallIntake, 0)
				for _, w := range s.workers[:earlierWorkers] {
					w.setEarlierBuild()
				}
				assert.NilError(t, s.submit(s.fronts[0], intakeJob{id: "a", tokens: 16_000}))
				for _, store := range s.stores() {
					store.setUnresponsive(true)
				}
				assert.NilError(t, s.submit(s.fronts[0], intakeJob{id: "b", tokens: 16_000}))
			})
		})
	}
}

// TestBoundHoldsUnderRandomFaults draws random faults of the store and of workers during a burst of jobs of
// different sizes, some of which are submitted at two fronts at once. At each acceptance the bound must hold, and every
// definite answer must be true. Once the faults have ended, a job that fits must be accepted on the first attempt.
func TestBoundHoldsUnderRandomFaults(t *testing.T) {
	for seed := range *intakeSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulated.Test(t, func(t *testing.T) { simulateIntake(t, smallIntake, *intakeFrom+seed) })
		})
	}
}

var (
	intakeSeeds = flag.Uint64("intake-seeds", 24, "number of simulated runs with random faults")
	intakeFrom  = flag.Uint64("intake-from", 0, "first seed of these runs")
)

func simulateIntake(t *testing.T, size intakeSize, seed uint64) {
	s := newIntake(t, size, seed)
	var all sync.WaitGroup
	injectRandom := func(faults []namedFault) {
		chosen := faults[int(s.draw()*float64(len(faults)))]
		after, duration := time.Duration(s.draw()*float64(time.Second)), time.Duration((0.5+4*s.draw())*float64(time.Second))
		t.Logf("%s after %v for %v", chosen.name, after, duration)
		all.Go(func() {
			time.Sleep(after)
			chosen.inject(s, duration)
		})
	}
	if s.draw() < 0.8 {
		injectRandom(storeFaults)
	}
	if s.draw() < 0.7 {
		injectRandom(workerFaults)
	}
	for index := range 40 {
		job := intakeJob{id: ident.Job(fmt.Sprintf("j-%03d", index)), tokens: 16 * int(1000+9000*s.draw()*s.draw())}
		after, twice := time.Duration(s.draw()*float64(3*time.Second)), s.draw() < 0.2
		for range 1 + map[bool]int{true: 1}[twice] {
			all.Go(func() {
				time.Sleep(after)
				s.call(job, 4*time.Second)
			})
		}
	}
	all.Wait()
	time.Sleep(recoveryPeriod)
	s.checkBound(t)
	s.checkAnswers(t)
	s.checkFreeCapacity(t)
}

// recoveryPeriod is the recovery time after a fault: the reserved capacity of jobs that were never written has been released by
// then.
const recoveryPeriod = 15 * time.Second

// checkFreeCapacity fails if a job that fits next to everything in the store is not accepted at once.
func (s *intake) checkFreeCapacity(t *testing.T) {
	t.Helper()
	waiting, err := s.newRecords(s.newStore()).WaitingTokens(context.Background(), jobrecord.Queue{Route: "r"}, 0)
	assert.NilError(t, err)
	const items = 16
	if free := (intakeBound - waiting) / items * items; free > 0 {
		assert.NilError(t, s.submit(s.fronts[0], intakeJob{id: "last", tokens: free}), "%d tokens are queued", waiting)
	}
}

// checkBound fails if more tokens were queued at an acceptance than the contract allows.
func (s *intake) checkBound(t *testing.T) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t.Logf("%d jobs accepted, at most %d of %d tokens queued; %d refusals", len(s.accepted), s.maxQueued, intakeBound, s.refused)
	assert.Assert(t, float64(s.maxQueued) <= intakeBound*(1+intakeSlack),
		"%d tokens were accepted but only %d may be queued", s.maxQueued, intakeBound)
}

// checkAnswers fails if an accepted job is lost, or if a job exists although every answer said that it was not accepted.
func (s *intake) checkAnswers(t *testing.T) {
	t.Helper()
	records := s.newRecords(s.newStore())
	for job := range s.submitted {
		exists, err := records.Exists(context.Background(), job)
		assert.NilError(t, err)
		_, accepted := s.accepted[job]
		assert.Assert(t, exists || !accepted, "job %s was accepted and is lost", job)
		assert.Assert(t, !exists || accepted || s.indefinite[job], "job %s was refused each time but exists", job)
	}
}
