package jobpeer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/endwatch"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/runnertable"
)

// OnlineWork is the online work of a node, ordered by the workers that own the runners. It implements demand.Work.
type OnlineWork struct {
	Holders *Holders
	Runners *runnertable.Table
	// Ends takes what workers tell of requests that end their runners; nil takes none.
	Ends *endwatch.Watch
	// Tenants tells what tenants take and wait for; nil tells nothing.
	Tenants Tenants
	// Waiters tells what waits for places that workers ration; nil tells nothing.
	Waiters Waiters
	Logger  zerolog.Logger
	Now     func() time.Time

	neighbours neighbours
	// departuresTold is when the log was last told of the requests that left their zone.
	departuresTold time.Time
	orphans        orphanNews
}

// Online implements demand.Work.
func (o *OnlineWork) Online() map[string]demand.Owned {
	o.tellZones()
	workers := o.neighbours.workers(o.Holders.Zone, o.Holders.known(), o.Now())
	owned := make(map[string]demand.Owned, len(workers))
	for _, worker := range workers {
		owned[worker.Address] = demand.Owned{Far: worker.Zone != o.Holders.Zone, Zone: worker.Zone, Doubted: o.Runners.ZoneDoubted(worker.Zone)}
	}
	for runner, count := range o.Runners.Online(o.Now()) {
		if owner, found := jobrecord.Owner(runner, workers); found {
			of := owned[owner.Address]
			of.Counts = append(of.Counts, count)
			owned[owner.Address] = of
		}
	}
	o.addUses(owned)
	o.addWaiting(owned, workers)
	return owned
}

// Tell makes the call of a teller, and notes whether the zone of the worker answers.
func (o *OnlineWork) Tell(ctx context.Context, address string, report *demand.Report) (*demand.Answer, error) {
	asked := o.Now()
	answer, err := o.Holders.TellDemand(ctx, address, report)
	zone, known := o.Holders.zoneOf(address)
	switch {
	case !known, errors.Is(err, errAvoided):
	case err == nil:
		o.Runners.HeardZone(zone, asked)
		o.neighbours.answered(address, asked)
	default:
		o.Runners.MissedZone(zone, address, asked, o.Now())
	}
	return answer, err
}

// zoneOf returns the zone of the worker at an address, if it is known.
func (h *Holders) zoneOf(address string) (ident.Zone, bool) {
	for _, worker := range h.known() {
		if worker.Address == address {
			return worker.Zone, true
		}
	}
	return "", false
}

// Take implements demand.Work.
func (o *OnlineWork) Take(address string, answer *demand.Answer, asOf time.Time) {
	o.Runners.TakeShares(answer.Shares, asOf)
	o.orphans.take(address, answer.Shares, o.Logger)
	if o.Waiters != nil && slices.ContainsFunc(answer.Shares, func(told demand.Share) bool { return told.Granted > 0 }) {
		o.Waiters.Granted()
	}
	o.Holders.noteBatch(address, answer.Batch, asOf)
	o.Ends.Learn(answer.Ends.Records, false)
	if o.Tenants != nil && len(answer.Bounds) > 0 {
		o.Tenants.Learn(answer.Bounds, asOf)
	}
}

// departuresEvery is the time between two lines of the log about requests that left their zone.
const departuresEvery = 10 * time.Second

// tellZones logs which zones are out of reach or back, and now and then how many requests left their zone.
func (o *OnlineWork) tellZones() {
	now := o.Now()
	for _, change := range o.Runners.ZoneChanges(now) {
		told := event.ZoneBack
		if change.Cut {
			told = event.ZoneOutOfReach
		}
		told.Log(o.Logger).Str("zone", string(change.Zone)).Send()
	}
	if now.Sub(o.departuresTold) < departuresEvery {
		return
	}
	o.departuresTold = now
	for departure, count := range o.Runners.Departures() {
		event.RequestsLeftZone.Log(o.Logger).Str("to", string(departure.To)).Int("requests", count).Bool("balanced", departure.Balanced).Send()
	}
}

// TellDemand tells a worker of online work. A worker that does not answer is left alone for a while.
func (h *Holders) TellDemand(ctx context.Context, address string, report *demand.Report) (*demand.Answer, error) {
	answer := &demand.Answer{}
	if h.avoids(address) {
		return nil, fmt.Errorf("%w: %s", errAvoided, address)
	}
	if !h.ask(ctx, address, methodDemand, report, answer, 0) {
		return nil, fmt.Errorf("%w: %s", ErrNoWorker, address)
	}
	return answer, nil
}

// errAvoided means that a worker was not asked, because it did not answer a moment ago.
const errAvoided = failure.Kind("job peer: worker is left alone")

func (h *Holders) avoids(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.Now().Before(h.avoided[address])
}

// known returns the workers as this node last saw them.
func (h *Holders) known() []jobrecord.Worker {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.workers.Value())
}
