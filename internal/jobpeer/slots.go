package jobpeer

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

// slotsRankPrefix is the prefix of the keys by which workers are ranked to find the account holder of a service's slots. All nodes
// must rank workers alike.
const slotsRankPrefix = "places/"

// Tenants reports the slots of scarce services that this node's tenants use and wait for; see online.Forwarder.
type Tenants interface {
	UsageReport() []demand.Use
	ApplyBounds(bounds []demand.Bound, asOf time.Time)
}

// slotsAccountHolder returns the address of the account holder of a service's slots: the first worker by rank that is not skipped.
// The address is empty if there is none.
func (h *WorkerClient) slotsAccountHolder(service string) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.Now()
	var address string
	var best ident.Node
	for _, worker := range h.workers.Value() {
		if now.Before(h.skippedUntil[worker.Address]) {
			continue
		}
		if address == "" || rendezvous.Compare(slotsRankPrefix+service, worker.Node, best) < 0 {
			address, best = worker.Address, worker.Node
		}
	}
	return address
}

// addUses adds the tenants' use of slots to the work for each account holder, by address.
func (o *OnlineWork) addUses(owned map[string]demand.OwnerDemand) {
	if o.Tenants == nil {
		return
	}
	for _, use := range o.Tenants.UsageReport() {
		address := o.Client.slotsAccountHolder(use.Service)
		if address == "" {
			continue
		}
		entry := owned[address]
		entry.Uses = append(entry.Uses, use)
		owned[address] = entry
	}
}
