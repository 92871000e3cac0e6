package node

import (
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shardhost"
	"mallowlatch.example/mallowlatch/internal/shardmap"
)

// leaderLookup finds the node to ask first for a shard: the directory of a node with a disk, or what another node told.
type leaderLookup interface {
	Leader(shard ident.Shard) (ident.Node, bool)
}

// shardDirectory tells the job client how many shards there are and whom to ask first.
type shardDirectory struct {
	shards  int
	leaders leaderLookup
}

// Shards returns the fixed number of shards.
func (d shardDirectory) Shards() int { return d.shards }

// Leader returns the node thought to lead a shard.
func (d shardDirectory) Leader(shard ident.Shard) (ident.Node, bool) { return d.leaders.Leader(shard) }

// knownRoutes shows the directory of this node's shard host to the nodes without a disk.
type knownRoutes struct{ directory *shardhost.Directory }

// Routes returns the routes, and false until the replica sets were read.
func (k knownRoutes) Routes() ([]shardmap.Route, bool) {
	known, complete := k.directory.Known()
	routes := make([]shardmap.Route, len(known))
	for index, each := range known {
		routes[index] = shardmap.Route{Shard: each.Shard, Revision: each.Revision, Leader: each.Leader}
		for _, member := range each.Configuration.Members {
			routes[index].Members = append(routes[index].Members, member.Node)
		}
	}
	return routes, complete
}

// shardRoutes returns where the job shards are as far as this node knows: by its own watch or by another node's word.
func (n *Node) shardRoutes() []shardmap.Route {
	if n.storage == nil {
		return n.routes.Routes()
	}
	routes, _ := knownRoutes{directory: n.storage.host.Directory()}.Routes()
	return routes
}
