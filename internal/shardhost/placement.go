package shardhost

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// NodeInfo is what the membership tells of a node with a disk.
type NodeInfo struct {
	Node ident.Node
	Zone ident.Zone
	// Incarnation is that of the node's disk if the membership carries it; empty means unknown.
	Incarnation string
	Alive       bool
	// Draining means that the node is about to stop as planned.
	Draining bool
}

// Places ranks the nodes for a shard by rendezvous hashing: the first ones are in different zones as far as possible,
// and a node that comes or goes moves only the shards that rank it among their first.
func Places(id ident.Shard, nodes []NodeInfo) []NodeInfo {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(first, second NodeInfo) int {
		a, b := score(id, first.Node), score(id, second.Node)
		switch {
		case a > b:
			return -1
		case a < b:
			return 1
		default:
			return 0
		}
	})
	return spreadZones(ranked)
}

func score(id ident.Shard, node ident.Node) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(node))
	_, _ = digest.Write([]byte{0, byte(id >> 24), byte(id >> 16), byte(id >> 8), byte(id)})
	return digest.Sum64()
}

// spreadZones takes the best node of each zone in turn, in rounds.
func spreadZones(ranked []NodeInfo) []NodeInfo {
	var spread []NodeInfo
	for len(ranked) > 0 {
		taken := map[ident.Zone]bool{}
		var rest []NodeInfo
		for _, node := range ranked {
			if taken[node.Zone] {
				rest = append(rest, node)
				continue
			}
			taken[node.Zone] = true
			spread = append(spread, node)
		}
		ranked = rest
	}
	return spread
}
