package jobpeer

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Owners requests runner state from the workers that own the runners. It implements online.Owners.
type Owners struct {
	Client   *WorkerClient
	Reporter *demand.Reporter
}

// QueryZone implements online.Owners.
func (o *Owners) QueryZone(ctx context.Context, older time.Duration) {
	o.Reporter.PollOwnZone(ctx, older)
}

// Query implements online.Owners.
func (o *Owners) Query(ctx context.Context, runners []work.Runner, older time.Duration) bool {
	workers := o.Client.knownWorkers()
	var addresses []string
	for _, runner := range runners {
		if owner, found := jobrecord.Owner(runner, workers); found {
			addresses = append(addresses, owner.Address)
		}
	}
	return o.Reporter.Poll(ctx, addresses, older)
}
