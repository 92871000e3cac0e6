package batch

import (
	"maps"
	"sync"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// tenantCounter counts running items by tenant. It is safe for concurrent use.
type tenantCounter struct {
	mutex  sync.Mutex
	counts map[ident.Tenant]int
}

func (c *tenantCounter) add(tenant ident.Tenant, by int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.counts == nil {
		c.counts = map[ident.Tenant]int{}
	}
	c.counts[tenant] += by
	if c.counts[tenant] == 0 {
		delete(c.counts, tenant)
	}
}

// RunningByTenant returns the number of running items by tenant, omitting tenants without any.
func (w *Worker) RunningByTenant() map[ident.Tenant]int {
	w.tenants.mutex.Lock()
	defer w.tenants.mutex.Unlock()
	return maps.Clone(w.tenants.counts)
}
