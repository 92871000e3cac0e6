package membershipsim

import (
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
)

// zonesPerRegion is the number of zones in a region: eleven zones form three regions.
const zonesPerRegion = 4

// Shape is the size of a fleet.
type Shape struct {
	Nodes int
	Zones int
}

// NodeAt returns the description of the node with the given index. Nodes are assigned to zones round-robin.
func (s Shape) NodeAt(index int) membership.Self {
	zone := index % s.Zones
	return membership.Self{
		Node:          ident.Node(fmt.Sprintf("node-%03d", index)),
		Zone:          ident.Zone(fmt.Sprintf("zone-%02d", zone)),
		Region:        ident.Region(fmt.Sprintf("region-%d", zone/zonesPerRegion)),
		PeerAddress:   fmt.Sprintf("10.%d.%d.%d:7000", zone, index/250, index%250+1),
		CallerAddress: fmt.Sprintf("10.%d.%d.%d:8080", zone, index/250, index%250+1),
	}
}

// Seeds returns the addresses through which new nodes join: those of the first two nodes of each of the first two zones.
func (s Shape) Seeds() []string {
	var seeds []string
	for _, index := range []int{0, 1, s.Zones, s.Zones + 1} {
		if index < s.Nodes {
			seeds = append(seeds, s.NodeAt(index).PeerAddress)
		}
	}
	return seeds
}

// NewFleet returns a simulation in which all nodes start simultaneously.
func NewFleet(seed uint64, shape Shape, config membership.Config, network Network) *Simulation {
	simulation := NewSimulation(seed, config, network)
	for index := range shape.Nodes {
		simulation.Add(shape.NodeAt(index), shape.Seeds())
	}
	return simulation
}

// IntraRegionDelay and InterRegionDelay are the one-way delays of the simulated network.
const (
	IntraRegionDelay = time.Millisecond
	InterRegionDelay = 15 * time.Millisecond
)

// Healthy is a network without faults.
func Healthy(from, to membership.Self) Link {
	if from.Region != to.Region {
		return Link{Delay: InterRegionDelay}
	}
	return Link{Delay: IntraRegionDelay}
}

// Lossy returns a network that loses the given fraction of the messages.
func Lossy(share float64) Network {
	return func(from, to membership.Self) Link {
		link := Healthy(from, to)
		link.Loss = share
		return link
	}
}

// Agree reports whether in the view of every running node exactly the running nodes are alive.
func (s *Simulation) Agree() bool { return s.Disagreement() == "" }

// Disagreement describes the first difference that Agree finds.
func (s *Simulation) Disagreement() string {
	for _, node := range s.Order {
		if !node.Up {
			continue
		}
		for _, other := range s.Order {
			member, known := node.Core.Member(other.Self.Node)
			if alive := known && member.State == membership.Alive; alive != other.Up {
				return fmt.Sprintf("%s sees %+v, which is up: %t", node.Self.Node, member, other.Up)
			}
		}
	}
	return ""
}
