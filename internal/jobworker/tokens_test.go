package jobworker

import (
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
)

// shareOf returns what the worker sends a node about its runner.
func shareOf(t *testing.T, w *Worker, report *demand.Report) demand.Share {
	t.Helper()
	for _, share := range w.Demand(report).Shares {
		if share.Runner == "r" {
			return share
		}
	}
	t.Fatal("no share for the runner")
	return demand.Share{}
}

// TestOwnerReportsTokensAboveHalfOfMemory has two nodes send long prompts to a runner with items: each is sent what the
// others have there, once all together exceed half of the runner's memory.
func TestOwnerReportsTokensAboveHalfOfMemory(t *testing.T) {
	w, _ := demandWorker(t)
	_, err := w.Runners.StartAt("r", runnertable.PickRequest{Service: "s", Class: runnertable.Batch, Tokens: 10_000}, w.Now())
	assert.NilError(t, err)
	long := func(node ident.Node, sequence int64, tokens int) *demand.Report {
		return &demand.Report{Node: node, Sequence: sequence, Counts: []demand.Count{{Runner: "r", Online: 1, Tokens: tokens}}}
	}
	assert.Equal(t, shareOf(t, w, long("a", 1, 20_000)).TokenCapacity, 0, "the memory is not known")
	w.Runners.SetMemory("r", 100_000)
	assert.Equal(t, shareOf(t, w, long("a", 2, 20_000)).Tokens, 0, "30,000 of 100,000 are below the report threshold")
	share := shareOf(t, w, long("b", 1, 40_000))
	assert.Equal(t, share.Tokens, 30_000)
	assert.Equal(t, share.TokenCapacity, 100_000)
	assert.Equal(t, shareOf(t, w, long("a", 3, 20_000)).Tokens, 50_000)
}
