package batch

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// TestOneTokenOfAStepIsFirst checks that concurrent tokens of a step are counted as one step.
func TestOneTokenOfAStepIsFirst(t *testing.T) {
	var watch stepDetector
	moment := time.Unix(1_800_000_000, 0)
	assert.Assert(t, !watch.token(moment), "a step was detected although the step gap is unknown")
	watch.setGap(10 * time.Millisecond)
	var noticed atomic.Int64
	const steps = 2000
	for range steps {
		moment = moment.Add(20 * time.Millisecond)
		var runs sync.WaitGroup
		start := make(chan struct{})
		for run := range 8 {
			runs.Go(func() {
				<-start
				if watch.token(moment.Add(time.Duration(run) * time.Millisecond)) {
					noticed.Add(1)
				}
			})
		}
		close(start)
		runs.Wait()
	}
	assert.Equal(t, noticed.Load(), int64(steps))
}

// TestItemsStartJustBeforeStepEnds checks the start time of items on a runner that also serves online work: no item is
// started early in a step although credits and items are available, the timer is set to the end of the step, and items
// then start up to the credits.
func TestItemsStartJustBeforeStepEnds(t *testing.T) {
	const step = 20 * time.Millisecond
	at := newClock()
	engines := map[ident.Runner]*fakeEngine{"a": newEngine(5, rand.New(rand.NewPCG(1, 1)), false)}
	engines["a"].gate = make(chan struct{})
	store := newStore(newItems(10, 0), time.Minute, at.Now, rand.New(rand.NewPCG(1, 2)), false)
	tested := newFixture(store, engines, at.Now)
	worker := tested.worker
	// The test runs the iterations itself instead of the worker's loop.
	worker.tomb.Go(func() error { <-worker.tomb.Dying(); return nil })
	tested.table.Start("a", nil)
	worker.readOwnership()
	state := worker.runners["a"]
	for range 50 {
		at.Advance(step)
		report := engine.LoadReport{Measured: at.Now(), MaxSequences: testSequences, StepTime: step, Models: []engine.LoadedModel{{Name: "m"}}}
		tested.table.ObserveReport("a", report, at.Now())
		worker.grants(at.Now())
		worker.detectStep(state)
		worker.detectStep(state)
		worker.drainEvents()
	}
	until(t, "leased", func() bool {
		worker.drainEvents()
		worker.runCycle(at.Now())
		return worker.registry.queued() > 0
	})
	assert.Assert(t, state.granted.MaxWhenStarting > 0)
	assert.Equal(t, len(state.running), 0, "a prompt went out early in a step")
	wait := worker.prefillCheckAt.Sub(at.Now())
	assert.Assert(t, wait > 0 && wait < step, "the next check is in %s", wait)
	at.Advance(wait)
	worker.runCycle(at.Now())
	assert.Equal(t, len(state.running), state.granted.MaxWhenStarting)
	worker.cancelAll(errStopping)
	assert.NilError(t, worker.Stop())
}
