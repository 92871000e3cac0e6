package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

func drawRunner(t *rapid.T, index int) Runner {
	runner := Runner{
		ID:            ident.Runner(fmt.Sprint("r", index)),
		Zone:          rapid.SampledFrom([]ident.Zone{"a", "b", "c"}).Draw(t, "zone"),
		Leaving:       rapid.IntRange(0, 3).Draw(t, "leaving") == 1,
		Ejected:       rapid.IntRange(0, 3).Draw(t, "ejected") == 1,
		SlowStart:     rapid.Float64Range(0.1, 1).Draw(t, "slow start"),
		OwnInFlight:   rapid.IntRange(0, 20).Draw(t, "own"),
		PeersInFlight: rapid.IntRange(0, 20).Draw(t, "peers"),
		PrefixBlocks:  rapid.IntRange(0, 4).Draw(t, "blocks"),
	}
	if rapid.IntRange(0, 3).Draw(t, "busy") == 1 {
		runner.BusyUntil = simulationStart.Add(time.Second)
	}
	if rapid.IntRange(0, 4).Draw(t, "reported") > 0 {
		runner.Report = &engine.LoadReport{
			Measured:      simulationStart.Add(-time.Duration(rapid.IntRange(0, 20000).Draw(t, "age")) * time.Millisecond),
			RunningOnline: rapid.IntRange(0, 20).Draw(t, "running"),
			MaxSequences:  rapid.IntRange(0, 32).Draw(t, "sequences"),
			MemoryUsed:    rapid.Float64Range(0, 1).Draw(t, "memory"),
			MemoryTokens:  rapid.IntRange(0, 10000).Draw(t, "memory tokens"),
			StepTime:      time.Duration(rapid.IntRange(0, 100).Draw(t, "step")) * time.Millisecond,
			Models:        []engine.LoadedModel{{Name: rapid.SampledFrom([]string{"m", "other"}).Draw(t, "model")}},
			Adapters:      rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y"}), 0, 2).Draw(t, "adapters"),
		}
	}
	return runner
}

func drawRequest(t *rapid.T) *inference.Request {
	request := &inference.Request{
		Model:        "m",
		Adapter:      rapid.SampledFrom([]string{"", "x"}).Draw(t, "adapter"),
		PromptTokens: rapid.IntRange(0, 5000).Draw(t, "prompt"),
		MaxTokens:    rapid.IntRange(0, 500).Draw(t, "max tokens"),
		PrefixBlocks: make([]uint64, rapid.IntRange(0, 4).Draw(t, "prompt blocks")),
	}
	if rapid.Bool().Draw(t, "has deadline") {
		request.Deadline = simulationStart.Add(time.Duration(rapid.IntRange(-50, 500).Draw(t, "deadline")) * time.Millisecond)
	}
	return request
}

// TestDecisionNeverOffersAnUnfitRunner checks every candidate, not only the first, because retries use the others.
func TestDecisionNeverOffersAnUnfitRunner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := &Snapshot{Zone: "a", Distance: map[ident.Zone]float64{"b": 2}}
		for index := range rapid.IntRange(0, 12).Draw(t, "runners") {
			snapshot.Runners = append(snapshot.Runners, drawRunner(t, index))
		}
		request := drawRequest(t)
		options := Options{
			AllowedZones: rapid.SampledFrom([][]ident.Zone{nil, {"a"}, {"a", "b"}}).Draw(t, "allowed"),
			Exclude:      func(runner ident.Runner) bool { return runner == "r1" },
		}
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "random")))
		decision, refusal := Decide(snapshot, request, simulationStart, random, options)
		assert.Assert(t, (refusal == nil) == (len(decision.Candidates) > 0))
		if refusal != nil {
			assert.Assert(t, refusal.RetryAfter > 0 && refusal.Failure().RetryAfter > 0)
			assert.Equal(t, refusal.Failure().Outcome.String(), "true")
		}
		seen := map[ident.Runner]bool{}
		for _, candidate := range decision.Candidates {
			checkCandidate(t, candidate, &snapshot.Runners[candidate.index], request, options)
			assert.Assert(t, !seen[candidate.Runner])
			seen[candidate.Runner] = true
		}
	})
}

func checkCandidate(t *rapid.T, candidate Candidate, runner *Runner, request *inference.Request, options Options) {
	assert.Equal(t, candidate.Runner, runner.ID)
	assert.Assert(t, !runner.Leaving && !runner.Ejected && runner.ID != "r1")
	assert.Assert(t, runner.hasModel(request.Model))
	assert.Assert(t, len(options.AllowedZones) == 0 || slices.Contains(options.AllowedZones, runner.Zone))
	assert.Assert(t, runner.BusyUntil.IsZero())
	assert.Assert(t, request.Deadline.IsZero() || request.Deadline.After(simulationStart))
	assert.Assert(t, candidate.Fit >= 0 && candidate.Fit <= 1, "fit %v", candidate.Fit)
	assert.Assert(t, candidate.Load >= 0 && candidate.Load <= 1, "load %v", candidate.Load)
}

