package jobpeer

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Owners asks the workers that own runners for what they know of them. It implements online.Owners.
type Owners struct {
	Holders *Holders
	Teller  *demand.Teller
}

// AskNear implements online.Owners.
func (o *Owners) AskNear(ctx context.Context, older time.Duration) { o.Teller.AskNear(ctx, older) }

// AskOwner implements online.Owners.
func (o *Owners) AskOwner(ctx context.Context, runner work.Runner, older time.Duration) bool {
	owner, found := jobrecord.Owner(runner, o.Holders.known())
	return found && o.Teller.Ask(ctx, owner.Address, older)
}
