package jobworker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// capability is how well a node can get items of some services run: at runners that it owns, or in slots that their owners lend. Jobs are
// claimed by the nodes with the best one, and left by a node only where another one has a better one.
type capability uint8

const (
	// noRunner means that no node owns a runner of any of the services. One node is as good as another.
	noRunner capability = iota
	// borrowsAll means that the node owns none of the runners, while others do. It is assumed as well where the node knows no runner of
	// any service: that is no proof that the others know none.
	borrowsAll
	// ownsSome means that the node owns runners of fewer of the services than another one.
	ownsSome
	// ownsMost means that no node owns runners of more of the services.
	ownsMost
)

// capabilityOf returns the capability of a node, given of how many services, out of a total, it owns runners, and the most that any node
// owns runners of.
func capabilityOf(own, most, total int) capability {
	switch {
	case total == 0 || (own > 0 && own >= most):
		return ownsMost
	case most == 0:
		return noRunner
	case own > 0:
		return ownsSome
	}
	return borrowsAll
}

// capabilityFor returns this node's capability for some services. The caller must hold the mutex.
func (w *Worker) capabilityFor(services []string) capability {
	own := 0
	for _, service := range services {
		if len(w.owned(service)) > 0 {
			own++
		}
	}
	if own == len(services) {
		return capabilityOf(own, own, len(services))
	}
	if w.Runners.Count() == 0 {
		return borrowsAll
	}
	return capabilityOf(own, w.mostOwned(services), len(services))
}

// othersMayRun reports whether another node may be able to run items of some services: it owns a ready runner of one, or this node knows
// none of the services. The caller must hold the mutex.
func (w *Worker) othersMayRun(services []string) bool {
	if len(services) == 0 {
		return true
	}
	owners := w.serviceOwnersNow()
	for _, service := range services {
		for node := range owners.byService[service] {
			if node != w.Node {
				return true
			}
		}
	}
	return false
}

// mostOwned returns the largest number of some services of which a single node owns ready runners. The caller must hold the mutex.
func (w *Worker) mostOwned(services []string) int {
	owners := w.serviceOwnersNow()
	counts := map[ident.Node]int{}
	most := 0
	for _, service := range services {
		for node := range owners.byService[service] {
			counts[node]++
			most = max(most, counts[node])
		}
	}
	return most
}

// serviceOwners are the nodes that own ready runners of each service, as of a state of the runners and of the workers.
type serviceOwners struct {
	table, workers uint64
	byService      map[string]map[ident.Node]bool
}

// serviceOwnersNow returns the owners of the runners of all services, and collects them anew if the runners or the workers changed. The
// caller must hold the mutex.
func (w *Worker) serviceOwnersNow() *serviceOwners {
	owners := w.ownersOfRunners()
	table, workers := w.Runners.Generation(), owners.Generation()
	known := w.serviceOwners
	if known != nil && known.table == table && known.workers == workers {
		return known
	}
	known = &serviceOwners{table: table, workers: workers, byService: map[string]map[ident.Node]bool{}}
	for _, runner := range w.Runners.All() {
		owner, found := owners.Owner(runner)
		if !found || runner.State != work.Ready {
			continue
		}
		if known.byService[runner.Service] == nil {
			known.byService[runner.Service] = map[ident.Node]bool{}
		}
		known.byService[runner.Service][owner.Node] = true
	}
	w.serviceOwners = known
	return known
}

// servicesOf returns the services that items of a route are dealt to.
func servicesOf(route *work.Route) []string {
	var services []string
	for _, part := range route.Split {
		if part.Weight > 0 || len(route.Split) == 1 {
			services = appendNew(services, part.Service)
		}
	}
	return services
}

// routeServices returns the services of the routes with a name. known is false before there is a configuration; a route that no longer
// exists has no services, because its items are given up. The caller must hold the mutex.
func (w *Worker) routeServices(name string) (services []string, known bool) {
	catalog := w.Routes.Catalog()
	if catalog == nil {
		return nil, false
	}
	for index := range catalog.Routes {
		route := &catalog.Routes[index]
		if route.Name != name {
			continue
		}
		for _, service := range servicesOf(route) {
			services = appendNew(services, service)
		}
	}
	return services, true
}

// unfinishedServices returns the services of a job's items that have no result. The caller must hold the mutex.
func (w *Worker) unfinishedServices(job *jobRun) []string {
	var services []string
	for _, item := range job.items {
		if item.finished {
			continue
		}
		if service, found := w.serviceOf(item); found {
			services = appendNew(services, service)
		}
	}
	return services
}

// serviceOf returns the service that an item is dealt to in the configuration in force, or false if it has no route.
func (w *Worker) serviceOf(item *itemRun) (string, bool) {
	route, _ := w.routeInForce(item)
	if route == nil || len(route.Split) == 0 {
		return "", false
	}
	return dealt(route, item), true
}

// routeInForce returns the route of an item's job in the configuration in force, or nil if there is none. known is false before there is a
// configuration.
func (w *Worker) routeInForce(item *itemRun) (route *work.Route, known bool) {
	header := item.job.header
	return w.Routes.MatchJob(header.Route, header.Host, item.item.Path)
}

// dealt returns the service that gets an item: the items of a job have evenly spaced positions in the split, so that each service gets its share of
// them, and the position of the first one is drawn from the job's id.
func dealt(route *work.Route, item *itemRun) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	const steps = 1 << 16
	first := float64(xxhash.Sum64String(string(item.job.header.ID))%steps) / steps
	return route.ServiceAt((float64(item.index) + first) / float64(len(item.job.items)))
}

// claimDelayFor returns how long a node leaves an unclaimed job to nodes that can run it better, and false if it never claims it. step is
// the delay between two positions in the job's order of workers, idle how long a job that no node can run is left alone.
func claimDelayFor(able capability, step, idle time.Duration) (time.Duration, bool) {
	switch able {
	case ownsMost:
		return 0, true
	case ownsSome:
		return (maxClaimPosition + 1) * step, true
	case noRunner:
		return idle, true
	}
	return 0, false
}
