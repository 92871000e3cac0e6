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
	Holders *Holders
	Teller  *demand.Teller
}

// AskNear implements online.Owners.
func (o *Owners) AskNear(ctx context.Context, older time.Duration) { o.Teller.AskNear(ctx, older) }

// Ask implements online.Owners.
func (o *Owners) Ask(ctx context.Context, runners []work.Runner, older time.Duration) bool {
	workers := o.Holders.knownWorkers()
	var addresses []string
	for _, runner := range runners {
		if owner, found := jobrecord.Owner(runner, workers); found {
			addresses = append(addresses, owner.Address)
		}
	}
	return o.Teller.Ask(ctx, addresses, older)
}
