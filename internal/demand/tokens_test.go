package demand_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
)

// TestTokensOfAllNodesAreAddedUp has two nodes report tokens, and one of an older build report none. The tokens of
// a report expire with it.
func TestTokensOfAllNodesAreAddedUp(t *testing.T) {
	now := time.Unix(1000, 0)
	var ledger demand.Ledger
	ledger.Record(&demand.Report{Node: "a", Sequence: 1, Counts: []demand.Count{{Runner: "r", Online: 2, Tokens: 900}}}, now)
	ledger.Record(&demand.Report{Node: "b", Sequence: 1, Counts: []demand.Count{{Runner: "r", Online: 1, Tokens: 500}, {Runner: "q", Online: 1, Tokens: 7}}}, now)
	ledger.Record(&demand.Report{Node: "older", Sequence: 1, Counts: []demand.Count{{Runner: "r", Online: 4}}}, now)
	assert.Equal(t, ledger.Tokens("r", "", now), 1400)
	assert.Equal(t, ledger.Tokens("r", "a", now), 500)
	assert.Equal(t, ledger.Tokens("r", "older", now), 1400)
	ledger.Record(&demand.Report{Node: "a", Sequence: 2, Counts: []demand.Count{{Runner: "r", Online: 1, Tokens: 450}}}, now.Add(time.Second))
	assert.Equal(t, ledger.Tokens("r", "", now.Add(time.Second)), 950)
	later := now.Add(demand.Lifetime + time.Millisecond)
	assert.Equal(t, ledger.Tokens("r", "", later), 450)
	assert.Equal(t, ledger.Tokens("q", "", later), 0)
}
