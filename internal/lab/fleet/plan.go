package fleet

import (
	"fmt"
	"time"
)

// Plan says what a fleet consists of.
type Plan struct {
	// Directory holds settings files, logs and data folders.
	Directory string
	// Binaries is the folder of the mallowlatch and mallowlatch-lab programs.
	Binaries string
	// Zones lists the sites.
	Zones []Zone
	// Models that every engine has loaded at the start.
	Models []string
	// EngineArguments are further arguments of every engine.
	EngineArguments []string
	// KVArguments are further arguments of the key-value stand-in.
	KVArguments []string
	// NodeSettings are further settings of every node, as dotted names and values.
	NodeSettings map[string]string
	// Shards, Replicas and MinimumCopies shape the job shards.
	Shards, Replicas, MinimumCopies int
	// BasePort is the first loopback port; the fleet uses successive ones.
	BasePort int
	// MachineListLag is how old the machine list is.
	MachineListLag time.Duration
	// Links puts a stand-in for a weak link in front of every node's peer listener, every engine and the key-value
	// service; nodes reach them through that.
	Links bool
	// TLS has every listener of the nodes speak TLS, and the nodes authenticate each other.
	TLS bool
	// AdminKey is the secret of the first admin key.
	AdminKey string
}

// Zone is one site of a plan.
type Zone struct {
	Name   string
	Region string
	// Nodes is the number of nodes; the first DiskNodes of them have a data folder.
	Nodes, DiskNodes int
	// Runners is the number of engines.
	Runners int
}

// Sizes of two typical deployments.
var (
	trinacriaZones = []string{"palermo", "catania", "agrigento"}
	petroviZones   = []string{"maritsa", "trakia", "rodopi", "sahat"}
)

const (
	trinacriaRunners = 12
	petroviRunners   = 18
)

// Small is two zones with two nodes and two engines each: the least that shows every role.
func Small() Plan {
	return Plan{
		Zones: []Zone{
			{Name: "north", Region: "main", Nodes: 2, DiskNodes: 2, Runners: 2},
			{Name: "south", Region: "main", Nodes: 2, DiskNodes: 1, Runners: 2},
		},
		Shards:        4,
		Replicas:      3,
		MinimumCopies: 3,
	}
}

// Trinacria is a typical deployment of small sites: three zones and twelve runners.
func Trinacria() Plan {
	return Plan{
		Zones:         spread(trinacriaZones, "sicily", trinacriaRunners),
		Shards:        4,
		Replicas:      3,
		MinimumCopies: 3,
	}
}

// Petrovi is a typical deployment of larger sites: four halls and eighteen runners.
func Petrovi() Plan {
	return Plan{
		Zones:         spread(petroviZones, "plovdiv", petroviRunners),
		Shards:        4,
		Replicas:      3,
		MinimumCopies: 3,
	}
}

// spread gives each zone two nodes, one of them with a disk, and an even share of the runners.
func spread(names []string, region string, runners int) []Zone {
	zones := make([]Zone, len(names))
	for index, name := range names {
		share := runners / len(names)
		if index < runners%len(names) {
			share++
		}
		zones[index] = Zone{Name: name, Region: region, Nodes: 2, DiskNodes: 1, Runners: share}
	}
	return zones
}

// ByName returns a named plan.
func ByName(name string) (Plan, error) {
	switch name {
	case "small":
		return Small(), nil
	case "trinacria":
		return Trinacria(), nil
	case "petrovi":
		return Petrovi(), nil
	}
	return Plan{}, fmt.Errorf("plan %q (know small, trinacria, petrovi): %w", name, ErrUnknownPlan)
}
