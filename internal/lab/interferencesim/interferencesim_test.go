package interferencesim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/inference"
)

func short(requests int) Options {
	options := Default()
	options.Requests = requests
	return options
}

// TestRunIsRepeatable checks that a seed gives the same figures again, and another seed others.
func TestRunIsRepeatable(t *testing.T) {
	options := short(300)
	first := Run(options)
	assert.DeepEqual(t, Run(options), first)
	options.Seed++
	other := Run(options)
	assert.Assert(t, other[0].FirstTokenP50 != first[0].FirstTokenP50)
}

// TestEveryArmServesTheSameWork checks that no arm loses an online request or a token of one, in every pattern.
func TestEveryArmServesTheSameWork(t *testing.T) {
	for _, pattern := range Patterns() {
		options := short(400)
		pattern.Shape(&options)
		requests, tokens := 0, int64(0)
		for _, planned := range arrivals(options) {
			if planned.at >= warmup {
				requests++
				tokens += int64(planned.answer)
			}
		}
		for _, arm := range append(references(), compared()...) {
			if !arm.online {
				continue
			}
			fleet := newFleet(options, arm)
			found := fleet.run()
			assert.Equal(t, len(found.firstTokens), requests, "%s, %s", pattern.Name, arm.name)
			gaps := int64(0)
			for _, count := range found.gaps {
				gaps += count
			}
			assert.Equal(t, gaps, tokens-int64(requests), "%s, %s", pattern.Name, arm.name)
		}
	}
}

// TestWorkerKeepsWithinItsCredits looks at every turn of the workers while online load comes in steps.
func TestWorkerKeepsWithinItsCredits(t *testing.T) {
	options := short(600)
	options.StepEvery = time.Second
	options.RatePerRunner = 10
	fleet := newFleet(options, arm{online: true, startBatch: startWorkers})
	var look func()
	looks := 0
	look = func() {
		for _, worker := range fleet.workers {
			for _, state := range worker.owned {
				held := 0
				for _, running := range state.running {
					if !running.preempted {
						held++
					}
				}
				looks++
				assert.Assert(t, held <= max(state.credits.MaxRunning, 0), "%d runs, %d may run on", held, state.credits.MaxRunning)
			}
		}
		fleet.clock.After(3*time.Millisecond, look)
	}
	look()
	found := fleet.run()
	assert.Assert(t, looks > 1000)
	assert.Assert(t, found.items > 100, "%d items", found.items)
	assert.Assert(t, found.preemptions > 0, "nothing was preempted")
}

// TestCountsReachTheOwner ends with every count told and true once online work is over.
func TestCountsReachTheOwner(t *testing.T) {
	fleet := newFleet(short(300), arm{online: true, startBatch: startWorkers})
	fleet.run()
	assert.Assert(t, fleet.measured.counters.Tokens[inference.Online] > 0)
	for _, worker := range fleet.workers {
		for _, state := range worker.owned {
			assert.Equal(t, state.runner.online, 0)
			for node, count := range state.counts {
				assert.Equal(t, count, 0, "runner %d, node %d", state.runner.index, node)
			}
		}
	}
}

// TestSystemKeepsItsPlaceOnTheFrontier holds what the controller has reached: nearly all of the share that the free sequence
// leaves, at less harm to the median and to p95 than engine priority alone. p99 needs more requests than a test has.
func TestSystemKeepsItsPlaceOnTheFrontier(t *testing.T) {
	results := map[string]Result{}
	for _, result := range Run(short(6000)) {
		results[result.Arm] = result
	}
	system, priority := results[System], results[PriorityOnly]
	assert.Assert(t, system.ShareOfBound >= 0.935, "share %.3f", system.ShareOfBound)
	assert.Assert(t, system.HarmP50 <= priority.HarmP50, "harm at p50 %.3f, of priority only %.3f", system.HarmP50, priority.HarmP50)
	assert.Assert(t, system.HarmP95 <= priority.HarmP95-0.015, "harm at p95 %.3f, of priority only %.3f", system.HarmP95, priority.HarmP95)
	assert.Assert(t, results[Promptless].HarmP95 < system.HarmP95, "prompts cost nothing")
}
