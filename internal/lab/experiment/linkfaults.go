package experiment

import (
	"context"
	"errors"

	"mallowlatch.example/mallowlatch/internal/lab/fleet"
	"mallowlatch.example/mallowlatch/internal/lab/linksim"
)

// linkFault sets faults of the links to nodes, holds them for longer than any lease and takes them back.
func linkFault(ctx context.Context, nodes []fleet.Node, faults linksim.Faults) error {
	set := setLinks(ctx, nodes, faults)
	sleep(ctx, faultHold)
	return errors.Join(set, setLinks(context.WithoutCancel(ctx), nodes, linksim.Faults{}))
}

func setLinks(ctx context.Context, nodes []fleet.Node, faults linksim.Faults) error {
	var failed error
	for _, node := range nodes {
		failed = errors.Join(failed, setFaults(ctx, node.Link.Fault, faults))
	}
	return failed
}

// zoneOf returns the nodes of the zone that a random number chooses.
func zoneOf(started *fleet.Fleet, random int) []fleet.Node {
	zone := started.Plan.Zones[random%len(started.Plan.Zones)].Name
	var nodes []fleet.Node
	for _, node := range started.Nodes {
		if node.Zone == zone {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// cutBorder cuts every way between a zone and the others in both directions, with keyValue also the zone's ways to the
// key-value service, for longer than any lease.
func cutBorder(ctx context.Context, started *fleet.Fleet, random int, keyValue bool) error {
	zone := started.Plan.Zones[random%len(started.Plan.Zones)].Name
	crossings := started.Border(zone, keyValue)
	set := setBorder(ctx, crossings, true)
	sleep(ctx, faultHold)
	return errors.Join(set, setBorder(context.WithoutCancel(ctx), crossings, false))
}

func setBorder(ctx context.Context, crossings []fleet.Crossing, cut bool) error {
	var failed error
	for _, crossing := range crossings {
		var faults linksim.Faults
		if cut {
			faults.CutSenders = processIDs(crossing.Senders)
		}
		failed = errors.Join(failed, setFaults(ctx, crossing.Link.Fault, faults))
	}
	return failed
}

func processIDs(nodes []fleet.Node) []int {
	var ids []int
	for _, node := range nodes {
		ids = append(ids, node.PID())
	}
	return ids
}
