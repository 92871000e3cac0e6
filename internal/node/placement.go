package node

import (
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/placement"
	"mallowlatch.example/mallowlatch/internal/weight/httpstore"
)

// assemblePlacement lets this node plan for its zone when the choice falls on it, and pass orders to the runners it
// owns. Without a weight store nothing is ever loaded or unloaded.
func (n *Node) assemblePlacement() error {
	if n.settings.Platform.WeightStore == "" {
		return nil
	}
	members := currentMembers(n.members)
	n.placementAgent = placement.NewAgent(placement.AgentOptions{
		Owner:       n.owners,
		Engine:      n.engines.Engine,
		Demand:      n.demandMeter.demand,
		Leaving:     runnerLeaving(n.table),
		FirstTicket: rand.Uint64() >> 1,
		Logger:      n.logger,
	})
	n.placement = placement.NewService(placement.Options{
		Self:    n.id(),
		Zone:    n.zone(),
		Members: members,
		Catalog: n.replica,
		Zones: func() []placement.ZoneSize {
			return placement.ReachableZones(ownedRunners(n.table)(), members())
		},
		MemoryBytes: func(ident.Runner) int64 { return int64(n.settings.Platform.RunnerMemory) },
		Store:       httpstore.New("http://"+string(n.settings.Platform.WeightStore), nil),
		Dialer:      n.pool,
		Local:       n.placementAgent,
		Random:      rand.Float64,
		Logger:      n.logger,
	})
	return nil
}

func runnerLeaving(table *dispatch.Table) func(ident.Runner) bool {
	return func(runner ident.Runner) bool {
		view, known := table.Runner(runner, time.Now())
		return known && view.Leaving
	}
}
