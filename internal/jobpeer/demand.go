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
)

// OnlineWork groups a node's online work by the workers that own the runners. It implements demand.Work.
type OnlineWork struct {
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
	// departuresLogged is when the requests that left their zone were last logged.
	departuresLogged time.Time
	orphans          orphanTracker
}

// Online implements demand.Work.
func (o *OnlineWork) Online() map[string]demand.OwnerDemand {
	o.logZones()
	workers := o.zoneWorkers.workers(o.Client.Zone, o.Client.knownWorkers(), o.Now())
	owned := make(map[string]demand.OwnerDemand, len(workers))
	for _, worker := range workers {
		owned[worker.Address] = demand.OwnerDemand{Far: worker.Zone != o.Client.Zone, Zone: worker.Zone, UnresponsiveSince: o.Runners.ZoneSuspectedSince(worker.Zone)}
	}
	for runner, count := range o.Runners.Online(o.Now()) {
		if owner, found := jobrecord.Owner(runner, workers); found {
			entry := owned[owner.Address]
			entry.Counts = append(entry.Counts, count)
			owned[owner.Address] = entry
		}
	}
	o.addUses(owned)
	o.addWaiting(owned, workers)
	return owned
}

// Report sends a report for the demand.Reporter and records whether the worker's zone answers.
func (o *OnlineWork) Report(ctx context.Context, address string, report *demand.Report) (*demand.Answer, error) {
	asked := o.Now()
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
	return answer, err
}

// ZoneOf returns the zone of the worker at the given address. It returns false for an unknown address.
func (h *WorkerClient) ZoneOf(address string) (ident.Zone, bool) {
	for _, worker := range h.knownWorkers() {
		if worker.Address == address {
			return worker.Zone, true
		}
	}
	return "", false
}

// Take implements demand.Work.
func (o *OnlineWork) Take(address string, answer *demand.Answer, asOf time.Time) {
	o.Runners.UpdateShares(answer.Shares, asOf)
	o.orphans.record(address, answer.Shares, o.Logger)
	if o.Waiters != nil && slices.ContainsFunc(answer.Shares, func(share demand.Share) bool { return share.Granted > 0 }) {
		o.Waiters.SlotsGranted()
	}
	o.Client.recordBatch(address, answer.Batch, asOf)
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

func (h *WorkerClient) skips(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.Now().Before(h.skippedUntil[address])
}

// knownWorkers returns the most recently read list of workers.
func (h *WorkerClient) knownWorkers() []jobrecord.Worker {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.workers.Value())
}
