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

// TestOneTokenOfAStepIsItsFirst lets many runs read the tokens of some steps at once.
func TestOneTokenOfAStepIsItsFirst(t *testing.T) {
	var watch stepWatch
	moment := time.Unix(1_800_000_000, 0)
	assert.Assert(t, !watch.token(moment), "a step is noticed while its time is not known")
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

// TestPromptsGoOutJustBeforeAStepEnds follows the steps of an engine beside online work by its tokens: nothing is started
// early in a step though there are credits and items, the timer is set for its end, and then the credits are filled.
func TestPromptsGoOutJustBeforeAStepEnds(t *testing.T) {
	const step = 20 * time.Millisecond
	at := newClock()
	engines := map[ident.Runner]*fakeEngine{"a": newEngine(5, rand.New(rand.NewPCG(1, 1)), false)}
	engines["a"].gate = make(chan struct{})
	store := newStore(newItems(10, 0), time.Minute, at.Now, rand.New(rand.NewPCG(1, 2)), false)
	tested := newSite(store, engines, at.Now)
	worker := tested.worker
	// The test takes the place of the worker's loop.
	worker.tomb.Go(func() error { <-worker.tomb.Dying(); return nil })
	tested.table.Start("a", nil)
	worker.readOwnership()
	state := worker.runners["a"]
	for range 50 {
		at.Advance(step)
		report := engine.LoadReport{Measured: at.Now(), MaxSequences: testSequences, StepTime: step, Models: []engine.LoadedModel{{Name: "m"}}}
		tested.table.ObserveReport("a", report, at.Now())
		worker.grants(at.Now())
		worker.watchSteps(state)
		worker.watchSteps(state)
		worker.drainEvents()
	}
	until(t, "leased", func() bool {
		worker.drainEvents()
		worker.turn(at.Now())
		return worker.book.queued() > 0
	})
	assert.Assert(t, state.granted.MaxWhenStarting > 0)
	assert.Equal(t, len(state.running), 0, "a prompt went out early in a step")
	wait := worker.lookAt.Sub(at.Now())
	assert.Assert(t, wait > 0 && wait < step, "the next look is in %s", wait)
	at.Advance(wait)
	worker.turn(at.Now())
	assert.Equal(t, len(state.running), state.granted.MaxWhenStarting)
	worker.cancelAll(errStopping)
	assert.NilError(t, worker.Stop())
}
