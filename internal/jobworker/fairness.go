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
	// overEvery is the time between two lines of the tenants that want more than their share, overTold how many a line names.
	overEvery = 10 * time.Second
	overTold  = 8
)

// boundsFor takes what a node told of tenants and returns what it is to keep to. The caller holds the mutex.
func (w *Worker) boundsFor(report *demand.Report, now time.Time) []demand.Bound {
	w.tenants.Take(report, now)
	bounds := w.tenants.Bounds(report, w.fleetOf, now)
	if len(bounds) > 0 && now.Sub(w.overLogged) >= overEvery {
		w.overLogged = now
		w.logOver(now)
	}
	return bounds
}

// fleetOf is what a division of a service's places depends on here.
func (w *Worker) fleetOf(service string) fairshare.Fleet {
	fleet := fairshare.Fleet{Slots: w.Runners.Slots(service), Weight: w.weight}
	if catalog := w.Routes.Catalog(); catalog != nil {
		for index := range catalog.Tenants {
			fleet.Weights += fairshare.Weight(catalog.Tenants[index].Priority)
		}
	}
	return fleet
}

// weight is that of a tenant in the configuration in force; one that it lacks weighs as much as the most urgent.
func (w *Worker) weight(name ident.Tenant) float64 {
	if tenant := w.Routes.Tenant(name); tenant != nil {
		return fairshare.Weight(tenant.Priority)
	}
	return fairshare.Weight(0)
}

// logOver writes a line for each service whose places are scarce and of which tenants want more than their share.
func (w *Worker) logOver(now time.Time) {
	for _, summary := range w.tenants.Summaries(now) {
		named := zerolog.Dict()
		for position, over := range summary.Over {
			if position < overTold {
				named.Ints(string(over.Tenant), []int{over.Wants, over.Share})
			}
		}
		event.TenantsOverShare.Log(w.Logger).Str("service", summary.Service).Int("nodes", summary.Nodes).Int("taken", summary.Taken).
			Int("waiting", summary.Waiting).Int("places", summary.Places).Dict("wants_share", named).
			Int("others", max(len(summary.Over)-overTold, 0)).Send()
	}
}
