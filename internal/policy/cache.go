package policy

import (
	"sync"

	"mallowlatch.example/mallowlatch/internal/catalog"
)

// Cache keeps the compiled policies of the newest configuration. A policy is compiled when it is first asked for and
// again only when its text changes. Its methods are safe for concurrent use.
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
// another version of the program does not compile on this one; the default is returned with it.
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
	c.forgetDeleted(snapshot)
	return compiled, err
}

// forgetDeleted drops policies the configuration no longer has, so that the cache never outgrows it.
func (c *Cache) forgetDeleted(snapshot *catalog.Snapshot) {
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
