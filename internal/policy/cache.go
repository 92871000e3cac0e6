package policy

import (
	"sync"

	"mallowlatch.example/mallowlatch/internal/catalog"
)

// Cache holds the compiled policies of the latest configuration. A policy is compiled on first use and recompiled only
// when its text changes. Its methods are safe for concurrent use.
type Cache struct {
	mu       sync.RWMutex
	revision int64
	compiled map[string]cached
}

type cached struct {
	source   catalog.Policy
	compiled *Compiled
	err      error
}

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{compiled: map[string]cached{}} }

var defaultPolicy = &Compiled{}

// ForService returns the policy of a service, or the default if it has none. An error means that a policy accepted by
// another software version does not compile in this one; the default policy is returned with it.
func (c *Cache) ForService(snapshot *catalog.Snapshot, service string) (*Compiled, error) {
	source, exists := snapshot.Policies[snapshot.Services[service].Policy]
	if !exists {
		return defaultPolicy, nil
	}
	if entry, found := c.find(source); found {
		return entry.compiled, entry.err
	}
	return c.add(snapshot, source)
}

func (c *Cache) find(source catalog.Policy) (cached, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	entry, exists := c.compiled[source.Name]
	return entry, exists && entry.source == source
}

func (c *Cache) add(snapshot *catalog.Snapshot, source catalog.Policy) (*Compiled, error) {
	compiled, err := Compile(source)
	if err != nil {
		compiled = defaultPolicy
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.compiled[source.Name] = cached{source: source, compiled: compiled, err: err}
	c.evictDeleted(snapshot)
	return compiled, err
}

// evictDeleted removes policies that are no longer in the configuration, which bounds the size of the cache.
func (c *Cache) evictDeleted(snapshot *catalog.Snapshot) {
	if snapshot.Revision <= c.revision {
		return
	}
	c.revision = snapshot.Revision
	for name := range c.compiled {
		if _, exists := snapshot.Policies[name]; !exists {
			delete(c.compiled, name)
		}
	}
}
