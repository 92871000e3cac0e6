package shardhost_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shardhost"
)

// The replicas of a shard are where Places ranked them, so a change of these values would move the data of a whole
// fleet at once.
func TestPlacesNeverChange(t *testing.T) {
	nodes := []shardhost.NodeInfo{
		{Node: "north-1", Zone: "north"},
		{Node: "north-2", Zone: "north"},
		{Node: "south-1", Zone: "south"},
		{Node: "south-2", Zone: "south"},
		{Node: "west-1", Zone: "west"},
	}
	tests := map[ident.Shard][]ident.Node{
		0:     {"west-1", "north-2", "south-1", "north-1", "south-2"},
		1:     {"south-1", "north-2", "west-1", "north-1", "south-2"},
		7:     {"west-1", "north-2", "south-2", "north-1", "south-1"},
		63:    {"south-1", "west-1", "north-1", "south-2", "north-2"},
		300:   {"north-2", "south-1", "west-1", "north-1", "south-2"},
		70000: {"south-2", "north-1", "west-1", "north-2", "south-1"},
	}
	for id, expected := range tests {
		var places []ident.Node
		for _, place := range shardhost.Places(id, nodes) {
			places = append(places, place.Node)
		}
		assert.DeepEqual(t, places, expected)
	}
}
