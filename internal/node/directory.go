package node

import (
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shardhost"
)

// shardDirectory tells the job client how many shards there are and whom to ask first.
type shardDirectory struct {
	shards  int
	leaders *shardhost.Directory
}

// Shards returns the fixed number of shards.
func (d shardDirectory) Shards() int { return d.shards }

// Leader returns the node thought to lead a shard.
func (d shardDirectory) Leader(shard ident.Shard) (ident.Node, bool) { return d.leaders.Leader(shard) }
