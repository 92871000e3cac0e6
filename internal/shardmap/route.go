// Package shardmap tells nodes without a disk where the job shards are. Nodes with a disk follow the replica sets in the
// key-value service, which is rate-limited and could not carry a watch by every node; the others ask one of them.
package shardmap

import (
	"maps"
	"slices"
	"sync"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	pb "mallowlatch.example/mallowlatch/internal/shardmap/shardmappb"
)

// ErrNotReady means that the asked node has not read the replica sets itself.
const ErrNotReady = failure.Kind("shardmap: replica sets not read yet")

// Route is the replica set of a shard and, if it is known, its leader.
type Route struct {
	Shard ident.Shard
	// Revision is that of the set in the key-value service: of two sets the one with the larger revision is newer.
	Revision int64
	Members  []ident.Node
	// Leader is empty if unknown.
	Leader ident.Node
}

func (r Route) equal(other Route) bool {
	return r.Revision == other.Revision && r.Leader == other.Leader && slices.Equal(r.Members, other.Members)
}

// merged returns what is known after another node told of the shard. An older set never replaces a newer one, so it does
// no harm to ask a node that lags; a node that does not know the leader takes nothing away.
func (r Route) merged(told Route) Route {
	if told.Revision < r.Revision {
		return r
	}
	if told.Leader == "" && slices.Contains(told.Members, r.Leader) {
		told.Leader = r.Leader
	}
	return told
}

// first returns the node to ask first: the leader if it is a member, else any member.
func (r Route) first() (ident.Node, bool) {
	if slices.Contains(r.Members, r.Leader) {
		return r.Leader, true
	}
	if len(r.Members) == 0 {
		return "", false
	}
	return r.Members[0], true
}

// table holds the routes that a node was told. It is safe for concurrent use.
type table struct {
	mutex  sync.Mutex
	routes map[ident.Shard]Route
}

func (t *table) first(shard ident.Shard) (ident.Node, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.routes[shard].first()
}

func (t *table) all() []Route {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Collect(maps.Values(t.routes))
}

// merge takes routes in and reports whether any changed.
func (t *table) merge(told []Route) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changed := false
	for _, route := range told {
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
