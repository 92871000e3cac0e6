package node

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/dispatch/exchange"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/shardhost"
	"mallowlatch.example/mallowlatch/internal/shardmap"
)

// peers shows the membership to the other parts in the forms they ask for.
type peers struct {
	self    ident.Node
	members *membership.Service
}

// Peers returns the live nodes without this one, for the distribution of configuration.
func (p peers) Peers() []confsync.Peer {
	var found []confsync.Peer
	for _, member := range p.live() {
		found = append(found, confsync.Peer{Node: member.Node, Zone: member.Zone})
	}
	return found
}

// live returns the members that take part, without this node. Leaving ones do until they are gone.
func (p peers) live() []membership.Member {
	var live []membership.Member
	for _, member := range p.members.View().Members {
		if member.Node == p.self || !takesPart(member.State) {
			continue
		}
		live = append(live, member)
	}
	return live
}

// dialled says whether calls may still go to a node at an address. An address without a node is that of a seed.
func (p peers) dialled(node ident.Node, address string) bool {
	if node == "" {
		return true
	}
	current, known := p.members.Address(node)
	return known && current == address
}

func takesPart(state membership.State) bool {
	return state == membership.Alive || state == membership.Leaving
}

// nodes returns the names of the live nodes with this one, over which shared limits are split.
func (p peers) nodes() []ident.Node {
	nodes := []ident.Node{p.self}
	for _, member := range p.live() {
		nodes = append(nodes, member.Node)
	}
	return nodes
}

// disks returns the nodes with a disk, this one included, for the placement of shard replicas.
func (p peers) disks() []shardhost.NodeInfo {
	var disks []shardhost.NodeInfo
	for _, member := range p.members.View().Members {
		if !member.Attributes.HasDisk {
			continue
		}
		disks = append(disks, shardhost.NodeInfo{
			Node:     member.Node,
			Zone:     member.Zone,
			Alive:    takesPart(member.State),
			Draining: member.State == membership.Leaving,
		})
	}
	return disks
}

// routePeers returns the live nodes with a disk, which know where the shards are.
func (p peers) routePeers() []shardmap.Peer {
	var found []shardmap.Peer
	for _, member := range p.live() {
		if member.Attributes.HasDisk {
			found = append(found, shardmap.Peer{Node: member.Node, Zone: member.Zone})
		}
	}
	return found
}

// restartMargin is more than the clocks of two nodes may differ by, so that a process is not taken for a later one.
const restartMargin = 5 * time.Second

// restartedSince reports whether the process that was a node at a time is gone for good, since the node has started anew
// after it. A node that is only silent may still finish what it began.
func (p peers) restartedSince(node ident.Node, since time.Time) bool {
	member, known := p.members.View().Member(node)
	if !known {
		return false
	}
	started := time.UnixMilli(int64(member.Started))
	return started.After(since.Add(restartMargin))
}

// runnerPeers adds the owners of runners.
type runnerPeers struct {
	peers
	owners ownerLookup
}

// ownerLookup finds the node that owns a runner.
type ownerLookup interface {
	Owner(runner ident.Runner) (ident.Node, bool)
}

// Owner returns the node that owns a runner, if it is known.
func (p runnerPeers) Owner(runner ident.Runner) (ident.Node, bool) { return p.owners.Owner(runner) }

// Peers returns the live nodes without this one, for the exchange of runner state.
func (p runnerPeers) Peers() []exchange.Peer {
	var found []exchange.Peer
	for _, member := range p.live() {
		found = append(found, exchange.Peer{Node: member.Node, Zone: member.Zone})
	}
	return found
}
