package jobpeer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/endwatch"
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
	Now     func() time.Time
}

// Online implements demand.Work.
func (o *OnlineWork) Online() map[string]demand.Owned {
	workers := o.Holders.known()
	owned := make(map[string]demand.Owned, len(workers))
	for _, worker := range workers {
		owned[worker.Address] = demand.Owned{Far: worker.Zone != o.Holders.Zone}
	}
	for runner, count := range o.Runners.Online(o.Now()) {
		if owner, found := jobrecord.Owner(runner, workers); found {
			of := owned[owner.Address]
			of.Counts = append(of.Counts, count)
			owned[owner.Address] = of
		}
	}
	o.addUses(owned)
	return owned
}

// Take implements demand.Work.
func (o *OnlineWork) Take(address string, answer *demand.Answer, asOf time.Time) {
	o.Runners.TakeShares(answer.Shares, asOf)
	o.Holders.noteBatch(address, answer.Batch, asOf)
	o.Ends.Learn(answer.Ends.Records, false)
	if o.Tenants != nil && len(answer.Bounds) > 0 {
		o.Tenants.Learn(answer.Bounds, asOf)
	}
}

// TellDemand tells a worker of online work. A worker that does not answer is left alone for a while.
func (h *Holders) TellDemand(ctx context.Context, address string, report *demand.Report) (*demand.Answer, error) {
	answer := &demand.Answer{}
	if h.avoids(address) || !h.ask(ctx, address, methodDemand, report, answer, 0) {
		return nil, fmt.Errorf("%w: %s", ErrNoWorker, address)
	}
	return answer, nil
}

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
