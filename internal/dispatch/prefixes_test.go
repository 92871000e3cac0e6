package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/engine/cacheindex"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/machine"
	"mallowlatch.example/mallowlatch/internal/schedule"
)

// TestWrongCacheDeltasOnlyReorder applies arbitrary cache deltas and checks that they change neither which runners may take a
// request nor whether it is refused, that a match is never longer than the prompt, and that the number of views is limited.
func TestWrongCacheDeltasOnlyReorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		withoutAffinity, misled := NewTable(), NewTable()
		withoutAffinity.SetAffinity(AffinityNone)
		count := rapid.SampledFrom([]int{1, 5, maxCacheViews + 20}).Draw(t, "runners")
		list := machine.List{}
		for index := range count {
			list.Runners = append(list.Runners, machine.Runner{ID: ident.Runner(fmt.Sprint("r", index)), Zone: "a", State: machine.Live})
		}
		blocks := rapid.SliceOfN(rapid.Uint64(), 0, 8).Draw(t, "prompt")
		names := []uint32{0}
		for _, block := range blocks {
			names = append(names, uint32(block>>32))
		}
		drawNames := rapid.SliceOf(rapid.SampledFrom(names))
		for _, table := range []*Table{withoutAffinity, misled} {
			table.SetMachines(list, now)
			for index, runner := range list.Runners {
				table.ObserveReport(runner.ID, engine.LoadReport{
					Measured: now, MaxSequences: 8, RunningOnline: index % 12, Models: []engine.LoadedModel{{Name: "m"}},
				}, now)
			}
		}
		for index := range rapid.IntRange(0, 2*count).Draw(t, "deltas") {
			misled.ObserveCache(ident.Runner(fmt.Sprint("r", index%(count+3))), cacheindex.Delta{
				Mark:       cacheindex.Mark{Epoch: uint32(index % 2), Position: uint64(index % 7)},
				SampleBits: rapid.UintRange(0, 70).Draw(t, "bits"),
				Reset:      index%3 > 0, Listed: index%5 > 0, More: index%7 == 0,
				Stored: drawNames.Draw(t, "stored"), Removed: drawNames.Draw(t, "removed"),
			}, now)
			if index%4 == 0 {
				misled.Start(ident.Runner(fmt.Sprint("r", index%count)), blocks)
				misled.End(ident.Runner(fmt.Sprint("r", index%count)))
			}
		}
		assert.Assert(t, len(misled.prefixes.views) <= min(maxCacheViews, count), "views of unlisted runners or too many views")
		request := &inference.Request{Model: "m", PrefixBlocks: blocks}
		decide := func(table *Table) (int, bool) {
			snapshot := table.Snapshot("a", nil, "m", blocks, now)
			for _, runner := range snapshot.Runners {
				assert.Assert(t, 0 <= runner.PrefixBlocks && runner.PrefixBlocks <= len(blocks))
			}
			decision, refusal := schedule.Decide(snapshot, request, now, rand.New(rand.NewPCG(1, 1)), schedule.Options{})
			for _, candidate := range decision.Candidates {
				view, _ := table.Runner(candidate.Runner, now)
				assert.Assert(t, view.Report.RunningOnline < 10, "a full runner was chosen")
			}
			return len(decision.Candidates), refusal != nil
		}
		expectedOffered, expectedRefused := decide(withoutAffinity)
		offered, refused := decide(misled)
		assert.Equal(t, offered, expectedOffered)
		assert.Equal(t, refused, expectedRefused)
	})
}
