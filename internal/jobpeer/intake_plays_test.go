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

// TestJobsTakenOnDisksAndByTheStoreKeepOneBound guards against more tokens waiting than a route allows because the store and the workers'
// disks take jobs beside each other without a common count. A burst of twice what fits comes within a second while each call of the store
// takes seven times as long as usual: whichever way is first takes a job.
func TestJobsTakenOnDisksAndByTheStoreKeepOneBound(t *testing.T) {
	troubles := map[string]func(*intake){
		"none":                            func(*intake) {},
		"a worker has no power":           func(s *intake) { s.workers[3].setSilent(true) },
		"the reader of jobs has no power": func(s *intake) { s.workers[0].setSilent(true) },
	}
	for name, begin := range troubles {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				simulated.Test(t, func(t *testing.T) { playBurst(t, smallIntake, seed, begin) })
			})
		}
	}
}

// playBurst plays a burst of twice what fits, on a site with a slow store and one trouble more.
func playBurst(t *testing.T, size intakeSize, seed uint64, begin func(*intake)) {
	s := newIntake(t, size, seed)
	for _, store := range s.stores() {
		store.setTakes(7 * storeCall)
	}
	begin(s)
	s.burst(46, 70_000, 1200*time.Millisecond, 3*time.Second)
	s.checkBound(t)
	assert.Assert(t, s.most > intakeBound-70_000, "a job that fits was not taken")
}

// TestJobsKeepOneBoundAtSixtyWorkers has the same burst on a large site: what may be on its way unseen does not grow with it.
func TestJobsKeepOneBoundAtSixtyWorkers(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		playBurst(t, largeIntake, 0, func(s *intake) { s.workers[0].setSilent(true) })
	})
}

// TestKeepersOfAnEarlierBuildLeaveBothWays guards against jobs being refused while machines are replaced one after the other: workers that
// lack the call keep no account, and jobs are taken by either way as that build does, whether all or some of them are of it. Once the store
// is away a job is taken on disks.
func TestKeepersOfAnEarlierBuildLeaveBothWays(t *testing.T) {
	for old := range smallIntake.workers + 1 {
		t.Run(fmt.Sprint(old), func(t *testing.T) {
			simulated.Test(t, func(t *testing.T) {
				s := newIntake(t, smallIntake, 0)
				for _, w := range s.workers[:old] {
					w.setOld()
				}
				assert.NilError(t, s.hand(s.fronts[0], intakeJob{id: "a", tokens: 16_000}))
				for _, store := range s.stores() {
					store.setSilent(true)
				}
				assert.NilError(t, s.hand(s.fronts[0], intakeJob{id: "b", tokens: 16_000}))
			})
		})
	}
}

// TestJobsAreTakenWithinTheBoundInDrawnTroubles draws what happens to the store and to workers beside a burst of jobs of different sizes, some
// of which are handed in at two fronts at once. At each acceptance the bound holds, each promise is true, and once all is well again what fits
// is taken at its first try.
func TestJobsAreTakenWithinTheBoundInDrawnTroubles(t *testing.T) {
	for seed := range *intakeSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulated.Test(t, func(t *testing.T) { playIntake(t, smallIntake, *intakeFrom+seed) })
		})
	}
}

var (
	intakeSeeds = flag.Uint64("intake-seeds", 24, "how many plays of jobs beside drawn troubles")
	intakeFrom  = flag.Uint64("intake-from", 0, "the first seed of these plays")
)

func playIntake(t *testing.T, size intakeSize, seed uint64) {
	s := newIntake(t, size, seed)
	var all sync.WaitGroup
	strike := func(of []namedTrouble) {
		happens := of[int(s.draw()*float64(len(of)))]
		after, lasting := time.Duration(s.draw()*float64(time.Second)), time.Duration((0.5+4*s.draw())*float64(time.Second))
		t.Logf("%s after %v for %v", happens.name, after, lasting)
		all.Go(func() {
			time.Sleep(after)
			happens.happen(s, lasting)
		})
	}
	if s.draw() < 0.8 {
		strike(troublesOfStores)
	}
	if s.draw() < 0.7 {
		strike(troublesOfWorkers)
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
	time.Sleep(intakeHeals)
	s.checkBound(t)
	s.checkPromises(t)
	s.checkRoom(t)
}

// intakeHeals is how long a site is left to itself after a trouble: room of jobs that never came is free again.
const intakeHeals = 15 * time.Second

// checkRoom fails where a job that fits beside all that the store holds is not taken at once.
func (s *intake) checkRoom(t *testing.T) {
	t.Helper()
	waiting, err := s.newRecords(s.newStore()).WaitingTokens(context.Background(), jobrecord.Queue{Route: "r"}, 0)
	assert.NilError(t, err)
	const items = 16
	if free := (intakeBound - waiting) / items * items; free > 0 {
		assert.NilError(t, s.hand(s.fronts[0], intakeJob{id: "last", tokens: free}), "%d wait", waiting)
	}
}

// checkBound fails where more waited at an acceptance than the contract allows.
func (s *intake) checkBound(t *testing.T) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t.Logf("%d jobs taken, at most %d tokens waited of %d; %d refusals", len(s.taken), s.most, intakeBound, s.refused)
	assert.Assert(t, float64(s.most) <= intakeBound*(1+intakeSlack), "%d tokens were taken and %d may wait", s.most, intakeBound)
}

// checkPromises fails where a job that was taken is gone, or one exists of which every answer promised that it was not taken.
func (s *intake) checkPromises(t *testing.T) {
	t.Helper()
	records := s.newRecords(s.newStore())
	for job := range s.handed {
		exists, err := records.Exists(context.Background(), job)
		assert.NilError(t, err)
		_, taken := s.taken[job]
		assert.Assert(t, exists || !taken, "job %s was taken and is gone", job)
		assert.Assert(t, !exists || taken || s.unsure[job], "job %s was refused each time and exists", job)
	}
}
