package shardmap

import "mallowlatch.example/mallowlatch/internal/ident"

// Holding is what a node holds of the job shards.
type Holding struct {
	// Shards is the number of shards with a copy on the node's disk.
	Shards int
	// Sole is the number of those without a copy on any other node that stays: they would be away if the node stopped
	// now, until its disk returns.
	Sole int
}

// Holdings returns what each node holds. stays reports whether a node lives and is not about to stop.
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
