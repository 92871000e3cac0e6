package placement

import (
	"cmp"
	"math"
	"slices"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
	"mallowlatch.example/mallowlatch/internal/weight"
)

// headroom is the factor by which the capacity planned for a model exceeds its demand.
const headroom = 1.25

// ZoneSize is the number of runners in a reachable zone.
type ZoneSize struct {
	Zone    ident.Zone
	Runners int
}

// Targets computes the desired state of the models in a zone. demand is the zone's demand in concurrent sequences by
// model, and perCopy the concurrent sequences that one copy runs. MinCopies of a service counts copies over the whole
// fleet: zones lists the reachable zones, so that after the loss of one the others divide its copies among themselves.
func Targets(snapshot *catalog.Snapshot, zone ident.Zone, zones []ZoneSize, demand map[string]float64, perCopy int) []Model {
	copies := map[string]int{}
	adapters := map[string]map[string]bool{}
	for _, service := range snapshot.Services {
		if !served(service, zone) {
			continue
		}
		share := Share(service.Name, service.MinCopies, eligible(service, zones), zone)
		copies[service.Model] = max(copies[service.Model], share)
		if service.Adapter != "" {
			if adapters[service.Model] == nil {
				adapters[service.Model] = map[string]bool{}
			}
			adapters[service.Model][service.Adapter] = true
		}
	}
	var models []Model
	for name, model := range snapshot.Models {
		wanted := max(copies[name], int(math.Ceil(demand[name]*headroom/float64(max(perCopy, 1)))))
		models = append(models, Model{
			Name:     name,
			Version:  model.Version,
			Bytes:    model.MemoryBytes,
			Copies:   wanted,
			Adapters: adapterArtifacts(snapshot, adapters[name]),
		})
	}
	slices.SortFunc(models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	return models
}

func adapterArtifacts(snapshot *catalog.Snapshot, names map[string]bool) []weight.Artifact {
	var artifacts []weight.Artifact
	for name := range names {
		if adapter, known := snapshot.Adapters[name]; known {
			artifacts = append(artifacts, weight.Artifact{Name: name, Version: adapter.Version})
		}
	}
	slices.SortFunc(artifacts, func(a, b weight.Artifact) int { return cmp.Compare(a.Name, b.Name) })
	return artifacts
}

func served(service catalog.Service, zone ident.Zone) bool {
	return len(service.Zones) == 0 || slices.Contains(service.Zones, zone)
}

func eligible(service catalog.Service, zones []ZoneSize) []ZoneSize {
	return slices.DeleteFunc(slices.Clone(zones), func(size ZoneSize) bool { return !served(service, size.Zone) })
}

// Share returns a zone's part of copies that are spread over zones in proportion to their runners. The parts of all
// zones add up to the copies, or to the runners if there are fewer. Copies left over by the division go to the zones with
// the largest remainders; ties are broken by rendezvous weight of the service, so that the extra copies of all services
// are not placed in the same zone.
func Share(service string, copies int, zones []ZoneSize, zone ident.Zone) int {
	total := 0
	for _, size := range zones {
		total += size.Runners
	}
	if total == 0 {
		return 0
	}
	copies = min(copies, total)
	ranked := slices.Clone(zones)
	slices.SortFunc(ranked, func(a, b ZoneSize) int {
		if order := cmp.Compare(copies*b.Runners%total, copies*a.Runners%total); order != 0 {
			return order
		}
		return rendezvous.Compare("placement/"+service, a.Zone, b.Zone)
	})
	rest := copies
	for _, size := range zones {
		rest -= copies * size.Runners / total
	}
	for index, size := range ranked {
		if size.Zone != zone {
			continue
		}
		part := copies * size.Runners / total
		if index < rest {
			part++
		}
		return part
	}
	return 0
}
