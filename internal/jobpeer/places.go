package jobpeer

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

// placesDuty is what workers are ranked by for the account of a service's places: all nodes must rank alike.
const placesDuty = "places/"

// Tenants is what the tenants of a node take and wait for of scarce places; see online.Forwarder.
type Tenants interface {
	Uses() []demand.Use
	Learn(bounds []demand.Bound, asOf time.Time)
}

// placesKeeper returns the address of the worker that keeps account of a service's places: the first by rank of those that answer. It
// is empty where none does.
func (h *Holders) placesKeeper(service string) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.Now()
	var address string
	var best ident.Node
	for _, worker := range h.workers.Value() {
		if now.Before(h.avoided[worker.Address]) {
			continue
		}
		if address == "" || rendezvous.Compare(placesDuty+service, worker.Node, best) < 0 {
			address, best = worker.Address, worker.Node
		}
	}
	return address
}

// addUses adds what the keepers of accounts are to be told to the work by the workers' addresses.
func (o *OnlineWork) addUses(owned map[string]demand.Owned) {
	if o.Tenants == nil {
		return
	}
	for _, use := range o.Tenants.Uses() {
		address := o.Holders.placesKeeper(use.Service)
		if address == "" {
			continue
		}
		of := owned[address]
		of.Uses = append(of.Uses, use)
		owned[address] = of
	}
}
