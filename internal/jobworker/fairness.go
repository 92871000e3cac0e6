package jobworker

import (
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/fairshare"
	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// overShareLogEvery is the time between two log lines about tenants that want more than their share,
	// overShareLogTenants the number of tenants named in a line.
	overShareLogEvery   = 10 * time.Second
	overShareLogTenants = 8
)

// tenantBounds stores what a node reported of tenants and returns the bounds it must keep to. The caller must hold the
// mutex.
func (w *Worker) tenantBounds(report *demand.Report, now time.Time) []demand.Bound {
	w.tenants.Record(report, now)
	bounds := w.tenants.Bounds(report, w.fleetFor, now)
	if len(bounds) > 0 && now.Sub(w.overShareLogged) >= overShareLogEvery {
		w.overShareLogged = now
		w.logOverShare(now)
	}
	return bounds
}

// fleetFor returns the fleet data on which the division of a service's slots depends.
func (w *Worker) fleetFor(service string) fairshare.Fleet {
	fleet := fairshare.Fleet{Slots: w.Runners.Slots(service), Weight: w.tenantWeight}
	if catalog := w.Routes.Catalog(); catalog != nil {
		for index := range catalog.Tenants {
			fleet.Weights += fairshare.Weight(catalog.Tenants[index].Priority)
		}
	}
	return fleet
}

// tenantWeight returns the weight of a tenant in the configuration in force. An unknown tenant has the weight of the most
// urgent priority.
func (w *Worker) tenantWeight(name ident.Tenant) float64 {
	if tenant := w.Routes.Tenant(name); tenant != nil {
		return fairshare.Weight(tenant.Priority)
	}
	return fairshare.Weight(0)
}

// logOverShare logs a line for each service whose slots are scarce and of which tenants want more than their share.
func (w *Worker) logOverShare(now time.Time) {
	for _, summary := range w.tenants.Summaries(now) {
		named := zerolog.Dict()
		for position, over := range summary.Over {
			if position < overShareLogTenants {
				named.Ints(string(over.Tenant), []int{over.Wants, over.Share})
			}
		}
		event.TenantsOverShare.Log(w.Logger).Str("service", summary.Service).Int("nodes", summary.Nodes).Int("taken", summary.Taken).
			Int("waiting", summary.Waiting).Int("places", summary.Slots).Dict("wants_share", named).
			Int("others", max(len(summary.Over)-overShareLogTenants, 0)).Send()
	}
}
