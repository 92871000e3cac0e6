// Package routetable stores the newest configuration known to a node. It finds the route of a request and the tenant of a key,
// and compares the keys of two configurations. A configuration older than the active one is ignored.
package routetable

import (
	"net"
	"strings"
	"sync/atomic"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/keyhash"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Table holds the active catalog. It is safe for concurrent use; the zero Table has no configuration.
type Table struct {
	current atomic.Pointer[index]
}

// index is one catalog with its routes by host and its tenants by key and by name.
type index struct {
	catalog *work.Catalog
	byHost  map[string][]*work.Route
	byKey   map[keyhash.Digest]*work.Tenant
	byName  map[ident.Tenant]*work.Tenant
}

// Adopt activates the catalog if its version is higher than that of the active one, and reports whether it did.
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
	built := &index{
		catalog: catalog, byHost: map[string][]*work.Route{},
		byKey: map[keyhash.Digest]*work.Tenant{}, byName: make(map[ident.Tenant]*work.Tenant, len(catalog.Tenants)),
	}
	for position := range catalog.Routes {
		route := &catalog.Routes[position]
		host := strings.ToLower(route.Host)
		built.byHost[host] = append(built.byHost[host], route)
	}
	for position := range catalog.Tenants {
		tenant := &catalog.Tenants[position]
		built.byName[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			built.byKey[key] = tenant
		}
	}
	return built
}

// Keyed reports whether requests must have the key of a tenant.
func (t *Table) Keyed() bool {
	current := t.current.Load()
	return current != nil && current.catalog.Keyed
}

// Holder returns the tenant to which a key belongs, or nil.
func (t *Table) Holder(key keyhash.Digest) *work.Tenant {
	if current := t.current.Load(); current != nil {
		return current.byKey[key]
	}
	return nil
}

// Tenant returns the tenant with the given name, or nil.
func (t *Table) Tenant(name ident.Tenant) *work.Tenant {
	if current := t.current.Load(); current != nil {
		return current.byName[name]
	}
	return nil
}

// PublicJobs reports whether the host has a batch route that accepts jobs without a key.
func (t *Table) PublicJobs(host string) bool {
	current := t.current.Load()
	if current == nil {
		return false
	}
	for _, route := range current.byHost[normalHost(host)] {
		if route.Public && route.Kind == work.Batch {
			return true
		}
	}
	return false
}

// Catalog returns the active configuration, or nil.
func (t *Table) Catalog() *work.Catalog {
	if current := t.current.Load(); current != nil {
		return current.catalog
	}
	return nil
}

// retryAfter is the retry delay given to callers while the node has no configuration.
const retryAfter = 500 * time.Millisecond

// Route returns the route of a request. The error is a *failure.Error: CodeNotFound if the configuration has no such route, or
// CodeNoBackend if the node has no configuration yet.
func (t *Table) Route(host, path string) (*work.Route, error) {
	route, known := t.Match(host, path)
	switch {
	case !known:
		return nil, failure.New(failure.CodeNoBackend, "this node knows no configuration yet").WithRetryAfter(retryAfter)
	case route == nil:
		return nil, failure.New(failure.CodeNotFound, "no route for this host and path")
	}
	return route, nil
}

// defaultBodyBytes is the body limit if the configuration sets none.
const defaultBodyBytes = 4 << 20

// BodyLimit returns the maximum size of a request body in bytes.
func (t *Table) BodyLimit() int64 {
	if catalog := t.Catalog(); catalog != nil && catalog.Limits.BodyBytes > 0 {
		return int64(catalog.Limits.BodyBytes)
	}
	return defaultBodyBytes
}

// HeadLimit returns the maximum size of a request's head in bytes, or zero if the configuration sets none.
func (t *Table) HeadLimit() int64 {
	if catalog := t.Catalog(); catalog != nil {
		return int64(catalog.Limits.HeaderBytes)
	}
	return 0
}

// Match returns the host's route with the longest matching path prefix, or nil. known is false while the node has no
// configuration, in which case a nil route does not mean that the route does not exist.
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

// MatchJob returns the batch route of a host by its name, or else the host's batch route with the longest prefix that matches the path of an
// item: a job stays with its route, whatever other routes its paths lie under. known is as for Match.
func (t *Table) MatchJob(name, host, path string) (route *work.Route, known bool) {
	current := t.current.Load()
	if current == nil {
		return nil, false
	}
	var best *work.Route
	for _, candidate := range current.byHost[normalHost(host)] {
		switch {
		case candidate.Kind != work.Batch:
		case candidate.Name == name:
			return candidate, true
		case strings.HasPrefix(path, candidate.PathPrefix) && (best == nil || len(candidate.PathPrefix) > len(best.PathPrefix)):
			best = candidate
		}
	}
	return best, true
}

// normalHost removes the port of a Host header and converts it to lower case.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
