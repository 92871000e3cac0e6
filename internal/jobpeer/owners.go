package jobpeer

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Owners requests runner state from the workers that own the runners. It implements online.Owners.
type Owners struct {
	Work     *OnlineWork
	Reporter *demand.Reporter
}

// QueryZone implements online.Owners.
func (o *Owners) QueryZone(ctx context.Context, older time.Duration) {
	o.Reporter.PollOwnZone(ctx, older)
}

// Query implements online.Owners.
func (o *Owners) Query(ctx context.Context, runners []work.Runner, older time.Duration) bool {
	var addresses []string
	for _, runner := range runners {
		if owner, found := o.Work.owners.owner(runner); found {
			addresses = append(addresses, owner.Address)
		}
	}
	return o.Reporter.Poll(ctx, addresses, older)
}
