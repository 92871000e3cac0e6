// Package shardmap distributes the locations of the job shards (replica sets and leaders) to nodes without a disk. Nodes with
// a disk watch the replica sets in the key-value service, which is rate-limited and could not serve a watch by every node,
// and run a Server. The other nodes run a Client, which polls one of these servers for the changes since its last poll.
// The package also counts the shard copies on each node.
package shardmap

import (
	"maps"
	"slices"
	"sync"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	pb "mallowlatch.example/mallowlatch/internal/shardmap/shardmappb"
)

// ErrNotReady means that the polled node has not read the replica sets yet.
const ErrNotReady = failure.Kind("shardmap: replica sets not read yet")

// Route is the replica set of a shard and, if it is known, its leader.
type Route struct {
	Shard ident.Shard
	// Revision is the revision of the replica set in the key-value service; a larger revision is newer.
	Revision int64
	Members  []ident.Node
	// Leader is empty if unknown.
	Leader ident.Node
}

func (r Route) equal(other Route) bool {
	return r.Revision == other.Revision && r.Leader == other.Leader && slices.Equal(r.Members, other.Members)
}

// merged returns the route after a route received from another node is applied. An older replica set never replaces a newer
// one, so polling a lagging node is safe. If the received leader is unknown, the current leader is kept if it is still a
// member.
func (r Route) merged(received Route) Route {
	if received.Revision < r.Revision {
		return r
	}
	if received.Leader == "" && slices.Contains(received.Members, r.Leader) {
		received.Leader = r.Leader
	}
	return received
}

// preferred returns the node to contact first: the leader if it is a member, otherwise the first member.
func (r Route) preferred() (ident.Node, bool) {
	if slices.Contains(r.Members, r.Leader) {
		return r.Leader, true
	}
	if len(r.Members) == 0 {
		return "", false
	}
	return r.Members[0], true
}

// table stores the routes received from other nodes. It is safe for concurrent use.
type table struct {
	mutex  sync.Mutex
	routes map[ident.Shard]Route
}

func (t *table) preferred(shard ident.Shard) (ident.Node, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.routes[shard].preferred()
}

func (t *table) all() []Route {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Collect(maps.Values(t.routes))
}

// merge applies received routes and reports whether any route changed.
func (t *table) merge(received []Route) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changed := false
	for _, route := range received {
		known := t.routes[route.Shard]
		merged := known.merged(route)
		merged.Shard = route.Shard
		changed = changed || !merged.equal(known)
		t.routes[route.Shard] = merged
	}
	return changed
}

func encodeRoutes(routes []Route) []*pb.Route {
	encoded := make([]*pb.Route, len(routes))
	for index, route := range routes {
		members := make([]string, len(route.Members))
		for position, member := range route.Members {
			members[position] = string(member)
		}
		encoded[index] = &pb.Route{
			Shard:    uint32(route.Shard),
			Revision: route.Revision,
			Members:  members,
			Leader:   string(route.Leader),
		}
	}
	return encoded
}

func decodeRoutes(encoded []*pb.Route) []Route {
	routes := make([]Route, len(encoded))
	for index, route := range encoded {
		members := make([]ident.Node, len(route.GetMembers()))
		for position, member := range route.GetMembers() {
			members[position] = ident.Node(member)
		}
		routes[index] = Route{
			Shard:    ident.Shard(route.GetShard()),
			Revision: route.GetRevision(),
			Members:  members,
			Leader:   ident.Node(route.GetLeader()),
		}
	}
	return routes
}
