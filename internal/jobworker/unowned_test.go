package jobworker

import (
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
)

// TestWorkAtUnownedRunnersIsReported has two fronts take this worker for the owner of a runner that it does not own: each
// is sent the other's work there, which no other worker knows.
func TestWorkAtUnownedRunnersIsReported(t *testing.T) {
	w, _ := demandWorker(t)
	w.Demand(&demand.Report{Node: "front", Sequence: 1, Counts: []demand.Count{{Runner: "other", Online: 3}}})
	answer := w.Demand(&demand.Report{Node: "second", Sequence: 1, Counts: []demand.Count{{Runner: "other", Online: 1}, {Runner: "unknown", Online: 1}}})
	assert.DeepEqual(t, answer.Shares, []demand.Share{{Runner: "r", Batch: 4}, {Runner: "other", Others: 3}})
}
