package shardmap

import (
	"cmp"
	"slices"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// version identifies the last change, in the numbering of one server, that a reader has received. The zero value means that
// it has received none.
type version struct {
	source, sequence uint64
}

// history assigns sequence numbers to the route changes observed by one server.
type history struct {
	version version
	routes  map[ident.Shard]versionedRoute
}

// versionedRoute is a route and the sequence number of its last change.
type versionedRoute struct {
	route   Route
	changed uint64
}

func newHistory(source uint64) *history {
	return &history{version: version{source: source}, routes: map[ident.Shard]versionedRoute{}}
}

// observe records the current routes. All routes that changed since the previous call get the same sequence number.
func (h *history) observe(routes []Route) {
	next := h.version.sequence + 1
	for _, route := range routes {
		known, found := h.routes[route.Shard]
		if found && known.route.equal(route) {
			continue
		}
		h.routes[route.Shard] = versionedRoute{route: route, changed: next}
		h.version.sequence = next
	}
}

// since returns the routes that changed after a version, sorted by shard. It returns all routes if the version is from
// another history.
func (h *history) since(known version) []Route {
	after := known.sequence
	if known.source != h.version.source || after > h.version.sequence {
		after = 0
	}
	var routes []Route
	for _, entry := range h.routes {
		if entry.changed > after {
			routes = append(routes, entry.route)
		}
	}
	slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(a.Shard, b.Shard) })
	return routes
}