// TestPrefixHistoryAgainstPlainModel compares the history with a map of the last time each block was sent to each runner.
// The limit is high enough that nothing is evicted.
func TestPrefixHistoryAgainstPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := NewPrefixHistory(100)
		type sentBlock struct {
			runner ident.Runner
			block  uint64
		}
		sentAt := map[sentBlock]time.Time{}
		runners := []ident.Runner{"a", "b", "c"}
		drawBlocks := rapid.SliceOfN(rapid.Uint64Range(1, 6), 0, 5)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			runner := rapid.SampledFrom(runners).Draw(t, "runner")
			blocks, now := drawBlocks.Draw(t, "sent"), simulationStart.Add(time.Duration(step)*time.Second)
			history.Sent(runner, blocks, now)
			for _, block := range blocks {
				sentAt[sentBlock{runner, block}] = now
			}
		}
		blocks := drawBlocks.Draw(t, "prompt")
		freshAfter := simulationStart.Add(time.Duration(rapid.IntRange(-1, 40).Draw(t, "fresh after")) * time.Second)
		matched := history.Match(blocks, freshAfter)
		for _, runner := range runners {
			expected := PrefixMatch{}
			for _, block := range blocks {
				at, sent := sentAt[sentBlock{runner, block}]
				if !sent {
					break
				}
				if expected.Fresh == expected.Depth && at.After(freshAfter) {
					expected.Fresh++
				}
				expected.Depth++
			}
			assert.Equal(t, matched[runner], expected, "runner %s", runner)
		}
	})
}

// TestPrefixHistoryIsBounded exceeds the limit of blocks and the limit of runners per block.
func TestPrefixHistoryIsBounded(t *testing.T) {
	history := NewPrefixHistory(10)
	for block := range uint64(100) {
		history.Sent("a", []uint64{block}, simulationStart)
	}
	assert.Equal(t, history.Len(), 10)
	assert.Equal(t, history.Match([]uint64{99}, simulationStart)["a"].Depth, 1)
	assert.Equal(t, len(history.Match([]uint64{1}, simulationStart)), 0)
	for runner := range 3 * maxRunnersPerBlock {
		history.Sent(ident.Runner(rune('a'+runner)), []uint64{99}, simulationStart)
	}
	assert.Equal(t, len(history.Match([]uint64{99}, simulationStart)), maxRunnersPerBlock)
}

// TestPrefixAffinityYieldsUnderLoad checks that the runner with the cached prefix is chosen while it has free capacity, and
// not chosen when it is nearly full.
func TestPrefixAffinityYieldsUnderLoad(t *testing.T) {
	newSnapshot := func(running int) *Snapshot {
		snapshot := &Snapshot{Zone: "a", Distance: map[ident.Zone]float64{"b": 1}}
		for index := range 10 {
			runner := Runner{ID: ident.Runner(fmt.Sprint("r", index)), Zone: "a", SlowStart: 1, Report: &engine.LoadReport{
				Measured: simulationStart, MaxSequences: 10, Models: []engine.LoadedModel{{Name: "m"}},
			}}
			snapshot.Runners = append(snapshot.Runners, runner)
		}
		snapshot.Runners[3].PrefixBlocks = 4
		snapshot.Runners[3].OwnInFlight = running
		return snapshot
	}
	request := &inference.Request{Model: "m", PrefixBlocks: []uint64{1, 2, 3, 4}}
	random := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		decision, _ := Decide(newSnapshot(2), request, simulationStart, random, Options{})
		assert.Equal(t, decision.Candidates[0].Runner, ident.Runner("r3"))
		decision, _ = Decide(newSnapshot(9), request, simulationStart, random, Options{})
		assert.Assert(t, decision.Candidates[0].Runner != "r3")
	}
}

// TestRunnerWithFreedCapacityIsUsed checks that requests that ended after the newest report of a full runner are subtracted
// from it, so that the runner takes new requests before its next report.
func TestRunnerWithFreedCapacityIsUsed(t *testing.T) {
	runner := Runner{ID: "r", SlowStart: 1, OwnInFlight: 10, Report: &engine.LoadReport{
		Measured: simulationStart, RunningOnline: 8, WaitingOnline: 2, MaxSequences: 8, Models: []engine.LoadedModel{{Name: "m"}},
	}}
	request := &inference.Request{Model: "m"}
	random := rand.New(rand.NewPCG(1, 1))
	_, refusal := Decide(&Snapshot{Runners: []Runner{runner}}, request, simulationStart, random, Options{})
	assert.Equal(t, refusal.Reason, ReasonOverloaded)
	runner.OwnInFlight, runner.SinceReport = 8, -2
	_, refusal = Decide(&Snapshot{Runners: []Runner{runner}}, request, simulationStart, random, Options{})
	assert.Assert(t, refusal == nil)
	runner.OwnInFlight, runner.SinceReport = 12, 2
	_, refusal = Decide(&Snapshot{Runners: []Runner{runner}}, request, simulationStart, random, Options{})
	assert.Equal(t, refusal.Reason, ReasonOverloaded)
}
