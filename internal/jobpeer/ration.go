package jobpeer

import (
	"slices"

	"mallowlatch.example/mallowlatch/internal/demand"
)

// Waiters reports a node's requests that wait for slots; see online.Forwarder.
type Waiters interface {
	WaitingReport() []demand.Waiting
	SlotsGranted()
}

// addWaiting adds the requests waiting for slots to the work for the workers that ration the slots of their service, by
// address.
func (o *OnlineWork) addWaiting(owned map[string]demand.OwnerDemand) {
	if o.Waiters == nil {
		return
	}
	rationers := o.rationers()
	if len(rationers) == 0 {
		return
	}
	waiting := o.Waiters.WaitingReport()
	for address, services := range rationers {
		entry, listed := owned[address]
		if zone, known := o.Client.ZoneOf(address); known && !listed {
			entry = o.newDemand(zone)
		}
		entry.Rationed = true
		for _, request := range waiting {
			if slices.Contains(services, request.Service) {
				entry.Waiting = append(entry.Waiting, request)
			}
		}
		owned[address] = entry
	}
}

// rationers returns the services whose slots each worker rations, by address. Workers of other zones are left out if this zone
// has runners of the service: otherwise the number of reports would grow with nodes times workers.
func (o *OnlineWork) rationers() map[string][]string {
	rationers := map[string][]string{}
	for _, runner := range o.Runners.Rationed(o.Now()) {
		owner, found := o.owners.owner(runner)
		if !found || slices.Contains(rationers[owner.Address], runner.Service) {
			continue
		}
		if owner.Zone == o.Client.Zone || !o.hasRunnerInZone(runner.Service) {
			rationers[owner.Address] = append(rationers[owner.Address], runner.Service)
		}
	}
	return rationers
}

// hasRunnerInZone reports whether this node's zone has runners of a service.
func (o *OnlineWork) hasRunnerInZone(service string) bool {
	return o.Runners.HasReady(service, o.Client.Zone)
}
