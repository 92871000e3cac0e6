package jobpeer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/poisonwatch"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/subset"
)

// OnlineWork groups a node's online work by the workers that own the runners. It implements demand.Work.
type OnlineWork struct {
	// Node is this node; it chooses the workers that it works with by its name.
	Node    ident.Node
	Client  *WorkerClient
	Runners *runnertable.Table
	// Ends receives the workers' records of poison requests; nil ignores them.
	Ends *poisonwatch.Watch
	// Tenants reports the slots that tenants use and wait for; nil reports nothing.
	Tenants Tenants
	// Waiters reports the requests that wait for slots rationed by workers; nil reports nothing.
	Waiters Waiters
	Logger  zerolog.Logger
	Now     func() time.Time

	zoneWorkers zoneWorkers
	owners      ownerMap
	// departuresLogged is when the requests that left their zone were last logged.
	departuresLogged time.Time
	orphans          orphanTracker
}

// Online implements demand.Work. It lists the workers that this node works with, and those at whose runners it has work.
func (o *OnlineWork) Online(also []string) map[string]demand.OwnerDemand {
	o.logZones()
	workers := o.zoneWorkers.workers(o.Client.Zone, o.Client.knownWorkers(), o.Now())
	chosen := o.owners.update(o.Node, o.Client.Zone, workers, o.Runners, o.Now())
	owned := make(map[string]demand.OwnerDemand, len(chosen.Near)+len(chosen.Far))
	for _, listed := range [][]subset.Worker{chosen.Near, chosen.Far} {
		for _, worker := range listed {
			listed := o.newDemand(worker.Zone)
			listed.Subset = !listed.Far && !chosen.All
			owned[worker.Address] = listed
		}
	}
	for runner, count := range o.Runners.Online(o.Now()) {
		if owner, found := o.owners.owner(runner); found {
			entry := o.demandFor(owned, owner.Address, owner.Zone)
			entry.Counts = append(entry.Counts, count)
			owned[owner.Address] = entry
		}
	}
	for _, address := range also {
		if zone, known := o.Client.ZoneOf(address); known {
			owned[address] = o.demandFor(owned, address, zone)
		}
	}
	o.addUses(owned)
	o.addWaiting(owned)
	return owned
}

// demandFor returns the listed work for a worker, or that of one that is not listed yet.
func (o *OnlineWork) demandFor(owned map[string]demand.OwnerDemand, address string, zone ident.Zone) demand.OwnerDemand {
	if entry, listed := owned[address]; listed {
		return entry
	}
	return o.newDemand(zone)
}

// newDemand returns the work, still empty, for a worker of a zone.
func (o *OnlineWork) newDemand(zone ident.Zone) demand.OwnerDemand {
	return demand.OwnerDemand{Far: zone != o.Client.Zone, Zone: zone, UnresponsiveSince: o.Runners.ZoneSuspectedSince(zone)}
}

// Report sends a report for the demand.Reporter and records whether the worker's zone answers.
func (o *OnlineWork) Report(ctx context.Context, address string, report *demand.Report) (*demand.Answer, error) {
	asked := o.Now()
	owned := o.owners.ownedBy(address)
	if owned != nil {
		report.Owned = owned.fingerprint
	}
	answer, err := o.Client.ReportDemand(ctx, address, report)
	zone, known := o.Client.ZoneOf(address)
	switch {
	case !known, errors.Is(err, errSkipped):
	case err == nil:
		o.Runners.ZoneAnswered(zone, asked)
		o.zoneWorkers.answered(address, asked)
	default:
		o.Runners.ZoneTimedOut(zone, address, asked, o.Now())
	}
	if err == nil && answer.IdleOmitted && owned != nil {
		owned.complete(answer)
	}
	return answer, err
}

// ZoneOf returns the zone of the worker at the given address. It returns false for an unknown address.
func (h *WorkerClient) ZoneOf(address string) (ident.Zone, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	zone, known := h.zones[address]
	return zone, known
}

// Take implements demand.Work.
func (o *OnlineWork) Take(address string, answer *demand.Answer, asOf time.Time) {
	o.Runners.UpdateShares(answer.Shares, asOf)
	o.orphans.record(address, answer.Shares, o.Logger)
	if o.Waiters != nil && slices.ContainsFunc(answer.Shares, func(share demand.Share) bool { return share.Granted > 0 }) {
		o.Waiters.SlotsGranted()
	}
	o.Client.recordBatch(address, answer.Batch, asOf)
	o.owners.record(answer.Batch.Node, answer.Nodes)
	o.Ends.ApplyRecords(answer.Ends.Records, false)
	if o.Tenants != nil && len(answer.Bounds) > 0 {
		o.Tenants.ApplyBounds(answer.Bounds, asOf)
	}
}

// departureLogInterval is the interval between log lines about requests that left their zone.
const departureLogInterval = 10 * time.Second

// logZones logs zones that became unreachable or reachable, and periodically the number of requests that left their zone.
func (o *OnlineWork) logZones() {
	now := o.Now()
	for _, change := range o.Runners.ZoneChanges(now) {
		transition := event.ZoneBack
		if change.Unreachable {
			transition = event.ZoneOutOfReach
		}
		transition.Log(o.Logger).Str("zone", string(change.Zone)).Send()
	}
	if now.Sub(o.departuresLogged) < departureLogInterval {
		return
	}
	o.departuresLogged = now
	for departure, count := range o.Runners.Departures() {
		event.RequestsLeftZone.Log(o.Logger).Str("to", string(departure.To)).Int("requests", count).Bool("balanced", departure.Balanced).Send()
	}
}

// ReportDemand reports online work to a worker. A worker that does not answer is skipped for skipDuration.
func (h *WorkerClient) ReportDemand(ctx context.Context, address string, report *demand.Report) (*demand.Answer, error) {
	answer := &demand.Answer{}
	if h.skips(address) {
		return nil, fmt.Errorf("%w: %s", errSkipped, address)
	}
	if !h.ask(ctx, address, methodDemand, report, answer, 0) {
		return nil, fmt.Errorf("%w: %s", ErrNoWorker, address)
	}
	return answer, nil
}

// errSkipped means that a worker was not called because it recently did not answer.
const errSkipped = failure.Kind("job peer: worker skipped after a failed call")

// skips reports whether a worker is not called because it recently did not answer.
func (h *WorkerClient) skips(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.Now().Before(h.skippedUntil[address])
}

// KnownWorkers returns the number of workers in the most recently read list.
func (h *WorkerClient) KnownWorkers() int { return len(h.knownWorkers()) }

// knownWorkers returns the most recently read list of workers, which must not be changed.
func (h *WorkerClient) knownWorkers() []jobrecord.Worker {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clip(h.workers.Value())
}
