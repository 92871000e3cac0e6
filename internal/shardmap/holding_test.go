package shardmap

import (
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// TestHoldingsCountSoleCopies checks that with node c down, node a has the only available copy of shards 1 and 2.
func TestHoldingsCountSoleCopies(t *testing.T) {
	routes := []Route{
		{Shard: 0, Members: []ident.Node{"a", "b", "c"}},
		{Shard: 1, Members: []ident.Node{"a"}},
		{Shard: 2, Members: []ident.Node{"a", "c"}},
	}
	holdings := Holdings(routes, func(node ident.Node) bool { return node != "c" })
	assert.DeepEqual(t, holdings, map[ident.Node]Holding{
		"a": {Shards: 3, Sole: 2},
		"b": {Shards: 1},
		"c": {Shards: 2},
	})
}
