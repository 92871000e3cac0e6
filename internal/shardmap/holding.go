package shardmap

import "mallowlatch.example/mallowlatch/internal/ident"

// Holding counts the copies of job shards on a node.
type Holding struct {
	// Shards is the number of shards with a copy on the node's disk.
	Shards int
	// Sole is the number of those shards without a copy on any other live node that is not about to stop. They would be
	// unavailable if the node stopped now, until its disk is back.
	Sole int
}

// Holdings returns the shard counts of each node. stays reports whether a node is live and not about to stop.
func Holdings(routes []Route, stays func(ident.Node) bool) map[ident.Node]Holding {
	holdings := map[ident.Node]Holding{}
	for _, route := range routes {
		staying := 0
		for _, member := range route.Members {
			if stays(member) {
				staying++
			}
		}
		for _, member := range route.Members {
			others := staying
			if stays(member) {
				others--
			}
			held := holdings[member]
			held.Shards++
			if others == 0 {
				held.Sole++
			}
			holdings[member] = held
		}
	}
	return holdings
}
