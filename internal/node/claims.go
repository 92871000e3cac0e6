package node

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/batch"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/ownership"
)

// batchClaims shows the runners this node owns to the batch worker.
type batchClaims struct{ service *ownership.Service }

// Owned returns the runners this node may send batch work to.
func (c batchClaims) Owned() []batch.Owned {
	held := c.service.Owned()
	owned := make([]batch.Owned, len(held))
	for index, claim := range held {
		owned[index] = batch.Owned{Runner: claim.Runner, Epoch: claim.Epoch}
	}
	return owned
}

// currentMembers returns the members as this node sees them now, ordered by name.
func currentMembers(members *membership.Service) func() []membership.Member {
	return func() []membership.Member { return members.View().Members }
}

// ownedRunners returns the runners that ought to have an owner: those known that are not leaving.
func ownedRunners(table *dispatch.Table) func() []ownership.Runner {
	return func() []ownership.Runner {
		var runners []ownership.Runner
		for _, view := range table.Runners(time.Now()) {
			if view.Leaving {
				continue
			}
			runners = append(runners, ownership.Runner{ID: view.ID, Zone: view.Zone})
		}
		return runners
	}
}

// zoneDistance returns the configured distance between zones, in milliseconds; unknown ones are equally far.
func zoneDistance(source catalog.Source) ownership.Distance {
	return func(from, to ident.Zone) float64 {
		return source.Current().Zones[from].Distance[to]
	}
}
