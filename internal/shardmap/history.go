package shardmap

import (
	"cmp"
	"slices"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// version says up to what change of one server a reader knows the routes. Its zero value knows nothing.
type version struct {
	source, sequence uint64
}

// history numbers the changes of the routes that one server sees.
type history struct {
	version version
	routes  map[ident.Shard]numbered
}

// numbered is a route and the sequence at which it last changed.
type numbered struct {
	route   Route
	changed uint64
}

func newHistory(source uint64) *history {
	return &history{version: version{source: source}, routes: map[ident.Shard]numbered{}}
}

// observe takes in the routes as they are now. All that changed since the last time share one number.
func (h *history) observe(routes []Route) {
	next := h.version.sequence + 1
	for _, route := range routes {
		known, found := h.routes[route.Shard]
		if found && known.route.equal(route) {
			continue
		}
		h.routes[route.Shard] = numbered{route: route, changed: next}
		h.version.sequence = next
	}
}

// since returns the routes, in order, that changed after a version; all of them if it is not of this history.
func (h *history) since(known version) []Route {
	after := known.sequence
	if known.source != h.version.source || after > h.version.sequence {
		after = 0
	}
	var routes []Route
	for _, each := range h.routes {
		if each.changed > after {
			routes = append(routes, each.route)
		}
	}
	slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(a.Shard, b.Shard) })
	return routes
}
