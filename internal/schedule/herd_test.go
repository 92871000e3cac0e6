package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// fleet simulates many dispatchers that decide on the same stale load reports.
type fleet struct {
	random      *rand.Rand
	dispatchers int
	perRound    int
	load        []int
	choose      func([]Candidate, *rand.Rand) Candidate
}

const (
	simulatedRunners  = 24
	simulatedCapacity = 512
)

var simulationStart = time.Unix(1_800_000_000, 0)

// round makes every dispatcher place its requests by the load at the start of the round. It returns the largest number of
// requests placed on one runner as a multiple of the mean.
func (f *fleet) round() float64 {
	placed := make([]int, len(f.load))
	request := &inference.Request{Model: "m"}
	for range f.dispatchers {
		snapshot := f.snapshot()
		for range f.perRound {
			candidates, refusal := filter(snapshot, request, simulationStart, Options{})
			if refusal != nil {
				continue
			}
			scoreAll(snapshot, request, simulationStart, candidates)
			chosen := f.choose(candidates, f.random).index
			snapshot.Runners[chosen].OwnInFlight++
			placed[chosen]++
		}
	}
	most, total := 0, 0
	for runner, count := range placed {
		most = max(most, count)
		total += count
		f.load[runner] = (f.load[runner] + count) / 2
	}
	return float64(most) * float64(len(placed)) / float64(total)
}

func (f *fleet) snapshot() *Snapshot {
	snapshot := &Snapshot{Zone: "a"}
	for runner, running := range f.load {
		snapshot.Runners = append(snapshot.Runners, Runner{
			ID: ident.Runner(rune('a' + runner)), Zone: "a", SlowStart: 1,
			Report: &engine.LoadReport{Measured: simulationStart, MaxSequences: simulatedCapacity, RunningOnline: running, Models: []engine.LoadedModel{{Name: "m"}}},
		})
	}
	return snapshot
}

func simulate(seed uint64, choose func([]Candidate, *rand.Rand) Candidate) (worst float64) {
	simulated := &fleet{random: rand.New(rand.NewPCG(seed, seed)), dispatchers: 40, perRound: 20, choose: choose}
	for range simulatedRunners {
		simulated.load = append(simulated.load, simulated.random.IntN(simulatedCapacity/2))
	}
	for range 10 {
		worst = max(worst, simulated.round())
	}
	return worst
}

// TestNoHerdingOnStaleSnapshots checks that 40 dispatchers with the same stale load reports spread their requests. As a
// control it checks that without the random choice they overload the same runner.
func TestNoHerdingOnStaleSnapshots(t *testing.T) {
	const bound, herd = 3.0, 6.0
	for seed := range uint64(3) {
		drawn := simulate(seed, twoChoices)
		assert.Assert(t, drawn < bound, "seed %d: most loaded runner got %.2f times the mean", seed, drawn)
		best := simulate(seed, leastLoaded)
		t.Logf("seed %d: two random choices %.2f, always the least loaded %.2f times the mean", seed, drawn, best)
		assert.Assert(t, best > herd, "seed %d: control without randomness got only %.2f", seed, best)
	}
}

// leastLoaded is the control: it always chooses the runner with the best load score.
func leastLoaded(candidates []Candidate, _ *rand.Rand) Candidate {
	best := candidates[0]
	for _, candidate := range candidates {
		if candidate.Load > best.Load || (candidate.Load == best.Load && candidate.index < best.index) {
			best = candidate
		}
	}
	return best
}

func twoChoices(candidates []Candidate, random *rand.Rand) Candidate {
	return pickTwoChoices(candidates, random)[0]
}
