package node

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/admin"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/shardhost"
	"mallowlatch.example/mallowlatch/internal/shardmap"
)

// fleetStatus tells operators what this node knows of the fleet.
type fleetStatus struct {
	members *membership.Service
	table   *dispatch.Table
	owners  ownerLookup
	source  catalog.Source
	// routes tells where the job shards are.
	routes func() []shardmap.Route
	self   ident.Node
	// disk is nil on a node without one.
	disk *shardhost.Host
}

// Nodes returns the members this node knows, the dead that are still remembered included.
func (f fleetStatus) Nodes(context.Context) ([]admin.NodeStatus, error) {
	view := f.members.View()
	holdings := shardmap.Holdings(f.routes(), func(node ident.Node) bool {
		member, known := view.Member(node)
		return known && member.State == membership.Alive
	})
	var statuses []admin.NodeStatus
	for _, member := range view.Members {
		held := holdings[member.Node]
		status := admin.NodeStatus{
			Name:     member.Node,
			Zone:     member.Zone,
			Region:   member.Region,
			State:    member.State.String(),
			Address:  member.PeerAddress,
			Storage:  member.Attributes.HasDisk,
			Draining: member.State == membership.Leaving,

			Shards:     held.Shards,
			SoleShards: held.Sole,
		}
		if member.Node == f.self && f.disk != nil {
			status.StorageBytes, status.LeftoverBytes = f.disk.DiskBytes(), f.disk.LeftoverBytes()
		}
		statuses = append(statuses, status)
	}
	return statuses, nil
}

// Runners returns the runners this node knows, with their last reports.
func (f fleetStatus) Runners(context.Context) ([]admin.RunnerStatus, error) {
	drains := f.source.Current().Drains
	var statuses []admin.RunnerStatus
	for _, view := range f.table.Runners(time.Now()) {
		_, draining := drains["runner/"+string(view.ID)]
		statuses = append(statuses, f.runner(view, draining))
	}
	return statuses, nil
}

func (f fleetStatus) runner(view dispatch.RunnerView, draining bool) admin.RunnerStatus {
	status := admin.RunnerStatus{
		Name:     view.ID,
		Zone:     view.Zone,
		State:    runnerState(view),
		Draining: draining,
	}
	status.Owner = f.owner(view.ID)
	report := view.Report
	if report == nil {
		return status
	}
	status.Adapters = report.Adapters
	status.Running = report.RunningOnline + report.RunningBatch
	status.Waiting = report.WaitingOnline + report.WaitingBatch
	if len(report.Models) > 0 {
		status.Model = report.Models[0].Name
		status.Version = report.Models[0].Version
	}
	return status
}

func (f fleetStatus) owner(runner ident.Runner) ident.Node {
	owner, _ := f.owners.Owner(runner)
	return owner
}

func runnerState(view dispatch.RunnerView) string {
	switch {
	case view.Leaving:
		return "leaving"
	case view.Ejected:
		return "ejected"
	case view.Report == nil:
		return "unreported"
	default:
		return "ready"
	}
}
