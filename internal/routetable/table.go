// Package routetable holds the newest configuration a node knows and finds the route of a request. A configuration
// never goes back: an older version than the one in force is ignored.
package routetable

import (
	"net"
	"strings"
	"sync/atomic"

	"mallowlatch.example/mallowlatch/internal/work"
)

// Table holds the catalog in force. It is safe for concurrent use; the zero Table knows no configuration.
type Table struct {
	current atomic.Pointer[index]
}

// index is one catalog with its routes by host.
type index struct {
	catalog *work.Catalog
	byHost  map[string][]*work.Route
}

// Adopt puts the catalog in force if its version is higher than that of the one in force, and says whether it did.
func (t *Table) Adopt(catalog *work.Catalog) bool {
	next := newIndex(catalog)
	for {
		current := t.current.Load()
		if current != nil && current.catalog.Version >= catalog.Version {
			return false
		}
		if t.current.CompareAndSwap(current, next) {
			return true
		}
	}
}

func newIndex(catalog *work.Catalog) *index {
	built := &index{catalog: catalog, byHost: map[string][]*work.Route{}}
	for position := range catalog.Routes {
		route := &catalog.Routes[position]
		host := strings.ToLower(route.Host)
		built.byHost[host] = append(built.byHost[host], route)
	}
	return built
}

// Catalog returns the configuration in force, or nil.
func (t *Table) Catalog() *work.Catalog {
	if current := t.current.Load(); current != nil {
		return current.catalog
	}
	return nil
}

// Match returns the route with the longest prefix among those of the host, or nil. known is false while the node
// knows no configuration, so that a missing route proves nothing.
func (t *Table) Match(host, path string) (route *work.Route, known bool) {
	current := t.current.Load()
	if current == nil {
		return nil, false
	}
	var best *work.Route
	for _, candidate := range current.byHost[normalHost(host)] {
		if !strings.HasPrefix(path, candidate.PathPrefix) {
			continue
		}
		if best == nil || len(candidate.PathPrefix) > len(best.PathPrefix) {
			best = candidate
		}
	}
	return best, true
}

// Named returns the route with the name, or nil. known is false while the node knows no configuration.
func (t *Table) Named(name string) (route *work.Route, known bool) {
	current := t.current.Load()
	if current == nil {
		return nil, false
	}
	for position := range current.catalog.Routes {
		if current.catalog.Routes[position].Name == name {
			return &current.catalog.Routes[position], true
		}
	}
	return nil, true
}

// normalHost drops the port and the case of a Host header.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
