package jobpeer

import (
	"slices"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Waiters is the requests of a node that wait for places; see online.Forwarder.
type Waiters interface {
	Waiting() []demand.Waiting
	Granted()
}

// addWaiting adds what waits for places to the work by the workers' addresses, for those that ration the places of the service.
func (o *OnlineWork) addWaiting(owned map[string]demand.Owned, workers []jobrecord.Worker) {
	if o.Waiters == nil {
		return
	}
	rationers := o.rationers(workers)
	if len(rationers) == 0 {
		return
	}
	waiting := o.Waiters.Waiting()
	for address, services := range rationers {
		of := owned[address]
		for _, told := range waiting {
			if slices.Contains(services, told.Service) {
				of.Waiting = append(of.Waiting, told)
			}
		}
		owned[address] = of
	}
}

// rationers returns the services whose places a worker rations, by its address. Workers of other zones are left out where this one has runners
// of the service: else the questions of all nodes would rise with nodes times workers.
func (o *OnlineWork) rationers(workers []jobrecord.Worker) map[string][]string {
	rationers := map[string][]string{}
	for _, runner := range o.Runners.Rationed(o.Now()) {
		owner, found := jobrecord.Owner(runner, workers)
		if !found || slices.Contains(rationers[owner.Address], runner.Service) {
			continue
		}
		if owner.Zone == o.Holders.Zone || !o.hasNear(runner.Service) {
			rationers[owner.Address] = append(rationers[owner.Address], runner.Service)
		}
	}
	return rationers
}

// hasNear says whether runners of a service are in this node's zone.
func (o *OnlineWork) hasNear(service string) bool {
	return slices.ContainsFunc(o.Runners.Of(service), func(runner work.Runner) bool { return runner.Zone == o.Holders.Zone })
}
