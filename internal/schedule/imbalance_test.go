package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// TestImbalancedRunnerIsNotChosenForItsCache checks that a runner that caches the prompt is chosen while its online work is
// near the mean of its zone, whatever that mean is and even if other zones are idle, and that a less loaded runner of the
// same zone is chosen when it is far above the mean.
func TestImbalancedRunnerIsNotChosenForItsCache(t *testing.T) {
	request := &inference.Request{Model: "m", PrefixBlocks: []uint64{1, 2, 3, 4}}
	random := rand.New(rand.NewPCG(1, 1))
	chosen := func(holder, others int) ident.Runner {
		snapshot := &Snapshot{Zone: "a", Distance: map[ident.Zone]float64{"b": 10}}
		for index := range 20 {
			runner := Runner{ID: ident.Runner(fmt.Sprint("r", index)), Zone: "a", SlowStart: 1, OwnInFlight: others}
			if index >= 10 {
				runner.Zone, runner.OwnInFlight = "b", 0
			}
			runner.Report = &engine.LoadReport{Measured: simulationStart, MaxSequences: 64, Models: []engine.LoadedModel{{Name: "m"}}}
			snapshot.Runners = append(snapshot.Runners, runner)
		}
		snapshot.Runners[3].PrefixBlocks, snapshot.Runners[3].OwnInFlight = 4, holder
		decision, refusal := Decide(snapshot, request, simulationStart, random, Options{})
		assert.Assert(t, refusal == nil)
		return decision.Candidates[0].Runner
	}
	for range 50 {
		assert.Equal(t, chosen(4, 0), ident.Runner("r3"))
		assert.Equal(t, chosen(30, 25), ident.Runner("r3"))
		assert.Assert(t, chosen(12, 1) != "r3")
		assert.Assert(t, len(chosen(12, 1)) == 2, "the request was sent to another zone")
	}
}
